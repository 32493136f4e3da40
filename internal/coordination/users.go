package coordination

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/identity"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// Serve answers users, workers and health checks.
func (c *Controller) Serve(ctx context.Context, req *transport.Request) transport.Response {
	method := func(want string, h func() transport.Response) transport.Response {
		if req.Method != want {
			return refuse(405, "method not allowed", 0)
		}
		return h()
	}
	switch req.Path {
	case "/checkin":
		return method("POST", func() transport.Response { return c.checkin(req) })
	case "/healthz":
		return method("GET", c.healthz)
	}
	// known runs h for somebody who has shown who it is.
	known := func(want, verb string, h func(who *caller) transport.Response) transport.Response {
		return method(want, func() (resp transport.Response) {
			if c.metrics != nil {
				defer c.answered(verb, time.Now(), &resp)
			}
			who, refusal := c.authenticate(req, verb)
			if refusal != nil {
				return *refusal
			}
			return h(who)
		})
	}
	if req.Path == "/submissions" {
		return known("POST", "submit", func(who *caller) transport.Response { return c.submit(ctx, who, req) })
	}
	if rest, ok := strings.CutPrefix(req.Path, "/submissions/"); ok {
		id, verb, more := strings.Cut(rest, "/")
		switch {
		case !more:
			return known("GET", "view", func(who *caller) transport.Response { return c.poll(ctx, who, id) })
		case verb == "withdraw":
			return known("POST", "withdraw", func(who *caller) transport.Response { return c.withdraw(ctx, who, id) })
		case c.guard == nil:
		case verb == "arguments":
			return known("GET", "view-arguments", func(who *caller) transport.Response { return c.arguments(ctx, who, id) })
		case verb == "reassign":
			return known("POST", "reassign", func(who *caller) transport.Response { return c.reassign(ctx, who, id, req) })
		}
		return refuse(404, "no such path", 0)
	}
	if c.guard == nil {
		return refuse(404, "no such path", 0)
	}
	administer := func(want, verb string, h func(who *caller) transport.Response) transport.Response {
		return known(want, verb, func(who *caller) transport.Response {
			if !c.guard.administers(who) {
				return *c.deny(who, verb, rights.Queue{}, "", 403, "does not administer every queue")
			}
			return h(who)
		})
	}
	switch {
	case req.Path == "/whoami":
		return known("GET", "whoami", c.whoami)
	case req.Path == "/may":
		return known("GET", "may", func(who *caller) transport.Response { return c.may(who, req) })
	case req.Path == "/withdrawals":
		return known("POST", "withdraw-all", func(who *caller) transport.Response {
			if who.through != "" || !c.guard.holdsAny(who, rights.Administer) {
				return *c.deny(who, "withdraw-all", rights.Queue{}, "", 403, "administers no queue")
			}
			return c.sweep(ctx, who, req)
		})
	case req.Path == "/policy":
		return administer("POST", "change-policy", func(who *caller) transport.Response { return c.changePolicy(ctx, who, req) })
	case strings.HasPrefix(req.Path, "/policy/"):
		return administer("GET", "read-policy", func(who *caller) transport.Response { return c.showPolicy(who, req) })
	case strings.HasPrefix(req.Path, "/audit/"):
		return administer("GET", "read-audit", func(who *caller) transport.Response { return c.readAudit(ctx, who, req) })
	}
	return refuse(404, "no such path", 0)
}

// answered measures a user's request.
func (c *Controller) answered(verb string, begun time.Time, resp *transport.Response) {
	now := time.Now()
	switch verb {
	case "submit":
		c.metrics.Took(observe.Submission, now.Sub(begun), now)
	case "view":
		c.metrics.Took(observe.Poll, now.Sub(begun), now)
	case "withdraw":
		c.metrics.Took(observe.Withdrawal, now.Sub(begun), now)
	}
	if resp.Status >= 400 {
		c.metrics.Count(observe.Refused, 1)
	}
}

func (c *Controller) checkin(req *transport.Request) transport.Response {
	who, refusal := c.worker(req)
	if refusal != nil {
		return *refusal
	}
	r := new(protocol.Report)
	err := protocol.Decode(req.Body, r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		return refuse(400, oneLine(err), 0)
	}
	if refusal := c.speaksFor(who, "report", identity.Name{Kind: identity.Worker, ID: r.Machine}); refusal != nil {
		return *refusal
	}
	resp := refuse(503, "stopping", 1)
	c.do(func() { resp = c.handleReport(r, req.Body) })
	return resp
}

// healthz says whether requests can be taken. While the state service fails
// everybody, all controllers stay in, since leaving would only delay their
// return; one that alone can't reach it leaves the users to the others.
func (c *Controller) healthz() transport.Response {
	resp := refuse(503, "not ready", 1)
	c.do(func() {
		if !c.synced {
			return
		}
		silence := c.store.Silence()
		if silence > 2500*time.Millisecond {
			for _, ps := range c.peers {
				if ps.recent(time.Now()) && ps.summary.StateSilenceS < 1.5 {
					return
				}
			}
		}
		resp = transport.Response{Status: 200, Body: protocol.Encode(map[string]any{"status": "ok"})}
	})
	return resp
}

func oneLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line[:min(len(line), 200)]
}

// unavailable is the answer while the state service can't be asked.
func unavailable(err error) transport.Response {
	if errors.Is(err, bookkeeping.ErrRefused) && strings.Contains(err.Error(), "budget") {
		return refuse(429, "over budget", 1)
	}
	return refuse(503, "state service unavailable", 1)
}

func statusResponse(code int, st protocol.JobStatus) transport.Response {
	return transport.Response{Status: code, Body: protocol.Encode(st)}
}

// submit accepts a job once its record is committed.
func (c *Controller) submit(ctx context.Context, who *caller, req *transport.Request) transport.Response {
	var sub protocol.Submission
	err := protocol.Decode(req.Body, &sub)
	queue, refused := c.admitSubmission(who, &sub)
	if refused != nil {
		return *refused
	}
	var spec *protocol.JobSpec
	if err == nil {
		spec, err = sub.Check()
	}
	id := ""
	if err == nil {
		id = spec.ID
	} else if id = protocol.SubmissionID(req.Body); id == "" {
		return refuse(400, oneLine(err), 0)
	}
	// A known id is looked up before anything else is said about the body, so
	// that a repeat of an accepted job never gets 400 or 422.
	judged := c.judge(ctx, who, id, spec)
	if judged.known || err != nil || judged.refusal != "" || judged.unread != nil {
		st, found, rerr := c.status(ctx, id)
		switch {
		case rerr != nil:
			return unavailable(rerr)
		case found:
			return c.repeated(ctx, who, st)
		case err != nil:
			return refuse(400, oneLine(err), 0)
		case judged.refusal != "":
			return refuse(422, judged.refusal, 0)
		case judged.unread != nil:
			return unavailable(judged.unread)
		}
	}
	if !judged.typesKnown {
		return refuse(503, "machine types are not known yet", 2)
	}
	if c.store.Down() {
		return refuse(503, "state service unavailable", 1)
	}
	return c.accept(ctx, who, queue, id, judged.value)
}

// judgement is what memory, and reads of what a submission depends on, say of it.
type judgement struct {
	// known: the job was accepted before.
	known bool
	// typesKnown: so are the machine types, without which nothing is accepted.
	typesKnown bool
	// refusal is why the job can never run, "" if it can; unread why that can't be told.
	refusal string
	unread  error
	// value is the record that accepts the job.
	value []byte
}

// judge looks at a submission; spec is nil if its body is malformed.
func (c *Controller) judge(ctx context.Context, who *caller, id string, spec *protocol.JobSpec) (j judgement) {
	c.do(func() {
		j.known = c.jobs[id] != nil || c.finals[id] != ""
		j.typesKnown = len(c.catalog) > 0
		if spec != nil {
			j.refusal = c.impossible(spec)
		}
	})
	if spec == nil || j.refusal != "" || j.known {
		return j
	}
	spec.SubmittedMS = time.Now().UnixMilli()
	if who != nil {
		spec.By = who.name
	}
	j.value = bookkeeping.Encode(spec)
	if size, limit := protocol.JSONSize(j.value), c.store.ValueBytes(); size > limit {
		j.refusal = tooLarge(size, limit)
	} else if j.typesKnown {
		j.refusal, j.unread = c.unaccepted(ctx, spec)
	}
	return j
}

// accept commits a job's record, and answers by what became of that.
func (c *Controller) accept(ctx context.Context, who *caller, queue rights.Queue, id string, value []byte) transport.Response {
	_, err := c.userCommit(ctx, &protocol.Transaction{
		If:   []protocol.Condition{{Key: bookkeeping.JobKey(id), Version: 0}},
		Then: []protocol.Change{{Put: bookkeeping.JobKey(id), Value: value}},
	}, c.record(who, "submit", queue, id))
	var conflict *bookkeeping.Conflict
	switch {
	case errors.As(err, &conflict), errors.Is(err, bookkeeping.ErrTooLarge):
		// The service may look at the size before it looks whether the job is
		// known: an accepted one must not be refused.
		st, found, rerr := c.status(ctx, id)
		switch {
		case rerr == nil && found:
			return c.repeated(ctx, who, st)
		case rerr == nil && conflict == nil:
			return refuse(422, tooLarge(protocol.JSONSize(value), c.store.ValueBytes()), 0)
		}
		return unavailable(rerr)
	case err != nil:
		return unavailable(err)
	}
	c.do(func() { c.applyJobRecord(id, value) })
	return statusResponse(201, protocol.JobStatus{ID: id, Status: protocol.StatusQueued})
}

// admitSubmission says whether a caller may submit what it does: to the queue it
// names, or if it names none, to any at all.
func (c *Controller) admitSubmission(who *caller, sub *protocol.Submission) (rights.Queue, *transport.Response) {
	var q rights.Queue
	if c.guard == nil {
		return q, nil
	}
	id := ""
	if sub.ID != nil {
		id = *sub.ID
	}
	if sub.Team == nil || sub.Class == nil {
		if !c.guard.holdsAny(who, rights.Submit) {
			return q, c.deny(who, "submit", q, id, 403, "holds this right on no queue")
		}
		return q, nil
	}
	q = rights.Queue{Team: *sub.Team, Class: *sub.Class}
	if !c.guard.allows(who, rights.Submit, q) {
		return q, c.deny(who, "submit", q, id, 403, "may not submit to this queue")
	}
	return q, nil
}

// repeated answers a submission of a known job with its state, to those who may
// submit to its queue or look at it. Ids are one for all queues, so the id of
// somebody else's job can't be told from one that is not free.
func (c *Controller) repeated(ctx context.Context, who *caller, st protocol.JobStatus) transport.Response {
	if c.guard != nil {
		var q rights.Queue
		known := false
		c.do(func() { q, known = c.queues.of(st.ID) })
		if !known { // a job that ended before this controller heard of it
			spec, err := c.readSpec(ctx, nil, st.ID)
			if err != nil {
				return unavailable(err)
			}
			q = rights.Queue{Team: spec.Team, Class: spec.Class}
		}
		if !c.guard.allows(who, rights.Submit, q) && !c.guard.allows(who, rights.View, q) {
			return *c.deny(who, "submit", q, st.ID, 403, "the id is another queue's")
		}
		c.looked(who, "repeat", q, "")
	}
	return statusResponse(200, st)
}

func tooLarge(size, limit int) string {
	return fmt.Sprintf("job is too large to record: %d bytes of at most %d", size, limit)
}

// lookUpTime bounds how long a submission's dependencies are looked up.
const lookUpTime = 3 * time.Second

// unaccepted says why a job can't depend on what it names, or nothing. Being
// accepted is for ever, so memory proves it; what memory lacks is read, since
// another controller may have accepted it a moment ago (20).
func (c *Controller) unaccepted(ctx context.Context, s *protocol.JobSpec) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTime)
	defer cancel()
	for _, id := range s.Dependencies {
		if id == s.ID || !protocol.ValidID(id) {
			return "depends on a job that was never accepted", nil
		}
		known, service := false, false
		c.do(func() {
			j := c.jobs[id]
			// Of a withdrawn job, the record tells whether it was a service.
			known = j != nil || c.finals[id] == protocol.StatusDone
			service = j != nil && j.spec.Standing
		})
		if !known {
			if c.store.Down() {
				return "", bookkeeping.ErrRefused
			}
			item, err := c.store.UserGet(ctx, bookkeeping.JobKey(id))
			switch {
			case errors.Is(err, bookkeeping.ErrNotFound):
				return "depends on a job that was never accepted", nil
			case err != nil:
				return "", err
			}
			var spec protocol.JobSpec
			if err := bookkeeping.Decode(item.Value, &spec); err != nil {
				return "", err
			}
			service = spec.Standing
		}
		if service {
			return "depends on a service, which is never done", nil
		}
	}
	return "", nil
}

// impossible says why a job can never run, or nothing.
func (c *Controller) impossible(s *protocol.JobSpec) string {
	team, ok := c.teamIndex[s.Team]
	if !ok {
		return "unknown team"
	}
	t := c.set.Params.Teams[team]
	n := 1.0
	if s.Standing || s.Gang {
		n = float64(s.Tasks)
	}
	if t.CPUsMax > 0 && n*s.CPUs > t.CPUsMax+fit.Epsilon || t.GPUsMax > 0 && n*s.GPUs > t.GPUsMax+fit.Epsilon {
		return "more than the team's limit"
	}
	if (s.Standing || s.Gang) && s.Tasks > 1 && s.Spread && (s.OneZone || s.Zone != "") {
		return "its tasks can't run together in one zone and be apart"
	}
	if len(c.catalog) == 0 {
		return ""
	}
	for i := range c.catalog {
		if fit.Offered(wishOf(s), needOf(s), &c.catalog[i]) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

// status reads a job's state. Final states come from memory; anything else is
// read through, since another controller may have told the user more.
func (c *Controller) status(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	st := protocol.JobStatus{ID: id}
	known := false
	c.do(func() { known = c.describe(&st) })
	if st.Ended() {
		return st, true, nil
	}
	if c.store.Down() {
		return st, false, bookkeeping.ErrRefused
	}
	if known {
		absent, err := c.store.UserAbsent(ctx, bookkeeping.FinalKey(id))
		if err != nil {
			return st, false, err
		}
		if absent {
			return c.unfinished(ctx, st)
		}
		item, err := c.store.UserGet(ctx, bookkeeping.FinalKey(id))
		if err != nil {
			return st, false, err
		}
		c.do(func() {
			c.applyFinalRecord(id, item.Value)
			c.describe(&st)
		})
		return st, true, nil
	}
	list, err := c.store.UserList(ctx, bookkeeping.JobPrefix(id))
	if err != nil {
		return st, false, err
	}
	if len(list.Items) == 0 {
		return st, false, nil
	}
	c.do(func() {
		for _, it := range list.Items {
			if it.Key == bookkeeping.FinalKey(id) {
				c.applyFinalRecord(id, it.Value)
			}
		}
		for _, it := range list.Items {
			if it.Key == bookkeeping.JobKey(id) {
				c.applyJobRecord(id, it.Value)
			}
		}
		known = c.describe(&st)
	})
	if known && !st.Ended() {
		return c.unfinished(ctx, st)
	}
	return st, known, nil
}

// staleBound is how old what this controller knows may be for it to call a job
// with unfinished dependencies queued: the user of one of them may have been
// told since that it is withdrawn (22).
func (c *Controller) staleBound() time.Duration { return max(3*time.Second, c.cancelS-2*margin) }

// unfinished answers for a job that is not on record as ended. One that is to
// be withdrawn, since something that it needs was, is withdrawn first: the
// answer must come from a record, not from what only this controller knows (23).
func (c *Controller) unfinished(ctx context.Context, st protocol.JobStatus) (protocol.JobStatus, bool, error) {
	doomed, stale := false, false
	c.do(func() {
		j := c.jobs[st.ID]
		doomed = c.graph.doomed[st.ID] != nil
		stale = j != nil && j.blocked && (time.Since(c.fresh) > c.staleBound() || c.graph.uncertain(st.ID))
	})
	switch {
	case doomed:
		status, err := c.withdrawNow(ctx, st.ID, nil)
		return protocol.JobStatus{ID: st.ID, Status: status}, err == nil, err
	case stale:
		return st, false, fmt.Errorf("%w: changes not followed", bookkeeping.ErrRefused)
	}
	return st, true, nil
}

// withdrawal adds to a transaction what makes a job withdrawn, unless it has
// ended.
func withdrawal(txn *protocol.Transaction, id string, now time.Time) {
	key := bookkeeping.FinalKey(id)
	txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
	txn.Then = append(txn.Then, protocol.Change{Put: key,
		Value: bookkeeping.Encode(bookkeeping.Final{Status: protocol.StatusWithdrawn, AtMS: now.UnixMilli()})})
}

// withdrawNow withdraws a job for somebody who waits for the answer, and
// returns how the job ended.
func (c *Controller) withdrawNow(ctx context.Context, id string, r *audit.Record) (string, error) {
	var txn protocol.Transaction
	withdrawal(&txn, id, time.Now())
	_, err := c.userCommit(ctx, &txn, r)
	var conflict *bookkeeping.Conflict
	switch {
	case err == nil:
		c.do(func() { c.setFinal(id, protocol.StatusWithdrawn, time.Now()) })
		return protocol.StatusWithdrawn, nil
	case !errors.As(err, &conflict):
		return "", err
	}
	item, err := c.store.UserGet(ctx, bookkeeping.FinalKey(id))
	if err != nil {
		return "", err
	}
	status := ""
	c.do(func() {
		c.applyFinalRecord(id, item.Value)
		status = c.finals[id]
	})
	if status == "" {
		return "", fmt.Errorf("%w: final record can't be read", bookkeeping.ErrUnknown)
	}
	return status, nil
}

// describe fills in what memory knows of a job.
func (c *Controller) describe(st *protocol.JobStatus) bool {
	if f := c.finals[st.ID]; f != "" {
		st.Status = f
		return true
	}
	j := c.jobs[st.ID]
	if j == nil {
		return false
	}
	st.Done, st.Running = j.doneCount, j.running
	if !j.owned {
		for _, ps := range c.peers {
			if ps.summary == nil {
				continue
			}
			for _, jp := range ps.summary.Jobs {
				if jp.Id == st.ID {
					st.Done, st.Running = int(jp.Done), int(jp.Running)
				}
			}
		}
	}
	st.Status = protocol.StatusQueued
	if st.Running > 0 {
		st.Status = protocol.StatusRunning
	}
	return true
}

func (c *Controller) poll(ctx context.Context, who *caller, id string) transport.Response {
	q, refused := c.admitJob(ctx, who, rights.View, id)
	if refused != nil {
		return *refused
	}
	st, refusal := c.lookUp(ctx, id)
	if refusal != nil {
		return *refusal
	}
	c.looked(who, "view", q, "")
	return statusResponse(200, st)
}

// lookUp reads the state of the job that a user names, or says why it can't.
func (c *Controller) lookUp(ctx context.Context, id string) (protocol.JobStatus, *transport.Response) {
	var refusal transport.Response
	if !protocol.ValidID(id) {
		refusal = refuse(404, "no such job", 0)
		return protocol.JobStatus{}, &refusal
	}
	st, found, err := c.status(ctx, id)
	switch {
	case err != nil:
		refusal = unavailable(err)
	case !found:
		refusal = refuse(404, "no such job", 0)
	default:
		return st, nil
	}
	return st, &refusal
}

// withdraw cancels a job, unless it is done already.
func (c *Controller) withdraw(ctx context.Context, who *caller, id string) transport.Response {
	q, refused := c.admitJob(ctx, who, rights.Withdraw, id)
	if refused != nil {
		return *refused
	}
	st, refusal := c.lookUp(ctx, id)
	if refusal != nil {
		return *refusal
	}
	if !st.Ended() {
		var err error
		if st.Status, err = c.withdrawNow(ctx, id, c.record(who, "withdraw", q, id)); err != nil {
			return unavailable(err)
		}
	}
	return statusResponse(200, protocol.JobStatus{ID: id, Status: st.Status})
}

// refuse answers at once with a reason and when to come back.
func refuse(status int, reason string, retryAfter int) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(protocol.Problem{Error: reason}), RetryAfter: retryAfter}
}
