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
	// unknownJobRate limits an identity's lookups of unknown jobs, per second.
	unknownJobRate = 5
	// UnknownJobBurst is the burst size of that limit.
	UnknownJobBurst = 20
	// MaxUnknownJobLimiters is the maximum number of identities with a limiter, of about
	// 300 bytes each.
	MaxUnknownJobLimiters = 4096
)

// serviceOwnVerbs are the permissions of its own that a service may use in requests on behalf of a
// user. With them, the service can still view and cancel the jobs that it submitted for a user who
// has lost these permissions since.
const serviceOwnVerbs = rights.View | rights.Cancel

// errUnknownJobBudget rejects a caller that exceeds the rate limit for unknown jobs.
var errUnknownJobBudget = fmt.Errorf("%w: rate limit for unknown jobs exceeded", storage.ErrBudget)

// Allows reports whether a caller has a permission on a queue.
func (a *Auth) Allows(caller *Caller, verb rights.Verb, queue rights.Queue) bool {
	policy := a.policy.Load().Rights
	allowed := policy.Allows(caller.Name, verb, queue)
	if caller.Service == "" {
		return allowed
	}
	return allowed && policy.Allows(caller.Service, rights.ActOnBehalf, queue) || verb&serviceOwnVerbs != 0 && policy.Allows(caller.Service, verb, queue)
}

// HoldsAny reports whether a caller has a permission on at least one queue.
func (a *Auth) HoldsAny(caller *Caller, verb rights.Verb) bool {
	policy := a.policy.Load().Rights
	return policy.HoldsAny(caller.Name, verb) || caller.Service != "" && verb&serviceOwnVerbs != 0 && policy.HoldsAny(caller.Service, verb)
}

// AllowsEverywhere reports whether a caller has a permission on every queue.
func (a *Auth) AllowsEverywhere(caller *Caller, verb rights.Verb) bool {
	policy := a.policy.Load().Rights
	return policy.AllowsEverywhere(caller.Name, verb) && (caller.Service == "" || policy.AllowsEverywhere(caller.Service, rights.ActOnBehalf))
}

// IsAdministrator reports whether a caller may change the policy and read the audit log. Requests
// that a service sends on behalf of a user may do neither.
func (a *Auth) IsAdministrator(caller *Caller) bool {
	view := a.policy.Load()
	return caller.Service == "" && (view.Rights.AllowsEverywhere(caller.Name, rights.Administer) || a.mayBootstrapPolicy(view, caller.Name))
}

// mayBootstrapPolicy reports whether there is no policy yet and an identity may write the first
// one.
func (a *Auth) mayBootstrapPolicy(view *PolicyView, name string) bool {
	return view.Version == 0 && a.bootstrapIdentity != "" && name == a.bootstrapIdentity
}

// AuthorizeJob returns the queue of a job if a caller has a permission on that queue. A denial
// doesn't reveal whether the job exists: the message and the reads before it are the same in
// both cases. For a job that doesn't exist, a caller with the permission on every queue gets a
// zero queue and no error.
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
	// A job in memory on whose queue the caller lacks the permission is looked up like a job
	// that is not in memory, so that neither the response time nor the rate limit reveals
	// whether the job exists.
	spec, err := a.readUnknownJob(ctx, caller, id)
	switch {
	case errors.Is(err, storage.ErrNotFound) && everywhere:
		return queue, nil
	case errors.Is(err, storage.ErrNotFound):
	case errors.Is(err, errUnknownJobBudget):
		a.auditDenial(caller, verb.String(), rights.Queue{}, id, "asks too often for jobs that are not in its queues")
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

// readUnknownJob reads a job's record within the caller's rate limit for unknown jobs.
func (a *Auth) readUnknownJob(ctx context.Context, caller *Caller, id string) (*protocol.JobSpec, error) {
	if !protocol.ValidJobID(id) {
		return nil, storage.ErrNotFound
	}
	if !a.allowUnknownJobLookup(caller.Name) {
		return nil, errUnknownJobBudget
	}
	return a.ReadSpec(ctx, id)
}

// allowUnknownJobLookup reports whether an identity's rate limiter allows another lookup of an
// unknown job.
func (a *Auth) allowUnknownJobLookup(name string) bool {
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
