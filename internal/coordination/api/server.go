// Package api serves the HTTP API for users, workers and operators: submissions, polls,
// cancellations, the policy, the audit log and the metrics. Job states in responses to users are
// read from the state store, except for final states, which never change.
//
// A handler returns a response or an error, which is an apierror.Error or an error of the state
// store. Serve and ServeOperations convert errors to responses.
//
// The numbers of rules in comments refer to docs/design.md.
package api

import (
	"context"
	"log/slog"
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

// Server serves the HTTP API. It has no state of its own; it reads the cluster's state in the
// event loop.
type Server struct {
	*cluster.State
	loop  *eventloop.Loop
	store *storage.Store
	log   *slog.Logger
	// metrics is nil if no metrics are collected.
	metrics *telemetry.Metrics

	agents     Agents
	auth       Auth
	cloud      Cloud
	jobs       Jobs
	leases     Leases
	proxy      Proxy
	replicator Replicator
	watcher    EventApplier
}

// New returns a Server without collaborators; Connect sets them.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Server {
	return &Server{State: state, loop: loop, store: store, log: log}
}

// Connect sets the collaborators. It must be called before the event loop starts.
func (s *Server) Connect(agents Agents, auth Auth, cloud Cloud, jobs Jobs, leases Leases, proxy Proxy, replicator Replicator, watcher EventApplier) {
	s.agents, s.auth, s.cloud, s.jobs, s.leases = agents, auth, cloud, jobs, leases
	s.proxy, s.replicator, s.watcher = proxy, replicator, watcher
}

// Observe sets the metrics to update. It must be called before the event loop starts.
func (s *Server) Observe(metrics *telemetry.Metrics) { s.metrics = metrics }

// Values of the Retry-After header, in seconds.
const (
	retrySoon         = 1
	retryMachineTypes = 2
)

// Errors used by several handlers.
var (
	errNoSuchPath     = apierror.New(http.StatusNotFound, "no such path")
	errNoSuchJob      = apierror.New(http.StatusNotFound, "no such job")
	errWrongMethod    = apierror.New(http.StatusMethodNotAllowed, "method not allowed")
	errBadQuery       = apierror.New(http.StatusBadRequest, "bad query")
	errStopping       = apierror.NotReady("stopping", retrySoon)
	errNotReady       = apierror.NotReady("not ready", retrySoon)
	errStateStoreDown = apierror.NotReady("state service unavailable", retrySoon)
)

// Serve handles the requests of users and workers, and health checks.
func (s *Server) Serve(ctx context.Context, req *transport.Request) transport.Response {
	response, err := s.serve(ctx, req)
	if err != nil {
		return apierror.Response(err)
	}
	return response
}

func (s *Server) serve(ctx context.Context, req *transport.Request) (transport.Response, error) {
	route, job := findRoute(req.Path)
	if route == nil || route.requiresAuth && !s.auth.Enabled() {
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
	start := time.Now()
	response, err := s.serveCaller(ctx, route, req, job)
	s.recordRequest(route.verb, start, err != nil)
	return response, err
}

// serveCaller authenticates the caller, authorizes the request if the route requires it, and runs
// the handler.
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

// recordRequest updates the metrics of user requests.
func (s *Server) recordRequest(verb string, start time.Time, rejected bool) {
	now := time.Now()
	switch verb {
	case verbSubmit:
		s.metrics.RecordWait(telemetry.Submission, now.Sub(start), now)
	case verbView:
		s.metrics.RecordWait(telemetry.Poll, now.Sub(start), now)
	case verbCancel:
		s.metrics.RecordWait(telemetry.Cancellation, now.Sub(start), now)
	}
	if rejected {
		s.metrics.Count(telemetry.RequestRefused, 1)
	}
}

// success returns a response with an encoded body.
func success(status int, body any) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(body)}
}
