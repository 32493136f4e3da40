package reapi

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi/inspection"
)

// A job is cancelled once it has had no waiting client for the linger time. Each front end
// tracks the clients that wait for jobs through it. In case it fails, it also sends interest
// leases to some peers and renews them while a client waits; a peer whose lease has expired
// cancels the job. Before a front end cancels a job, it asks all peers whether a client waits
// for the job there.

// jobInterest is the interest of this front end's clients in a job.
type jobInterest struct {
	waiters    int
	credential string    // of the most recent client
	client     string    // name of the most recent client, "" if not known
	idleSince  time.Time // disconnection of the last client
	// status is the job's last status from the controllers, valid if statusKnown is set.
	// refreshedAt is the time of the last status request; refreshing is set while one is
	// in progress.
	status      protocol.JobStatus
	statusKnown bool
	refreshing  bool
	refreshedAt time.Time
}

// interestLease is a peer's interest in a job.
type interestLease struct {
	client string // name, "" if not known
	expiry time.Time
}

// DefaultLinger is the time for which a job continues after its last client has disconnected.
const DefaultLinger = time.Minute

const (
	// maxLeases is the maximum number of leases held for peers. A job without a lease runs to
	// completion if its front end fails.
	maxLeases = 100_000
	// maxJobsPerCall is the maximum number of jobs in one call between peers.
	maxJobsPerCall = 1000
)

// addWaiter registers a client that waits for a job.
func (f *FrontEnd) addWaiter(job, credential, client string) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	interest := f.executions.interests[job]
	if interest == nil {
		interest = &jobInterest{refreshedAt: time.Now()}
		f.executions.interests[job] = interest
	}
	interest.waiters++
	interest.credential, interest.client = credential, client
	delete(f.executions.leases, job) // replaced by this front end's own interest
}

// removeWaiter removes a client that no longer waits for a job.
func (f *FrontEnd) removeWaiter(job string) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if interest := f.executions.interests[job]; interest != nil {
		if interest.waiters--; interest.waiters == 0 {
			interest.idleSince = time.Now()
		}
	}
}

// forgetJob removes the state of a job that has ended.
func (f *FrontEnd) forgetJob(job string) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if interest := f.executions.interests[job]; interest != nil && interest.waiters == 0 {
		delete(f.executions.interests, job)
	}
	delete(f.executions.leases, job)
	f.untrackJob(job)
}

// renewInterestLeases sends a lease of each job that a client waits for to the first peers
// in the job's rendezvous order.
func (f *FrontEnd) renewInterestLeases(ctx context.Context, linger time.Duration) {
	if f.peers == nil || f.peers.Copies < 2 {
		return
	}
	for p, leases := range f.interestLeases(linger) {
		for chunk := range slices.Chunk(leases, maxJobsPerCall) {
			err := p.call(ctx, peerTimeout, func(ctx context.Context) error {
				_, err := p.service.Note(ctx, &inspection.NoteRequest{Interests: chunk})
				return err
			})
			if err != nil {
				f.log.Debug("renewal of interest leases failed", "peer", p.addr, "error", err)
				break // the next renewal skips this peer if its circuit breaker is open
			}
		}
	}
}

// interestLeases returns the leases to send for the jobs that clients wait for, by peer.
func (f *FrontEnd) interestLeases(linger time.Duration) map[*peer][]*inspection.Interest {
	leases := map[*peer][]*inspection.Interest{}
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	for job, interest := range f.executions.interests {
		if interest.waiters == 0 {
			continue
		}
		lease := &inspection.Interest{Job: job, Who: interest.client, ForMs: linger.Milliseconds()}
		for n, p := range f.peers.available(job) {
			if n == f.peers.Copies-1 {
				break
			}
			leases[p] = append(leases[p], lease)
		}
	}
	return leases
}

// wantedElsewhere returns the jobs from the list that have waiting clients at a peer. A peer
// that does not answer is skipped: other peers hold the leases that it sent.
func (f *FrontEnd) wantedElsewhere(ctx context.Context, jobs []string) map[string]bool {
	wanted := map[string]bool{}
	if f.peers == nil {
		return wanted
	}
	for _, p := range f.peers.available("") {
		for chunk := range slices.Chunk(jobs, maxJobsPerCall) {
			err := p.call(ctx, peerTimeout, func(ctx context.Context) error {
				reply, err := p.service.Wanted(ctx, &inspection.WantedRequest{Jobs: chunk})
				for _, job := range reply.GetJobs() {
					wanted[job] = true
				}
				return err
			})
			if err != nil {
				f.log.Debug("query for awaited jobs at peer failed", "peer", p.addr, "error", err)
				break
			}
		}
	}
	return wanted
}

// abandonedJobs returns the jobs that no client of this front end has waited for during the
// linger time, with the credentials to cancel them.
func (f *FrontEnd) abandonedJobs(now time.Time, linger time.Duration) map[string]jobInterest {
	abandoned := map[string]jobInterest{}
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	for job, interest := range f.executions.interests {
		if interest.waiters == 0 && now.Sub(interest.idleSince) > linger {
			abandoned[job] = *interest
		}
	}
	for job, lease := range f.executions.leases {
		if now.Sub(lease.expiry) > linger {
			credential := ""
			if lease.client != "" {
				credential = certificatePrefix + lease.client
			}
			abandoned[job] = jobInterest{credential: credential, client: lease.client}
		}
	}
	return abandoned
}

// cancelAbandonedJobs cancels the jobs that have had no waiting client for the linger time.
// For jobs that have already ended, it only removes their state.
func (f *FrontEnd) cancelAbandonedJobs(ctx context.Context, linger time.Duration) {
	now := time.Now()
	abandoned := f.abandonedJobs(now, linger)
	if len(abandoned) == 0 {
		return
	}
	wanted := f.wantedElsewhere(ctx, slices.Collect(maps.Keys(abandoned)))
	for job, interest := range abandoned {
		if wanted[job] {
			f.convertToLease(job, interest, now.Add(linger))
			continue
		}
		if !f.hasWaiters(job) {
			f.cancelAbandoned(ctx, job, interest)
		}
	}
}

// convertToLease is called for a job that clients of a peer wait for. It replaces this front
// end's interest in the job by a lease of the peer, or extends an existing lease. From then
// on, the peer renews the lease or cancels the job.
func (f *FrontEnd) convertToLease(job string, interest jobInterest, expiry time.Time) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if own := f.executions.interests[job]; own != nil && own.waiters == 0 {
		delete(f.executions.interests, job)
		f.executions.leases[job] = interestLease{interest.client, expiry}
	} else if lease, ok := f.executions.leases[job]; ok {
		lease.expiry = expiry
		f.executions.leases[job] = lease
	}
}

// hasWaiters reports whether a client of this front end waits for a job.
func (f *FrontEnd) hasWaiters(job string) bool {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	interest := f.executions.interests[job]
	return interest != nil && interest.waiters > 0
}

// cancelAbandoned cancels a job and removes its state. If the controllers can't be reached,
// the next sweep tries again; if they refuse, it does not.
func (f *FrontEnd) cancelAbandoned(ctx context.Context, job string, interest jobInterest) {
	// Cancelling a job that is done has no effect.
	err := f.withCredential(&interest.credential, interest.client, func(credential string) error {
		return f.jobs.Cancel(ctx, credential, job)
	})
	var refusal *client.Refusal
	if err != nil && !errors.As(err, &refusal) {
		f.log.Info("cancellation of abandoned job failed, retrying at the next sweep", "job", job, "error", err)
		return
	}
	if err != nil {
		f.log.Warn("cancellation of abandoned job refused", "job", job, "error", err)
	}
	f.forgetJob(job)
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	for key, t := range f.executions.running {
		if t.job == job {
			delete(f.executions.running, key)
		}
	}
}
