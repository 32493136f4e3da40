package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
)

// check returns an error that names the first invalid field.
func (s *Settings) check() error {
	if s.Label == "" {
		return errors.New("label: missing")
	}
	for _, check := range []func() error{s.checkAddresses, s.checkPeers, s.Params.checkTeams, s.Params.checkLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses checks the controller's listen addresses and the addresses of the services.
func (s *Settings) checkAddresses() error {
	for _, address := range []struct{ field, value string }{
		{"serve_on", s.ServeOn},
		{"cluster_listen", s.ClusterListen},
		{"services.cloud", s.Services.Cloud},
		{"services.state", s.Services.State},
	} {
		if err := checkAddress(address.field, address.value); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress checks that a field is an address of the form HOST:PORT.
func checkAddress(field, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: %q is not an address of the form HOST:PORT", field, value)
	}
	return nil
}

// checkPeers checks the other controllers, and that their number matches params.count.
func (s *Settings) checkPeers() error {
	labels := map[string]bool{s.Label: true}
	for i, other := range s.Others {
		if other.Label == "" || labels[other.Label] {
			return fmt.Errorf("others[%d].label: missing or duplicate", i)
		}
		labels[other.Label] = true
		if err := checkAddress(fmt.Sprintf("others[%d].peer_addr", i), other.PeerAddr); err != nil {
			return err
		}
	}
	if s.Params.ControllerCount != len(s.Others)+1 {
		return fmt.Errorf("params.count: %d does not match the %d entries of others; it must be one more", s.Params.ControllerCount, len(s.Others))
	}
	return nil
}

// checkTeams checks that there are teams, that their names are distinct, and that guarantees are not
// above limits.
func (p *Params) checkTeams() error {
	if len(p.Teams) == 0 {
		return errors.New("params.teams: missing")
	}
	names := map[string]bool{}
	for i, team := range p.Teams {
		if team.Name == "" || names[team.Name] {
			return fmt.Errorf("params.teams[%d].name: missing or duplicate", i)
		}
		names[team.Name] = true
		if min(team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax) < 0 {
			return fmt.Errorf("params.teams[%d]: guarantees and limits must not be negative", i)
		}
		if team.CPUsMax > 0 && team.CPUs > team.CPUsMax || team.GPUsMax > 0 && team.GPUs > team.GPUsMax {
			return fmt.Errorf("params.teams[%d]: guarantee exceeds the limit", i)
		}
	}
	return nil
}

// limit is a setting that must be positive and finite.
type limit struct {
	field string
	value float64
}

// checkLimits checks the timing of agents and the limits of the services and of this process.
func (p *Params) checkLimits() error {
	limits := []limit{
		{"params.workers.report_s", p.AgentTimes.HeartbeatS},
		{"params.workers.lease_s", p.AgentTimes.LeaseS},
		{"params.workers.cancel_s", p.AgentTimes.CancelS},
		{"params.state.rps", p.State.RPS},
		{"params.state.write_rps", p.State.WriteRPS},
		{"params.state.value_kb", p.State.ValueKB},
		{"params.state.txn_ops", float64(p.State.TxnOps)},
		{"params.cloud.rps", p.Cloud.RPS},
		{"params.machine_limits.mem_mb", p.ProcessLimits.MemMB},
		{"params.machine_limits.sockets", float64(p.ProcessLimits.Sockets)},
	}
	for _, limit := range append(limits, p.State.Next.limits()...) {
		if !(limit.value > 0) || math.IsInf(limit.value, 0) {
			return fmt.Errorf("%s: must be positive and finite", limit.field)
		}
	}
	if p.AgentTimes.LeaseS <= p.AgentTimes.HeartbeatS {
		return errors.New("params.workers.lease_s: must be greater than report_s")
	}
	return nil
}

// limits returns the announced limits that are set.
func (n *AnnouncedLimits) limits() []limit {
	var limits []limit
	for _, next := range []struct {
		field string
		value *float64
	}{
		{"params.state.next.rps", n.RPS},
		{"params.state.next.write_rps", n.WriteRPS},
		{"params.state.next.value_kb", n.ValueKB},
	} {
		if next.value != nil {
			limits = append(limits, limit{next.field, *next.value})
		}
	}
	if n.TxnOps != nil {
		limits = append(limits, limit{"params.state.next.txn_ops", float64(*n.TxnOps)})
	}
	return limits
}
