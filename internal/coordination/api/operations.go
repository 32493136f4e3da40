package api

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/overview"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// Paths of the operators' requests.
const (
	metricsPath  = "/metrics"
	overviewPath = "/overview"
)

// prometheusText is the content type of the Prometheus text format.
const prometheusText = "text/plain; version=0.0.4"

// ServeOperations serves /metrics and /overview to operators. If authentication is enabled, the
// caller needs the View permission on every queue, since the totals cover all queues.
func (s *Server) ServeOperations(_ context.Context, req *transport.Request) transport.Response {
	response, err := s.serveOperations(req)
	if err != nil {
		return apierror.Response(err)
	}
	return response
}

func (s *Server) serveOperations(req *transport.Request) (transport.Response, error) {
	if req.Path != metricsPath && req.Path != overviewPath {
		return transport.Response{}, errNoSuchPath
	}
	if req.Method != http.MethodGet {
		return transport.Response{}, errWrongMethod
	}
	caller, err := s.auth.Authenticate(req, verbObserve)
	if err != nil {
		return transport.Response{}, err
	}
	if s.auth.Enabled() && !s.auth.AllowsEverywhere(caller, rights.View) {
		return transport.Response{}, s.auth.Deny(caller, verbObserve, rights.Queue{}, "", "may not view every queue")
	}
	var view overview.View
	if !s.loop.Do(func() { view = s.StateOverview(time.Now()) }) {
		return transport.Response{}, errStopping
	}
	view.Waits = s.metrics.Quantiles()
	if req.Path == overviewPath {
		return success(http.StatusOK, view), nil
	}
	var body bytes.Buffer
	s.metrics.Write(&body, gauges(&view))
	return transport.Response{Status: http.StatusOK, ContentType: prometheusText, Body: body.Bytes()}, nil
}

// StateOverview returns the state of this controller and of the partitions that it leads. It
// must be called in the event loop.
func (s *Server) StateOverview(now time.Time) overview.View {
	load := s.proxy.Load(now)
	view := overview.View{
		Controller:        s.Settings.Label,
		Zone:              s.Settings.Zone,
		TimestampMS:       now.UnixMilli(),
		UptimeS:           now.Sub(s.StartedAt).Seconds(),
		ClusterLeader:     s.Leadership.Held,
		Ready:             s.Synced && len(s.Catalog) > 0,
		StateSilenceS:     s.store.SinceLastAnswer().Seconds(),
		WritesWanted:      s.WriteDemand,
		WritesGranted:     s.store.GrantedWriteRate(),
		CloudUnavailable:  s.cloud.Unavailable(now),
		UnfinishedJobs:    len(s.Jobs),
		EndedJobs:         len(s.FinalStates),
		PendingScaleOuts:  len(s.Leadership.PendingScaleOuts),
		ConnectedMachines: load.Machines,
		Capacity:          load.Capacity,
		Moves:             s.proxy.RecentMoves(now),
		Replicas:          s.replicator.Overview(now),
		Teams:             s.teamOverviews(),
	}
	for _, partition := range s.Partitions {
		if partition.Held {
			view.Partitions = append(view.Partitions, s.partitionOverview(partition, now))
		}
	}
	return view
}

// teamOverviews returns the teams whose partitions this controller leads.
func (s *Server) teamOverviews() (teams []overview.Team) {
	for index, team := range s.Settings.Params.Teams {
		if partition := s.Partitions[s.TeamPartition[index]]; partition.Held {
			teams = append(teams, overview.Team{Name: team.Name, Partition: partition.Index, CPUs: partition.Usage[index].CPUs, Guarantee: team.CPUs, Limit: team.CPUsMax})
		}
	}
	for _, job := range s.Jobs {
		for i := range teams {
			if team := &teams[i]; job.HasRunState && team.Name == job.Spec.Team {
				team.Running += len(job.LiveAttempts)
				team.Waiting += len(job.Pending)
			}
		}
	}
	return teams
}

func (s *Server) partitionOverview(partition *cluster.Partition, now time.Time) overview.Partition {
	view := overview.Partition{
		Index:                partition.Index,
		Ready:                partition.Ready,
		Delegates:            s.proxy.Overview(partition, now),
		LongWaitingJobs:      partition.LongWaitingJobs,
		JobsExcludedFromRoom: partition.JobsExcludedFromRoom,
		FormerLeadersAnswerS: max(0, failover.Latest(s.leases.FormerLeaderBounds(partition)...).Until.Sub(now).Seconds()),
	}
	s.countMachines(&view)
	s.countTasks(&view, now)
	return view
}

// countMachines fills in the counts of a partition's machines and their CPU utilization.
func (s *Server) countMachines(view *overview.Partition) {
	usedCPUs, allCPUs := 0.0, 0.0
	for _, machine := range s.Machines {
		if machine.Record.Partition != view.Index {
			continue
		}
		view.Machines++
		view.Forgetting += machine.ReleasedAttempts()
		if machine.AwaitsFence() {
			view.Unfenced++
		}
		if machine.ReservedFor != fairshare.NoGroup {
			view.Reserved++
		}
		switch {
		case machine.Lost || machine.Quarantined:
			view.Unusable++
		case !machine.HasReported:
			view.Starting++
		case len(machine.Attempts) == 0 && len(machine.OrphanedTasks) == 0:
			view.Idle++
		}
		if machine.Type != nil && machine.HasReported {
			usedCPUs += machine.Used.CPUs
			allCPUs += machine.Type.CPUs
		}
	}
	if allCPUs > 0 {
		view.CPUUtilization = usedCPUs / allCPUs
	}
}

// countTasks fills in the counts of a partition's tasks and the longest wait.
func (s *Server) countTasks(view *overview.Partition, now time.Time) {
	for _, job := range s.Jobs {
		if job.Partition != view.Index || !job.HasRunState {
			continue
		}
		view.Running += len(job.LiveAttempts)
		view.Waiting += len(job.Pending)
		if len(job.Pending) > 0 && !job.Blocked {
			view.OldestWaitS = max(view.OldestWaitS, now.Sub(job.ReadySince()).Seconds())
		}
	}
}
