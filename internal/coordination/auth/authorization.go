package auth

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
)

const (
	// unknownJobRate is how many unknown jobs an identity may ask for a second.
	unknownJobRate = 5
	// UnknownJobBurst is how many it may ask for at once.
	UnknownJobBurst = 20
	// UnknownJobLimitersLimit is for how many identities that is counted, some 300 bytes
	// each.
	UnknownJobLimitersLimit = 4096
)

// serviceOwnVerbs are the rights that a service may use of its own also where it acts on
// behalf of somebody: it follows and ends what it was allowed to begin, whatever has become
// of those for whom it did.
const serviceOwnVerbs = rights.View | rights.Cancel

// errUnknownJobBudget refuses who asks too often for jobs that nobody knows.
var errUnknownJobBudget = fmt.Errorf("%w: over the budget for unknown jobs", storage.ErrBudget)

// Allows reports whether a caller holds a verb on a queue.
func (a *Auth) Allows(caller *Caller, verb rights.Verb, queue rights.Queue) bool {
	policy := a.policy.Load().Rights
	allowed := policy.Allows(caller.Name, verb, queue)
	if caller.Service == "" {
		return allowed
	}
	return allowed && policy.Allows(caller.Service, rights.Vouch, queue) || verb&serviceOwnVerbs != 0 && policy.Allows(caller.Service, verb, queue)
}

// HoldsAny reports whether a caller holds a verb on some queue.
func (a *Auth) HoldsAny(caller *Caller, verb rights.Verb) bool {
	policy := a.policy.Load().Rights
	return policy.HoldsAny(caller.Name, verb) || caller.Service != "" && verb&serviceOwnVerbs != 0 && policy.HoldsAny(caller.Service, verb)
}

// AllowsEverywhere reports whether a caller holds a verb on every queue.
func (a *Auth) AllowsEverywhere(caller *Caller, verb rights.Verb) bool {
	policy := a.policy.Load().Rights
	return policy.AllowsEverywhere(caller.Name, verb) && (caller.Service == "" || policy.AllowsEverywhere(caller.Service, rights.Vouch))
}

// Administers reports whether a caller may change the policy and read the audit. Nobody
// administers through a service.
func (a *Auth) Administers(caller *Caller) bool {
	view := a.policy.Load()
	return caller.Service == "" && (view.Rights.AllowsEverywhere(caller.Name, rights.Administer) || a.isBootstrap(view, caller.Name))
}

// isBootstrap reports whether somebody may write the first policy.
func (a *Auth) isBootstrap(view *PolicyView, name string) bool {
	return view.Version == 0 && a.bootstrap != "" && name == a.bootstrap
}

// AuthorizeJob returns the queue of a job if a caller holds a verb on it. It refuses with the
// same message, after the same reads, whether the job exists or not; only who holds the
// verb on every queue passes for a job that does not exist, with no queue.
func (a *Auth) AuthorizeJob(ctx context.Context, caller *Caller, verb rights.Verb, id string) (rights.Queue, error) {
	if !a.enabled {
		return rights.Queue{}, nil
	}
	if !a.HoldsAny(caller, verb) {
		return rights.Queue{}, a.Deny(caller, verb.String(), rights.Queue{}, id, "holds this right on no queue")
	}
	everywhere := a.AllowsEverywhere(caller, verb)
	var queue rights.Queue
	known := false
	a.loop.Do(func() { queue, known = a.jobQueues.queueOf(id) })
	if known && a.Allows(caller, verb, queue) {
		return queue, nil
	}
	// Somebody else's job is read like one that this controller does not know,
	// so that neither the time nor the budget for unknown jobs tells them apart.
	spec, err := a.readUnknownJob(ctx, caller, id)
	switch {
	case errors.Is(err, storage.ErrNotFound) && everywhere:
		return queue, nil
	case errors.Is(err, storage.ErrNotFound):
	case errors.Is(err, errUnknownJobBudget):
		a.noteDenied(caller, verb.String(), rights.Queue{}, id, "asks too often for jobs that are not in its queues")
		return queue, err
	case err != nil:
		return queue, err
	default:
		queue = rights.Queue{Team: spec.Team, Class: spec.Class}
		if a.Allows(caller, verb, queue) {
			return queue, nil
		}
	}
	return queue, a.Deny(caller, verb.String(), queue, id, "no such job in a queue of this right")
}

// readUnknownJob reads a job's record within the caller's budget for unknown jobs.
func (a *Auth) readUnknownJob(ctx context.Context, caller *Caller, id string) (*protocol.JobSpec, error) {
	if !protocol.ValidID(id) {
		return nil, storage.ErrNotFound
	}
	if !a.takeUnknownJobBudget(caller.Name) {
		return nil, errUnknownJobBudget
	}
	return a.ReadSpec(ctx, id)
}

// takeUnknownJobBudget reports whether an identity may ask for one more unknown job now.
func (a *Auth) takeUnknownJobBudget(name string) bool {
	limiter, ok := a.UnknownJobLimiters.Get(name)
	if !ok {
		limiter = rate.NewLimiter(unknownJobRate, UnknownJobBurst)
		a.UnknownJobLimiters.Add(name, limiter)
	}
	return limiter.Allow()
}

// ReadSpec reads a job's record from the state store.
func (a *Auth) ReadSpec(ctx context.Context, id string) (*protocol.JobSpec, error) {
	if a.store.Down() {
		return nil, storage.ErrRefused
	}
	item, err := a.store.UserGet(ctx, storage.JobKey(id))
	if err != nil {
		return nil, err
	}
	spec := new(protocol.JobSpec)
	if err := storage.Decode(item.Value, spec); err != nil {
		return nil, fmt.Errorf("%w: %w", storage.ErrUnknown, err)
	}
	return spec, nil
}
