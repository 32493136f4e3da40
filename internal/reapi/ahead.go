package reapi

import (
	"time"

	"micaspindle/internal/admission"
	"micaspindle/internal/protocol"
)

// The cluster runs a team's jobs of one urgency in their order, whoever submitted
// them. So lots wait here once enough of a team's actions wait for a machine there,
// and the team's clients take turns (admission.Next). How many wait there is what
// was submitted, less the results that were seen and what runs by the last look.

// line is what shares an order in the cluster.
type line struct{ space, urgency string }

// queue is a line's lots that are ready to be submitted, the oldest first.
type queue struct {
	ready  []*lot
	served admission.Meter
}

// handed is a job of this gate's that is in the cluster.
type handed struct {
	line   line
	client string
	// left of the tasks have no result yet; running of these run, as far as is known.
	tasks, left, running int
}

// ready queues a lot whose time to gather is over, with the lock held.
func (g *FrontEnd) ready(l *lot) {
	if l.queued {
		return
	}
	l.queued = true
	k := l.line()
	q := g.gather.queues[k]
	if q == nil {
		q = new(queue)
		g.gather.queues[k] = q
	}
	q.ready = append(q.ready, l)
	g.pump(k, time.Now())
}

// pump submits what may go of a line, with the lock held.
func (g *FrontEnd) pump(k line, now time.Time) {
	q := g.gather.queues[k]
	if q == nil || len(q.ready) == 0 {
		return
	}
	ahead, running := map[string]int{}, 0
	for _, h := range g.gather.handed {
		if h.line == k {
			now := min(h.left, h.running)
			ahead[h.client] += h.left - now
			running += now
		}
	}
	for l := range g.gather.leaving {
		if l.line() == k {
			ahead[l.client()] += len(l.tasks)
		}
	}
	window := g.config.Shares.Ahead.Window(q.served.PerSecond(now), running)
	for len(q.ready) > 0 {
		waiting := make([]admission.Batch, len(q.ready))
		for i, l := range q.ready {
			waiting[i] = admission.Batch{Client: l.client(), Size: len(l.tasks)}
		}
		i := admission.NextBatch(window, ahead, waiting)
		if i < 0 {
			return
		}
		l := q.ready[i]
		q.ready = append(q.ready[:i:i], q.ready[i+1:]...)
		ahead[l.client()] += len(l.tasks)
		if g.gather.lots[l.key] == l {
			delete(g.gather.lots, l.key)
		}
		l.gone = true
		g.gather.leaving[l] = true
		go g.dispatch(l)
	}
}

// handOn notes the job of a lot that is about to be submitted, with the lock held.
func (g *FrontEnd) handOn(job string, l *lot) {
	delete(g.gather.leaving, l)
	if g.gather.handed[job] == nil {
		g.gather.handed[job] = &handed{line: l.line(), client: l.client(), tasks: len(l.tasks), left: len(l.tasks)}
	}
}

// served notes a result of a job, with the lock held.
func (g *FrontEnd) served(job string, now time.Time) {
	h := g.gather.handed[job]
	if h == nil {
		return
	}
	if q := g.gather.queues[h.line]; q != nil {
		q.served.Add(now, 1)
	}
	h.running = max(0, h.running-1)
	if h.left--; h.left <= 0 {
		delete(g.gather.handed, job)
	}
	g.pump(h.line, now)
}

// stands notes what the controllers say of a job, with the lock held.
func (g *FrontEnd) stands(job string, st protocol.JobStatus) {
	h := g.gather.handed[job]
	if h == nil {
		return
	}
	h.running, h.left = st.Running, min(h.left, h.tasks-st.Done)
	if st.Ended() {
		delete(g.gather.handed, job)
	}
	g.pump(h.line, time.Now())
}

// notHanded takes a job back that is not in the cluster, with the lock held.
func (g *FrontEnd) notHanded(job string) {
	if h := g.gather.handed[job]; h != nil {
		delete(g.gather.handed, job)
		g.pump(h.line, time.Now())
	}
}

// quit takes a task out that nobody waits for, unless it is in a job or about to
// be; with the lock held.
func (g *FrontEnd) quit(t *task) bool {
	l := t.lot
	if l == nil || l.gone {
		return false
	}
	for i, other := range l.tasks {
		if other == t {
			l.tasks = append(l.tasks[:i:i], l.tasks[i+1:]...)
			break
		}
	}
	delete(g.gather.running, t.key())
	if w := g.config.Shares.Waiting; w != nil {
		w.Release(t.space, t.caller, 1)
	}
	if len(l.tasks) > 0 {
		return true
	}
	l.gone = true
	l.timer.Stop()
	if g.gather.lots[l.key] == l {
		delete(g.gather.lots, l.key)
	}
	if q := g.gather.queues[line{t.space, l.key.needs.urgency}]; q != nil {
		for i, other := range q.ready {
			if other == l {
				q.ready = append(q.ready[:i:i], q.ready[i+1:]...)
				break
			}
		}
	}
	return true
}

func (l *lot) line() line     { return line{l.tasks[0].space, l.key.needs.urgency} }
func (l *lot) client() string { return l.tasks[0].caller }
