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

// A front end knows which clients wait for a job through it. So that a job is withdrawn
// after its last client has left even if that front end has died by then, each front end
// sends interest leases to some peers and renews them while a client waits. A job that
// nobody has waited for in the linger time is withdrawn, by the front end of its clients
// or by a peer whose lease has expired. Before that, all peers are asked.

// jobInterest is the interest of this front end's clients in a job.
type jobInterest struct {
	waiters    int
	credential string    // of the client that came last
	client     string    // its name, "" if not known
	idleSince  time.Time // when the last client left
	// status is what the controllers last reported of the job, if known is set;
	// refreshedAt is when they were asked, refreshing says that they are being asked.
	status      protocol.JobStatus
	known       bool
	refreshing  bool
	refreshedAt time.Time
}

// interestLease is a peer's interest in a job.
type interestLease struct {
	client string // name, "" if not known
	until  time.Time
}

// DefaultLinger is how long a job continues that no client waits for.
const DefaultLinger = time.Minute

const (
	// maxLeases bounds the leases of peers; a job without a lease runs to its end if its
	// front end dies.
	maxLeases = 100_000
	// maxJobsPerCall is how many jobs one call between peers is about.
	maxJobsPerCall = 1000
)

// addWaiter counts a client that waits for a job.
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
	delete(f.executions.leases, job) // from now on this front end has an interest itself
}

// removeWaiter counts a client that waits no longer.
func (f *FrontEnd) removeWaiter(job string) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if interest := f.executions.interests[job]; interest != nil {
		if interest.waiters--; interest.waiters == 0 {
			interest.idleSince = time.Now()
		}
	}
}

// forgetJob forgets a job that has ended.
func (f *FrontEnd) forgetJob(job string) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if interest := f.executions.interests[job]; interest != nil && interest.waiters == 0 {
		delete(f.executions.interests, job)
	}
	delete(f.executions.leases, job)
	f.untrackJob(job)
}

// renewInterestLeases sends leases of the jobs that clients wait for to the peers that
// come first in each job's order.
func (f *FrontEnd) renewInterestLeases(ctx context.Context, linger time.Duration) {
	if f.peers == nil || f.peers.Copies < 2 {
		return
	}
	for p, leases := range f.interestLeases(linger) {
		for some := range slices.Chunk(leases, maxJobsPerCall) {
			err := p.call(ctx, peerTimeout, func(ctx context.Context) error {
				_, err := p.service.Note(ctx, &inspection.NoteRequest{Interests: some})
				return err
			})
			if err != nil {
				f.log.Debug("renewal of interest leases failed", "peer", p.addr, "error", err)
				break // the next renewal goes to another peer if this one's circuit is open
			}
		}
	}
}

// interestLeases returns the leases of the jobs that clients wait for, by peer.
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

// wantedElsewhere asks the peers which of the jobs clients wait for there. A peer that
// does not answer has sent leases to others, for as long as it lived.
func (f *FrontEnd) wantedElsewhere(ctx context.Context, jobs []string) map[string]bool {
	wanted := map[string]bool{}
	if f.peers == nil {
		return wanted
	}
	for _, p := range f.peers.available("") {
		for some := range slices.Chunk(jobs, maxJobsPerCall) {
			err := p.call(ctx, peerTimeout, func(ctx context.Context) error {
				reply, err := p.service.Wanted(ctx, &inspection.WantedRequest{Jobs: some})
				for _, job := range reply.GetJobs() {
					wanted[job] = true
				}
				return err
			})
			if err != nil {
				f.log.Debug("query for interest at peer failed", "peer", p.addr, "error", err)
				break
			}
		}
	}
	return wanted
}

// abandonedJobs returns the jobs that nobody has waited for in the linger time, as far as
// this front end knows, with the credentials to withdraw them.
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
		if now.Sub(lease.until) > linger {
			credential := ""
			if lease.client != "" {
				credential = certificatePrefix + lease.client
			}
			abandoned[job] = jobInterest{credential: credential, client: lease.client}
		}
	}
	return abandoned
}

// cancelAbandonedJobs withdraws jobs that nobody has waited for in the linger time. Jobs
// that have ended by then are only forgotten.
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

// convertToLease keeps a job that clients of a peer wait for under a lease: the peer will
// withdraw it, or renew the lease.
func (f *FrontEnd) convertToLease(job string, interest jobInterest, until time.Time) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if own := f.executions.interests[job]; own != nil && own.waiters == 0 {
		delete(f.executions.interests, job)
		f.executions.leases[job] = interestLease{interest.client, until}
	} else if lease, ok := f.executions.leases[job]; ok {
		lease.until = until
		f.executions.leases[job] = lease
	}
}

// hasWaiters reports whether a client waits for a job here.
func (f *FrontEnd) hasWaiters(job string) bool {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	interest := f.executions.interests[job]
	return interest != nil && interest.waiters > 0
}

// cancelAbandoned withdraws a job and forgets it. If the controllers can't be reached, it
// is tried again at the next sweep; if they refuse, it is not.
func (f *FrontEnd) cancelAbandoned(ctx context.Context, job string, interest jobInterest) {
	// Withdrawing a job that is done does nothing.
	err := f.withCredential(&interest.credential, interest.client, func(credential string) error {
		return f.jobs.Withdraw(ctx, credential, job)
	})
	var refusal *client.Refusal
	if err != nil && !errors.As(err, &refusal) {
		f.log.Info("withdrawal of abandoned job failed, to be retried", "job", job, "error", err)
		return
	}
	if err != nil {
		f.log.Warn("withdrawal of abandoned job refused", "job", job, "error", err)
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
