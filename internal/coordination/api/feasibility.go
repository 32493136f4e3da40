package api

import (
	"context"
	"errors"
	"fmt"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// dependencyLookupTimeout is the time limit for looking up the dependencies of a submission.
const dependencyLookupTimeout = 3 * time.Second

// unknownDependency is the reason for rejecting a job that depends on an unknown job.
const unknownDependency = "depends on a job that was never accepted"

// tooLargeReason returns the reason for rejecting a job whose record exceeds the size limit.
func tooLargeReason(size, limit int) string {
	return fmt.Sprintf("job is too large to record: %d bytes of at most %d", size, limit)
}

// checkDependencies returns the reason why a job's dependencies are invalid, or "" if they are
// valid. An accepted job stays accepted, so a dependency that is in memory need not be read. Other
// dependencies are read from the state store, since another controller may have just accepted them
// (rule 20).
func (s *Server) checkDependencies(ctx context.Context, spec *protocol.JobSpec) (reason string, err error) {
	ctx, cancel := context.WithTimeout(ctx, dependencyLookupTimeout)
	defer cancel()
	for _, id := range spec.Dependencies {
		if id == spec.ID || !protocol.ValidJobID(id) {
			return unknownDependency, nil
		}
		service, err := s.isService(ctx, id)
		switch {
		case errors.Is(err, storage.ErrNotFound):
			return unknownDependency, nil
		case err != nil:
			return "", err
		case service:
			return "depends on a service, which is never done", nil
		}
	}
	return "", nil
}

// isService reports whether an accepted job is a service. The error is storage.ErrNotFound if
// there is no such job.
func (s *Server) isService(ctx context.Context, id string) (bool, error) {
	known, service := false, false
	s.loop.Do(func() {
		job := s.Jobs[id]
		// A service is never done. Whether a cancelled job was a service is only in the
		// job's record.
		known = job != nil || s.FinalStates[id] == protocol.StatusDone
		service = job != nil && job.Spec.Service
	})
	if known {
		return service, nil
	}
	if s.store.Down() {
		return false, storage.ErrRefused
	}
	item, err := s.store.UserGet(ctx, storage.JobKey(id))
	if err != nil {
		return false, err
	}
	var spec protocol.JobSpec
	if err := storage.Decode(item.Value, &spec); err != nil {
		return false, err
	}
	return spec.Service, nil
}

// checkFeasible returns the reason why a job can never run, or "" if it can. It must be called
// in the event loop.
func (s *Server) checkFeasible(spec *protocol.JobSpec) string {
	team, ok := s.TeamIndex[spec.Team]
	if !ok {
		return "unknown team"
	}
	limits := s.Settings.Params.Teams[team]
	// All tasks of a service or a gang run at the same time.
	together := spec.Service || spec.Gang
	concurrent := 1.0
	if together {
		concurrent = float64(spec.Tasks)
	}
	if exceeds(concurrent*spec.CPUs, limits.CPUsMax) || exceeds(concurrent*spec.GPUs, limits.GPUsMax) {
		return "more than the team's limit"
	}
	if together && spec.Tasks > 1 && spec.Spread && (spec.OneZone || spec.Zone != "") {
		return "its tasks can't run together in one zone and be apart"
	}
	if len(s.Catalog) == 0 {
		return ""
	}
	constraints, resources := cluster.ConstraintsOf(spec), cluster.ResourcesOf(spec)
	for i := range s.Catalog {
		if binpack.FitsOffered(constraints, resources, &s.Catalog[i]) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

// exceeds reports whether an amount is above a limit; 0 means no limit.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+binpack.Epsilon }
