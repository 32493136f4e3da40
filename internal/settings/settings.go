// Package settings reads the file that the platform hands over and the
// operators' own optional one, and checks both.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Settings is what the platform tells a controller.
type Settings struct {
	Label         string   `json:"label"`
	Zone          string   `json:"zone"`
	ServeOn       string   `json:"serve_on"`
	ClusterListen string   `json:"cluster_listen"`
	Others        []Other  `json:"others"`
	Services      Services `json:"services"`
	Params        Params   `json:"params"`
}

// Other is another controller.
type Other struct {
	Label    string `json:"label"`
	Zone     string `json:"zone"`
	PeerAddr string `json:"peer_addr"`
}

// Services holds the addresses of the outside services.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Params describes the deployment.
type Params struct {
	Count         int         `json:"count"`
	Zones         []string    `json:"zones"`
	Teams         []Team      `json:"teams"`
	Objectives    []Objective `json:"objectives"`
	Workers       Workers     `json:"workers"`
	State         State       `json:"state"`
	Cloud         Cloud       `json:"cloud"`
	MachineLimits Limits      `json:"machine_limits"`
	TimeBoundMS   float64     `json:"time_bound_ms"`
}

// Team is a team with its guarantee and its limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
	WithinS float64 `json:"within_s"`
}

// Workers holds the times that workers keep.
type Workers struct {
	ReportS float64 `json:"report_s"`
	LeaseS  float64 `json:"lease_s"`
	CancelS float64 `json:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next is what is announced: limits that hold from some moment on that
	// nobody tells.
	Next NextState `json:"next"`
}

// NextState holds announced limits of the state service; what is absent stays
// as it is.
type NextState struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lower returns, for each limit, the lower of the present and the announced
// one: what keeps to these is good before and after the moment.
func (s State) Lower() State {
	lower := State{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	if s.Next.RPS != nil {
		lower.RPS = min(lower.RPS, *s.Next.RPS)
	}
	if s.Next.WriteRPS != nil {
		lower.WriteRPS = min(lower.WriteRPS, *s.Next.WriteRPS)
	}
	if s.Next.ValueKB != nil {
		lower.ValueKB = min(lower.ValueKB, *s.Next.ValueKB)
	}
	if s.Next.TxnOps != nil {
		lower.TxnOps = min(lower.TxnOps, *s.Next.TxnOps)
	}
	return lower
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits holds what one controller process may use.
type Limits struct {
	CoreShare float64 `json:"core_share"`
	MemMB     float64 `json:"mem_mb"`
	Sockets   int     `json:"sockets"`
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the platform's settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse reads settings; fields it does not know are ignored.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("settings: %s: wrong type, %s given", te.Field, te.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	if s.Label == "" {
		return errors.New("label: missing")
	}
	for name, addr := range map[string]string{
		"serve_on": s.ServeOn, "cluster_listen": s.ClusterListen,
		"services.cloud": s.Services.Cloud, "services.state": s.Services.State,
	} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("%s: not an address: %q", name, addr)
		}
	}
	seen := map[string]bool{s.Label: true}
	for i, o := range s.Others {
		if o.Label == "" || seen[o.Label] {
			return fmt.Errorf("others[%d].label: missing or used twice", i)
		}
		seen[o.Label] = true
		if _, _, err := net.SplitHostPort(o.PeerAddr); err != nil {
			return fmt.Errorf("others[%d].peer_addr: not an address: %q", i, o.PeerAddr)
		}
	}
	p := &s.Params
	if p.Count != len(s.Others)+1 {
		return fmt.Errorf("params.count: %d, but others has %d entries", p.Count, len(s.Others))
	}
	if len(p.Teams) == 0 {
		return errors.New("params.teams: missing")
	}
	teams := map[string]bool{}
	for i, t := range p.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("params.teams[%d].name: missing or used twice", i)
		}
		teams[t.Name] = true
		if min(t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax) < 0 {
			return fmt.Errorf("params.teams[%d]: negative amount", i)
		}
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax || t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			return fmt.Errorf("params.teams[%d]: guarantee above the limit", i)
		}
	}
	type limit struct {
		name string
		v    float64
	}
	limits := []limit{
		{"params.workers.report_s", p.Workers.ReportS}, {"params.workers.lease_s", p.Workers.LeaseS},
		{"params.workers.cancel_s", p.Workers.CancelS}, {"params.state.rps", p.State.RPS},
		{"params.state.write_rps", p.State.WriteRPS}, {"params.state.value_kb", p.State.ValueKB},
		{"params.state.txn_ops", float64(p.State.TxnOps)}, {"params.cloud.rps", p.Cloud.RPS},
		{"params.machine_limits.mem_mb", p.MachineLimits.MemMB},
		{"params.machine_limits.sockets", float64(p.MachineLimits.Sockets)},
	}
	next := &p.State.Next
	for _, f := range []struct {
		name string
		v    *float64
	}{{"rps", next.RPS}, {"write_rps", next.WriteRPS}, {"value_kb", next.ValueKB}} {
		if f.v != nil {
			limits = append(limits, limit{"params.state.next." + f.name, *f.v})
		}
	}
	if next.TxnOps != nil {
		limits = append(limits, limit{"params.state.next.txn_ops", float64(*next.TxnOps)})
	}
	for _, f := range limits {
		if !(f.v > 0) || math.IsInf(f.v, 0) {
			return fmt.Errorf("%s: must be above 0", f.name)
		}
	}
	if p.Workers.LeaseS <= p.Workers.ReportS {
		return errors.New("params.workers.lease_s: must be above report_s")
	}
	return nil
}

// Operator is the operators' own settings, all optional.
type Operator struct {
	// LimitShare is the share of a machine's CPUs in use below which the
	// machine counts as under its limit.
	LimitShare float64 `yaml:"limit_share"`
	// MovePeriod is how often the leader moves idle machines between parts.
	MovePeriod time.Duration `yaml:"move_period"`
	// IdleReturn is how long a machine may stand idle before it is returned.
	IdleReturn time.Duration `yaml:"idle_return"`
	// LeaseTTL is how long a claim outlives its last renewal.
	LeaseTTL time.Duration `yaml:"claim_ttl"`
	// Identity makes the controller ask who comes; absent: everybody may do
	// everything, over connections in the clear.
	Identity *Identity `yaml:"identity"`
	// Operations is where the controller tells operators how it stands; absent: it
	// measures and tells nothing.
	Operations *Operations `yaml:"operations"`
}

// Operations is the operators' listener.
type Operations struct {
	// Listen is an address, HOST:PORT.
	Listen string `yaml:"listen"`
}

// Identity is where a controller's proof of itself and its roots of trust lie.
type Identity struct {
	// Own, Roots and TokenKeys are files; "{label}" in a name stands for the
	// controller's label.
	Own       string `yaml:"own"`
	Roots     string `yaml:"roots"`
	TokenKeys string `yaml:"token_keys"`
	// Cluster is the name that tokens must be issued for.
	Cluster string `yaml:"cluster"`
	// Bootstrap is who may write the first policy.
	Bootstrap string `yaml:"bootstrap"`
}

// DefaultOperator returns the values that hold without an operators' file.
func DefaultOperator() Operator {
	return Operator{
		LimitShare: 0.8,
		MovePeriod: time.Second,
		IdleReturn: 15 * time.Second,
		LeaseTTL:   3 * time.Second,
	}
}

// LoadOperator reads the operators' file strictly; an empty path gives the
// defaults.
func LoadOperator(path string) (Operator, error) {
	op := DefaultOperator()
	if path == "" {
		return op, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return op, fmt.Errorf("operator settings: %w", err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&op); err != nil && !errors.Is(err, io.EOF) {
		return op, fmt.Errorf("operator settings: %w", err)
	}
	switch {
	case !(op.LimitShare >= 0 && op.LimitShare <= 1):
		return op, errors.New("operator settings: limit_share: must lie between 0 and 1")
	case op.MovePeriod < 100*time.Millisecond:
		return op, errors.New("operator settings: move_period: must be at least 100ms")
	case op.IdleReturn < time.Second:
		return op, errors.New("operator settings: idle_return: must be at least 1s")
	case op.LeaseTTL < time.Second || op.LeaseTTL > 10*time.Minute:
		return op, errors.New("operator settings: claim_ttl: must lie between 1s and 10m")
	}
	if o := op.Operations; o != nil {
		host, _, err := net.SplitHostPort(o.Listen)
		if err != nil {
			return op, fmt.Errorf("operator settings: operations.listen: %q is no HOST:PORT", o.Listen)
		}
		if ip := net.ParseIP(host); op.Identity == nil && (ip == nil || !ip.IsLoopback()) {
			return op, fmt.Errorf("operator settings: operations.listen: %s: without identities only a loopback address may tell", o.Listen)
		}
	}
	if id := op.Identity; id != nil {
		switch {
		case id.Own == "":
			return op, errors.New("operator settings: identity.own: missing; it names the file with this controller's certificate and key")
		case id.Roots == "":
			return op, errors.New("operator settings: identity.roots: missing; it names the file with the certificates to trust")
		case id.TokenKeys != "" && id.Cluster == "":
			return op, errors.New("operator settings: identity.cluster: missing; tokens are issued for a cluster by name")
		}
	}
	return op, nil
}
