// Package api answers users, workers and operators: submissions, polls, cancellations, the
// policy, the audit and the metrics. It decides nothing about placement; what it tells a user
// rests on the state store or on a final state, which never changes.
package api

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/jobs"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Server answers users, workers and operators.
type Server struct {
	*cluster.State
	loop    *eventloop.Loop
	store   *storage.Store
	metrics *telemetry.Metrics

	agents     Agents
	auth       Auth
	cloud      Cloud
	jobs       Jobs
	proxy      Proxy
	replicator Replicator
	watcher    Records
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store) *Server {
	return &Server{State: state, loop: loop, store: store}
}

// Connect gives it its collaborators, before the loop starts.
func (srv *Server) Connect(agents Agents, auth Auth, cloud Cloud, jobs Jobs, proxy Proxy, replicator Replicator, watcher Records) {
	srv.agents, srv.auth, srv.cloud, srv.jobs, srv.proxy, srv.replicator, srv.watcher = agents, auth, cloud, jobs, proxy, replicator, watcher
}

// Observe makes it measure itself, before the loop starts.
func (srv *Server) Observe(m *telemetry.Metrics) { srv.metrics = m }

// Serve answers users, workers and health checks.
func (srv *Server) Serve(ctx context.Context, req *transport.Request) transport.Response {
	method := func(want string, h func() transport.Response) transport.Response {
		if req.Method != want {
			return respond.Refuse(405, "method not allowed", 0)
		}
		return h()
	}
	switch req.Path {
	case "/checkin":
		return method("POST", func() transport.Response { return srv.handleHeartbeat(req) })
	case "/healthz":
		return method("GET", srv.healthz)
	}
	// known runs h for somebody who has shown who it is.
	known := func(want, verb string, h func(who *auth.Caller) transport.Response) transport.Response {
		return method(want, func() (resp transport.Response) {
			if srv.metrics != nil {
				defer srv.observeRequest(verb, time.Now(), &resp)
			}
			who, refusal := srv.auth.Authenticate(req, verb)
			if refusal != nil {
				return *refusal
			}
			return h(who)
		})
	}
	if req.Path == "/submissions" {
		return known("POST", "submit", func(who *auth.Caller) transport.Response { return srv.submit(ctx, who, req) })
	}
	if rest, ok := strings.CutPrefix(req.Path, "/submissions/"); ok {
		id, verb, more := strings.Cut(rest, "/")
		switch {
		case !more:
			return known("GET", "view", func(who *auth.Caller) transport.Response { return srv.poll(ctx, who, id) })
		case verb == "withdraw":
			return known("POST", "withdraw", func(who *auth.Caller) transport.Response { return srv.cancelJob(ctx, who, id) })
		case !srv.auth.Enabled():
		case verb == "arguments":
			return known("GET", "view-arguments", func(who *auth.Caller) transport.Response { return srv.arguments(ctx, who, id) })
		case verb == "reassign":
			return known("POST", "reassign", func(who *auth.Caller) transport.Response { return srv.reassign(ctx, who, id, req) })
		}
		return respond.Refuse(404, "no such path", 0)
	}
	if !srv.auth.Enabled() {
		return respond.Refuse(404, "no such path", 0)
	}
	administer := func(want, verb string, h func(who *auth.Caller) transport.Response) transport.Response {
		return known(want, verb, func(who *auth.Caller) transport.Response {
			if !srv.auth.Administers(who) {
				return *srv.auth.Deny(who, verb, rights.Queue{}, "", 403, "does not administer every queue")
			}
			return h(who)
		})
	}
	switch {
	case req.Path == "/whoami":
		return known("GET", "whoami", srv.whoami)
	case req.Path == "/may":
		return known("GET", "may", func(who *auth.Caller) transport.Response { return srv.may(who, req) })
	case req.Path == "/withdrawals":
		return known("POST", "withdraw-all", func(who *auth.Caller) transport.Response {
			if who.Service != "" || !srv.auth.HoldsAny(who, rights.Administer) {
				return *srv.auth.Deny(who, "withdraw-all", rights.Queue{}, "", 403, "administers no queue")
			}
			return srv.cancelAllOf(ctx, who, req)
		})
	case req.Path == "/policy":
		return administer("POST", "change-policy", func(who *auth.Caller) transport.Response { return srv.changePolicy(ctx, who, req) })
	case strings.HasPrefix(req.Path, "/policy/"):
		return administer("GET", "read-policy", func(who *auth.Caller) transport.Response { return srv.showPolicy(who, req) })
	case strings.HasPrefix(req.Path, "/audit/"):
		return administer("GET", "read-audit", func(who *auth.Caller) transport.Response { return srv.readAudit(ctx, who, req) })
	}
	return respond.Refuse(404, "no such path", 0)
}

// observeRequest measures a user's request.
func (srv *Server) observeRequest(verb string, begun time.Time, resp *transport.Response) {
	now := time.Now()
	switch verb {
	case "submit":
		srv.metrics.RecordWait(telemetry.Submission, now.Sub(begun), now)
	case "view":
		srv.metrics.RecordWait(telemetry.Poll, now.Sub(begun), now)
	case "withdraw":
		srv.metrics.RecordWait(telemetry.Cancellation, now.Sub(begun), now)
	}
	if resp.Status >= 400 {
		srv.metrics.Count(telemetry.RequestRefused, 1)
	}
}

func (srv *Server) handleHeartbeat(req *transport.Request) transport.Response {
	who, refusal := srv.auth.AuthenticateWorker(req)
	if refusal != nil {
		return *refusal
	}
	r := new(protocol.Heartbeat)
	err := protocol.Decode(req.Body, r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		return respond.Refuse(400, respond.FirstLine(err), 0)
	}
	if refusal := srv.auth.CheckSender(who, "report", identity.Name{Kind: identity.Worker, ID: r.Machine}); refusal != nil {
		return *refusal
	}
	resp := respond.Refuse(503, "stopping", 1)
	srv.loop.Do(func() { resp = srv.agents.HandleHeartbeat(r, req.Body) })
	return resp
}

// healthz says whether requests can be taken. While the state service fails
// everybody, all controllers stay in, since leaving would only delay their
// return; one that alone can't reach it leaves the users to the others.
func (srv *Server) healthz() transport.Response {
	resp := respond.Refuse(503, "not ready", 1)
	srv.loop.Do(func() {
		if !srv.Synced {
			return
		}
		silence := srv.store.SinceLastAnswer()
		if silence > 2500*time.Millisecond {
			for _, ps := range srv.Peers {
				if ps.Alive(time.Now()) && ps.Summary.StateSilenceS < 1.5 {
					return
				}
			}
		}
		resp = transport.Response{Status: 200, Body: protocol.Encode(map[string]any{"status": "ok"})}
	})
	return resp
}

func statusResponse(code int, st protocol.JobStatus) transport.Response {
	return transport.Response{Status: code, Body: protocol.Encode(st)}
}

// cancelNow withdraws a job for somebody who waits for the answer, and
// returns how the job ended.
func (srv *Server) cancelNow(ctx context.Context, id string, r *audit.Record) (string, error) {
	var txn protocol.Transaction
	jobs.AddCancellation(&txn, id, time.Now())
	_, err := srv.auth.Commit(ctx, &txn, r)
	var conflict *storage.Conflict
	switch {
	case err == nil:
		srv.loop.Do(func() { srv.jobs.SetFinal(id, protocol.StatusCancelled, time.Now()) })
		return protocol.StatusCancelled, nil
	case !errors.As(err, &conflict):
		return "", err
	}
	item, err := srv.store.UserGet(ctx, storage.FinalKey(id))
	if err != nil {
		return "", err
	}
	status := ""
	srv.loop.Do(func() {
		srv.jobs.ApplyFinalRecord(id, item.Value)
		status = srv.FinalStates[id]
	})
	if status == "" {
		return "", fmt.Errorf("%w: final record can't be read", storage.ErrUnknown)
	}
	return status, nil
}

// cancelJob cancels a job, unless it is done already.
func (srv *Server) cancelJob(ctx context.Context, who *auth.Caller, id string) transport.Response {
	q, refused := srv.auth.AuthorizeJob(ctx, who, rights.Cancel, id)
	if refused != nil {
		return *refused
	}
	st, refusal := srv.lookUpJob(ctx, id)
	if refusal != nil {
		return *refusal
	}
	if !st.Ended() {
		var err error
		if st.Status, err = srv.cancelNow(ctx, id, srv.auth.AuditRecord(who, "withdraw", q, id)); err != nil {
			return respond.Unavailable(err)
		}
	}
	return statusResponse(200, protocol.JobStatus{ID: id, Status: st.Status})
}
