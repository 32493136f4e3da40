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

// dependencyLookupTimeout bounds how long a submission's dependencies are looked up.
const dependencyLookupTimeout = 3 * time.Second

// neverAccepted refuses dependencies on unknown jobs.
const neverAccepted = "depends on a job that was never accepted"

func tooLarge(size, limit int) string {
	return fmt.Sprintf("job is too large to record: %d bytes of at most %d", size, limit)
}

// checkDependencies returns why a job can't depend on what it names, "" if it can. Being
// accepted is final, so memory proves it; what memory lacks is read, since
// another controller may have accepted it a moment ago (rule 20).
func (s *Server) checkDependencies(ctx context.Context, spec *protocol.JobSpec) (reason string, err error) {
	ctx, cancel := context.WithTimeout(ctx, dependencyLookupTimeout)
	defer cancel()
	for _, id := range spec.Dependencies {
		if id == spec.ID || !protocol.ValidID(id) {
			return neverAccepted, nil
		}
		service, err := s.isService(ctx, id)
		switch {
		case errors.Is(err, storage.ErrNotFound):
			return neverAccepted, nil
		case err != nil:
			return "", err
		case service:
			return "depends on a service, which is never done", nil
		}
	}
	return "", nil
}

// isService reports whether an accepted job is a service; storage.ErrNotFound if there is no
// such job.
func (s *Server) isService(ctx context.Context, id string) (bool, error) {
	known, service := false, false
	s.loop.Do(func() {
		job := s.Jobs[id]
		// Of a cancelled job, the record tells whether it was a service.
		known = job != nil || s.FinalStates[id] == protocol.StatusDone
		service = job != nil && job.Spec.Standing
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
	return spec.Standing, nil
}

// checkFeasible returns why a job can never run, "" if it can. It runs in the loop.
func (s *Server) checkFeasible(spec *protocol.JobSpec) string {
	team, ok := s.TeamIndex[spec.Team]
	if !ok {
		return "unknown team"
	}
	limits := s.Settings.Params.Teams[team]
	// The tasks of services and gangs run at the same time.
	together := spec.Standing || spec.Gang
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

// exceeds reports whether an amount is above a limit; a limit of 0 is none.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+binpack.Epsilon }
