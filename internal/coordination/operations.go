package coordination

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Observe makes the controller measure itself; before Run.
func (c *Controller) Observe() {
	c.metrics = telemetry.New()
	c.bounds.Metrics = c.metrics
}

// ServeOperations answers operators: /metrics and /overview. With identities they
// must be allowed to view every queue, since the sums are over all of them.
func (c *Controller) ServeOperations(_ context.Context, req *transport.Request) transport.Response {
	if req.Path != "/metrics" && req.Path != "/overview" {
		return Refuse(404, "no such path", 0)
	}
	if req.Method != "GET" {
		return Refuse(405, "method not allowed", 0)
	}
	who, refusal := c.Authenticate(req, "observe")
	if refusal != nil {
		return *refusal
	}
	if c.guard != nil && !c.guard.allowsEverywhere(who, rights.View) {
		return *c.Deny(who, "observe", rights.Queue{}, "", 403, "may not view every queue")
	}
	v := overview.View{}
	if !c.loop.Do(func() { v = c.stateOverview(time.Now()) }) {
		return Refuse(503, "stopping", 1)
	}
	v.Waits = c.metrics.Quantiles()
	if req.Path == "/overview" {
		return transport.Response{Status: 200, Body: protocol.Encode(v)}
	}
	var body bytes.Buffer
	c.metrics.Write(&body, gauges(&v))
	return transport.Response{Status: 200, Type: "text/plain; version=0.0.4", Body: body.Bytes()}
}

// stateOverview is how this controller and its parts stand.
func (c *Controller) stateOverview(now time.Time) overview.View {
	v := overview.View{Controller: c.Settings.Label, Zone: c.Settings.Zone, AtMS: now.UnixMilli(), UpS: now.Sub(c.StartedAt).Seconds(), Leads: c.Leadership.Held,
		Ready: c.Synced && len(c.Catalog) > 0, StateSilentS: c.store.SinceLastAnswer().Seconds(), WritesWanted: c.WriteDemand, WritesGranted: c.store.GrantedWriteRate(),
		CloudRests: c.cloudCircuit.Open(now), Jobs: len(c.Jobs), Ended: len(c.FinalStates), Renting: len(c.Leadership.PendingScaleOut)}
	for _, p := range c.Partitions {
		if p.Held {
			v.Parts = append(v.Parts, c.partitionOverview(p, now))
		}
	}
	v.Follows = c.replicator.Overview(now)
	v.Connected, v.Room, v.Moves = c.proxy.Load(now).Machines, c.proxy.Capacity, c.proxy.RecentMoves(now)
	for team, t := range c.Settings.Params.Teams {
		if p := c.Partitions[c.TeamPartition[team]]; p.Held {
			v.Teams = append(v.Teams, overview.Team{Name: t.Name, Part: p.Index, CPUs: p.Usage[team].CPUs, Guarantee: t.CPUs, Limit: t.CPUsMax})
		}
	}
	for _, j := range c.Jobs {
		for i := range v.Teams {
			if t := &v.Teams[i]; j.Loaded && t.Name == j.Spec.Team {
				t.Running += len(j.LiveAttempts)
				t.Waiting += len(j.Pending)
			}
		}
	}
	return v
}

func (c *Controller) partitionOverview(p *Partition, now time.Time) overview.Part {
	v := overview.Part{Part: p.Index, Ready: p.Ready}
	used, all := 0.0, 0.0
	for _, m := range c.Machines {
		if m.Record.Partition != p.Index {
			continue
		}
		v.Machines++
		if m.ReservedFor != fairshare.NoGroup {
			v.Kept++
		}
		switch {
		case m.Lost || m.Quarantined:
			v.Bad++
		case !m.HasReported:
			v.Coming++
		case len(m.Attempts) == 0 && len(m.OrphanedTasks) == 0:
			v.Idle++
		}
		if m.Type != nil && m.HasReported {
			used, all = used+m.Used.CPUs, all+m.Type.CPUs
		}
	}
	if all > 0 {
		v.Used = used / all
	}
	v.Carried = c.proxy.Overview(p, now)
	for _, j := range c.Jobs {
		if j.Partition != p.Index || !j.Loaded {
			continue
		}
		v.Running += len(j.LiveAttempts)
		v.Waiting += len(j.Pending)
		if len(j.Pending) > 0 && !j.Blocked {
			v.OldestS = max(v.OldestS, now.Sub(j.ReadySince()).Seconds())
		}
	}
	return v
}

// gauges are the overview for Prometheus.
func gauges(v *overview.View) []telemetry.Gauge {
	yes := map[bool]float64{true: 1}
	out := []telemetry.Gauge{{Name: "leads", Value: yes[v.Leads]}, {Name: "ready", Value: yes[v.Ready]}, {Name: "up_seconds", Value: v.UpS},
		{Name: "state_silent_seconds", Value: v.StateSilentS}, {Name: "writes_wanted", Value: v.WritesWanted}, {Name: "writes_granted", Value: v.WritesGranted},
		{Name: "cloud_rests", Value: yes[v.CloudRests]}, {Name: "jobs", Value: float64(v.Jobs)}, {Name: "jobs_ended", Value: float64(v.Ended)},
		{Name: "rentals_open", Value: float64(v.Renting)}, {Name: "machines_connected", Value: float64(v.Connected)},
		{Name: "machines_room", Value: float64(v.Room)}}
	for _, f := range v.Follows {
		labels := fmt.Sprintf("{part=%q}", fmt.Sprint(f.Part))
		out = append(out, telemetry.Gauge{Name: "copy_behind_seconds", Labels: labels, Value: f.BehindS},
			telemetry.Gauge{Name: "copy_records", Labels: labels, Value: float64(f.Records)})
	}
	for _, p := range v.Parts {
		labels := fmt.Sprintf("{part=%q}", fmt.Sprint(p.Part))
		carried := 0
		for _, k := range p.Carried {
			carried += k.Machines
		}
		out = append(out, telemetry.Gauge{Name: "part_machines_carried", Labels: labels, Value: float64(carried)},
			telemetry.Gauge{Name: "part_machines", Labels: labels, Value: float64(p.Machines)},
			telemetry.Gauge{Name: "part_machines_idle", Labels: labels, Value: float64(p.Idle)},
			telemetry.Gauge{Name: "part_machines_coming", Labels: labels, Value: float64(p.Coming)},
			telemetry.Gauge{Name: "part_machines_bad", Labels: labels, Value: float64(p.Bad)},
			telemetry.Gauge{Name: "part_machines_kept", Labels: labels, Value: float64(p.Kept)},
			telemetry.Gauge{Name: "part_cpus_used_ratio", Labels: labels, Value: p.Used},
			telemetry.Gauge{Name: "part_tasks_running", Labels: labels, Value: float64(p.Running)},
			telemetry.Gauge{Name: "part_tasks_waiting", Labels: labels, Value: float64(p.Waiting)},
			telemetry.Gauge{Name: "part_oldest_wait_seconds", Labels: labels, Value: p.OldestS})
	}
	return out
}
