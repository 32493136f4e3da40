package api

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// ServeOperations answers operators: /metrics and /overview. With identities they
// must be allowed to view every queue, since the sums are over all of them.
func (srv *Server) ServeOperations(_ context.Context, req *transport.Request) transport.Response {
	if req.Path != "/metrics" && req.Path != "/overview" {
		return respond.Refuse(404, "no such path", 0)
	}
	if req.Method != "GET" {
		return respond.Refuse(405, "method not allowed", 0)
	}
	who, refusal := srv.auth.Authenticate(req, "observe")
	if refusal != nil {
		return *refusal
	}
	if srv.auth.Enabled() && !srv.auth.AllowsEverywhere(who, rights.View) {
		return *srv.auth.Deny(who, "observe", rights.Queue{}, "", 403, "may not view every queue")
	}
	v := overview.View{}
	if !srv.loop.Do(func() { v = srv.StateOverview(time.Now()) }) {
		return respond.Refuse(503, "stopping", 1)
	}
	v.Waits = srv.metrics.Quantiles()
	if req.Path == "/overview" {
		return transport.Response{Status: 200, Body: protocol.Encode(v)}
	}
	var body bytes.Buffer
	srv.metrics.Write(&body, gauges(&v))
	return transport.Response{Status: 200, Type: "text/plain; version=0.0.4", Body: body.Bytes()}
}

// StateOverview is how this controller and its parts stand.
func (srv *Server) StateOverview(now time.Time) overview.View {
	v := overview.View{Controller: srv.Settings.Label, Zone: srv.Settings.Zone, AtMS: now.UnixMilli(), UpS: now.Sub(srv.StartedAt).Seconds(), ClusterLeader: srv.Leadership.Held,
		Ready: srv.Synced && len(srv.Catalog) > 0, StateSilenceS: srv.store.SinceLastAnswer().Seconds(), WritesWanted: srv.WriteDemand, WritesGranted: srv.store.GrantedWriteRate(),
		CloudUnavailable: srv.cloud.Unavailable(now), Jobs: len(srv.Jobs), EndedJobs: len(srv.FinalStates), PendingScaleOut: len(srv.Leadership.PendingScaleOut)}
	for _, p := range srv.Partitions {
		if p.Held {
			v.Partitions = append(v.Partitions, srv.partitionOverview(p, now))
		}
	}
	v.Replicas = srv.replicator.Overview(now)
	load := srv.proxy.Load(now)
	v.Connected, v.Capacity, v.Moves = load.Machines, load.Capacity, srv.proxy.RecentMoves(now)
	for team, t := range srv.Settings.Params.Teams {
		if p := srv.Partitions[srv.TeamPartition[team]]; p.Held {
			v.Teams = append(v.Teams, overview.Team{Name: t.Name, Part: p.Index, CPUs: p.Usage[team].CPUs, Guarantee: t.CPUs, Limit: t.CPUsMax})
		}
	}
	for _, j := range srv.Jobs {
		for i := range v.Teams {
			if t := &v.Teams[i]; j.Loaded && t.Name == j.Spec.Team {
				t.Running += len(j.LiveAttempts)
				t.Waiting += len(j.Pending)
			}
		}
	}
	return v
}

func (srv *Server) partitionOverview(p *cluster.Partition, now time.Time) overview.Partition {
	v := overview.Partition{Part: p.Index, Ready: p.Ready}
	used, all := 0.0, 0.0
	for _, m := range srv.Machines {
		if m.Record.Partition != p.Index {
			continue
		}
		v.Machines++
		if m.ReservedFor != fairshare.NoGroup {
			v.Reserved++
		}
		switch {
		case m.Lost || m.Quarantined:
			v.Unusable++
		case !m.HasReported:
			v.Starting++
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
	v.Delegates = srv.proxy.Overview(p, now)
	for _, j := range srv.Jobs {
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
	out := []telemetry.Gauge{{Name: "leads", Value: yes[v.ClusterLeader]}, {Name: "ready", Value: yes[v.Ready]}, {Name: "up_seconds", Value: v.UpS},
		{Name: "state_silent_seconds", Value: v.StateSilenceS}, {Name: "writes_wanted", Value: v.WritesWanted}, {Name: "writes_granted", Value: v.WritesGranted},
		{Name: "cloud_rests", Value: yes[v.CloudUnavailable]}, {Name: "jobs", Value: float64(v.Jobs)}, {Name: "jobs_ended", Value: float64(v.EndedJobs)},
		{Name: "rentals_open", Value: float64(v.PendingScaleOut)}, {Name: "machines_connected", Value: float64(v.Connected)},
		{Name: "machines_room", Value: float64(v.Capacity)}}
	for _, f := range v.Replicas {
		labels := fmt.Sprintf("{part=%q}", fmt.Sprint(f.Part))
		out = append(out, telemetry.Gauge{Name: "copy_behind_seconds", Labels: labels, Value: f.BehindS},
			telemetry.Gauge{Name: "copy_records", Labels: labels, Value: float64(f.Records)})
	}
	for _, p := range v.Partitions {
		labels := fmt.Sprintf("{part=%q}", fmt.Sprint(p.Part))
		carried := 0
		for _, k := range p.Delegates {
			carried += k.Machines
		}
		out = append(out, telemetry.Gauge{Name: "part_machines_carried", Labels: labels, Value: float64(carried)},
			telemetry.Gauge{Name: "part_machines", Labels: labels, Value: float64(p.Machines)},
			telemetry.Gauge{Name: "part_machines_idle", Labels: labels, Value: float64(p.Idle)},
			telemetry.Gauge{Name: "part_machines_coming", Labels: labels, Value: float64(p.Starting)},
			telemetry.Gauge{Name: "part_machines_bad", Labels: labels, Value: float64(p.Unusable)},
			telemetry.Gauge{Name: "part_machines_kept", Labels: labels, Value: float64(p.Reserved)},
			telemetry.Gauge{Name: "part_cpus_used_ratio", Labels: labels, Value: p.Used},
			telemetry.Gauge{Name: "part_tasks_running", Labels: labels, Value: float64(p.Running)},
			telemetry.Gauge{Name: "part_tasks_waiting", Labels: labels, Value: float64(p.Waiting)},
			telemetry.Gauge{Name: "part_oldest_wait_seconds", Labels: labels, Value: p.OldestS})
	}
	return out
}
