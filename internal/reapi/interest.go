package reapi

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi/inspection"
)

// Who waits for a job is known to the gate where they wait. So that a job ends with
// its last one also when that gate does not live to see it, each gate tells some
// others, by a lease that is told again for as long as somebody waits. A job that
// nobody waits for is withdrawn once its linger is over: by the gate where they
// were, or by one that was told. Before that, the others are asked.

// interest is who waits for a job's actions here.
type interest struct {
	followers  int
	credential string
	who        string    // by name, if it is known
	left       time.Time // when the last one went
	// What the controllers last said of the job, and when they were asked.
	status protocol.JobStatus
	known  bool
	asking bool
	asked  time.Time
}

// lease is what another gate has told of a job.
type lease struct {
	who   string
	until time.Time
}

// DefaultLinger is how long a job goes on that no client waits for.
const DefaultLinger = time.Minute

const (
	// maxLeases bounds what others tell; beyond it a job of theirs runs to its end.
	maxLeases = 100_000
	// askJobs is how many jobs are asked about in one call.
	askJobs = 1000
)

// join notes that a client waits for a job.
func (g *FrontEnd) join(job, cred, who string) {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	w := g.gather.wanted[job]
	if w == nil {
		w = &interest{asked: time.Now()}
		g.gather.wanted[job] = w
	}
	w.followers++
	w.credential, w.who = cred, who
	delete(g.gather.leases, job) // it is this gate's own matter now
}

// leave notes that a client waits no longer.
func (g *FrontEnd) leave(job string) {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	if w := g.gather.wanted[job]; w != nil {
		if w.followers--; w.followers == 0 {
			w.left = time.Now()
		}
	}
}

// ended forgets a job that is over.
func (g *FrontEnd) ended(job string) {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	if w := g.gather.wanted[job]; w != nil && w.followers == 0 {
		delete(g.gather.wanted, job)
	}
	delete(g.gather.leases, job)
	g.notHanded(job)
}

// neighbours serves the other gates.
type neighbours struct {
	inspection.UnimplementedNeighboursServer
	g *FrontEnd
}

// Note takes leases.
func (n neighbours) Note(ctx context.Context, req *inspection.NoteRequest) (*inspection.NoteReply, error) {
	if !n.g.fromPeer(ctx) {
		return nil, status.Error(codes.PermissionDenied, "gates ask this of each other only")
	}
	now := time.Now()
	n.g.gather.mu.Lock()
	defer n.g.gather.mu.Unlock()
	for _, i := range req.GetInterests() {
		_, here := n.g.gather.wanted[i.GetJob()]
		_, known := n.g.gather.leases[i.GetJob()]
		if here || !known && len(n.g.gather.leases) >= maxLeases {
			continue
		}
		n.g.gather.leases[i.GetJob()] = lease{i.GetWho(), now.Add(time.Duration(i.GetForMs()) * time.Millisecond)}
	}
	return &inspection.NoteReply{}, nil
}

// Wanted says for which jobs somebody waits here.
func (n neighbours) Wanted(ctx context.Context, req *inspection.WantedRequest) (*inspection.WantedReply, error) {
	if !n.g.fromPeer(ctx) {
		return nil, status.Error(codes.PermissionDenied, "gates ask this of each other only")
	}
	reply := &inspection.WantedReply{}
	n.g.gather.mu.Lock()
	defer n.g.gather.mu.Unlock()
	for _, job := range req.GetJobs() {
		if w := n.g.gather.wanted[job]; w != nil && w.followers > 0 {
			reply.Jobs = append(reply.Jobs, job)
		}
	}
	return reply, nil
}

// tellInterest renews what this gate has told the others.
func (g *FrontEnd) tellInterest(ctx context.Context, linger time.Duration) {
	if g.peers == nil || g.peers.Copies < 2 {
		return
	}
	told := map[*peerGate][]*inspection.Interest{}
	g.gather.mu.Lock()
	for job, w := range g.gather.wanted {
		if w.followers == 0 {
			continue
		}
		i := &inspection.Interest{Job: job, Who: w.who, ForMs: linger.Milliseconds()}
		for n, p := range g.peers.inOrder(job) {
			if n == g.peers.Copies-1 {
				break
			}
			told[p] = append(told[p], i)
		}
	}
	g.gather.mu.Unlock()
	for p, list := range told {
		for len(list) > 0 {
			part := list[:min(len(list), askJobs)]
			list = list[len(part):]
			if err := p.call(ctx, peerTime, func(ctx context.Context) error {
				_, err := p.mates.Note(ctx, &inspection.NoteRequest{Interests: part})
				return err
			}); err != nil {
				g.log.Debug("interest not told", "peer", p.addr, "reason", err)
				break // told again soon, to another one if this one rests
			}
		}
	}
}

// wantedElsewhere asks the other gates for which jobs somebody waits there. One that
// does not answer has told its interest to others, as long as it lived.
func (g *FrontEnd) wantedElsewhere(ctx context.Context, jobs []string) map[string]bool {
	out := map[string]bool{}
	if g.peers == nil {
		return out
	}
	for _, p := range g.peers.inOrder("") {
		for list := jobs; len(list) > 0; {
			part := list[:min(len(list), askJobs)]
			list = list[len(part):]
			err := p.call(ctx, peerTime, func(ctx context.Context) error {
				reply, err := p.mates.Wanted(ctx, &inspection.WantedRequest{Jobs: part})
				for _, job := range reply.GetJobs() {
					out[job] = true
				}
				return err
			})
			if err != nil {
				g.log.Debug("interest not asked", "peer", p.addr, "reason", err)
				break
			}
		}
	}
	return out
}

// unwanted are jobs that nobody has waited for in a while, as far as this gate
// knows, with the credentials to end them.
func (g *FrontEnd) unwanted(now time.Time, linger time.Duration) map[string]interest {
	out := map[string]interest{}
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	for job, w := range g.gather.wanted {
		if w.followers == 0 && now.Sub(w.left) > linger {
			out[job] = *w
		}
	}
	for job, l := range g.gather.leases {
		if now.Sub(l.until) > linger {
			cred := ""
			if l.who != "" {
				cred = vouching + l.who
			}
			out[job] = interest{credential: cred, who: l.who}
		}
	}
	return out
}

// withdrawUnwanted withdraws jobs that nobody has waited for in a while; those
// that have ended by then are only forgotten.
func (g *FrontEnd) withdrawUnwanted(ctx context.Context, linger time.Duration) {
	now := time.Now()
	list := g.unwanted(now, linger)
	if len(list) == 0 {
		return
	}
	var jobs []string
	for job := range list {
		jobs = append(jobs, job)
	}
	elsewhere := g.wantedElsewhere(ctx, jobs)
	for job, w := range list {
		if elsewhere[job] {
			// That gate ends it, or tells of it.
			g.gather.mu.Lock()
			if own := g.gather.wanted[job]; own != nil && own.followers == 0 {
				delete(g.gather.wanted, job)
				g.gather.leases[job] = lease{w.who, now.Add(linger)}
			} else if l, ok := g.gather.leases[job]; ok {
				l.until = now.Add(linger)
				g.gather.leases[job] = l
			}
			g.gather.mu.Unlock()
			continue
		}
		g.gather.mu.Lock()
		own := g.gather.wanted[job]
		back := own != nil && own.followers > 0 // somebody came meanwhile
		g.gather.mu.Unlock()
		if back {
			continue
		}
		// A job that is done stays done.
		err := g.persist(&w.credential, w.who, func(cred string) error { return g.jobs.Withdraw(ctx, cred, job) })
		var r *client.Refusal
		if err != nil && !errors.As(err, &r) {
			g.log.Info("unwanted job not withdrawn yet", "job", job, "reason", err)
			continue // tried again
		}
		if err != nil {
			g.log.Warn("unwanted job not withdrawn", "job", job, "reason", err)
		}
		g.ended(job)
		g.gather.mu.Lock()
		for key, t := range g.gather.running {
			if t.job == job {
				delete(g.gather.running, key)
			}
		}
		g.gather.mu.Unlock()
	}
}
