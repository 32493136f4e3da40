// Package api answers users, workers and operators: submissions, polls, cancellations, the
// policy, the audit and the metrics. It decides nothing about placement; what it tells a user
// rests on the state store or on a final state, which never changes.
//
// A handler returns the answer, or an error that says why there is none: an apierror.Error,
// or an error of the state store. Serve turns errors into answers.
package api

import (
	"context"
	"net/http"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Server answers users, workers and operators. It has no state of its own: it reads the
// cluster's in the event loop.
type Server struct {
	*cluster.State
	loop  *eventloop.Loop
	store *storage.Store
	// metrics is nil if nothing is measured.
	metrics *telemetry.Metrics

	agents     Agents
	auth       Auth
	cloud      Cloud
	jobs       Jobs
	proxy      Proxy
	replicator Replicator
	watcher    Records
}

// New returns a Server without collaborators; Connect gives them to it.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store) *Server {
	return &Server{State: state, loop: loop, store: store}
}

// Connect sets the collaborators, before the loop starts.
func (s *Server) Connect(agents Agents, auth Auth, cloud Cloud, jobs Jobs, proxy Proxy, replicator Replicator, watcher Records) {
	s.agents, s.auth, s.cloud, s.jobs, s.proxy, s.replicator, s.watcher = agents, auth, cloud, jobs, proxy, replicator, watcher
}

// Observe sets the metrics, before the loop starts.
func (s *Server) Observe(metrics *telemetry.Metrics) { s.metrics = metrics }

// Retry delays of refusals, in seconds.
const (
	retrySoon        = 1
	retryTypesListed = 2
)

// What several handlers refuse with.
var (
	errNoSuchPath     = apierror.New(http.StatusNotFound, "no such path")
	errNoSuchJob      = apierror.New(http.StatusNotFound, "no such job")
	errWrongMethod    = apierror.New(http.StatusMethodNotAllowed, "method not allowed")
	errBadQuery       = apierror.New(http.StatusBadRequest, "bad query")
	errStopping       = apierror.NotReady("stopping", retrySoon)
	errNotReady       = apierror.NotReady("not ready", retrySoon)
	errStateStoreDown = apierror.NotReady("state service unavailable", retrySoon)
)

// Serve answers users, workers and health checks.
func (s *Server) Serve(ctx context.Context, req *transport.Request) transport.Response {
	response, err := s.serve(ctx, req)
	if err != nil {
		return apierror.Response(err)
	}
	return response
}

func (s *Server) serve(ctx context.Context, req *transport.Request) (transport.Response, error) {
	route, job := findRoute(req.Path)
	if route == nil || route.needsIdentities && !s.auth.Enabled() {
		return transport.Response{}, errNoSuchPath
	}
	if req.Method != route.method {
		return transport.Response{}, errWrongMethod
	}
	if route.verb == "" {
		return route.handle(s, ctx, request{Request: req})
	}
	if s.metrics == nil {
		return s.serveCaller(ctx, route, req, job)
	}
	begun := time.Now()
	response, err := s.serveCaller(ctx, route, req, job)
	s.observeRequest(route.verb, begun, err != nil)
	return response, err
}

// serveCaller answers a request for which its sender must show who it is.
func (s *Server) serveCaller(ctx context.Context, route *route, req *transport.Request, job string) (transport.Response, error) {
	caller, err := s.auth.Authenticate(req, route.verb)
	if err != nil {
		return transport.Response{}, err
	}
	if route.authorize != nil {
		if err := route.authorize(s, caller, route.verb); err != nil {
			return transport.Response{}, err
		}
	}
	return route.handle(s, ctx, request{Request: req, caller: caller, job: job})
}

// observeRequest measures a user's request.
func (s *Server) observeRequest(verb string, begun time.Time, refused bool) {
	now := time.Now()
	switch verb {
	case verbSubmit:
		s.metrics.RecordWait(telemetry.Submission, now.Sub(begun), now)
	case verbView:
		s.metrics.RecordWait(telemetry.Poll, now.Sub(begun), now)
	case verbCancel:
		s.metrics.RecordWait(telemetry.Cancellation, now.Sub(begun), now)
	}
	if refused {
		s.metrics.Count(telemetry.RequestRefused, 1)
	}
}

// success is an answer with a body.
func success(status int, body any) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(body)}
}
