package api

import (
	"context"
	"net/http"
	"strings"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// Verbs of requests, for audit records and for choosing the metrics to update.
const (
	verbSubmit        = "submit"
	verbView          = "view"
	verbCancel        = "withdraw"
	verbViewArguments = "view-arguments"
	verbReassign      = "reassign"
	verbWhoAmI        = "whoami"
	verbMay           = "may"
	verbCancelAll     = "withdraw-all"
	verbChangePolicy  = "change-policy"
	verbReadPolicy    = "read-policy"
	verbReadAudit     = "read-audit"
	verbObserve       = "observe"
	// verbRepeat is the verb of a repeated submission of a known job.
	verbRepeat = "repeat"
)

// request is the argument of a handler.
type request struct {
	*transport.Request
	// caller is the authenticated sender; nil if authentication is disabled.
	caller *auth.Caller
	// job is the job id in the path; "" if the route has none.
	job string
}

// route describes how requests for a path are handled.
type route struct {
	method string
	// verb is the request's verb in audit records; empty if the request is not from a user. The
	// handler of such a request authenticates the sender if necessary.
	verb string
	// requiresAuth is set if the path exists only while authentication is enabled.
	requiresAuth bool
	// authorize authorizes the caller before the handler runs; nil if the handler does so.
	authorize func(s *Server, caller *auth.Caller, verb string) error
	handle    func(s *Server, ctx context.Context, req request) (transport.Response, error)
}

// routes maps fixed paths to their routes.
var routes = map[string]*route{
	"/checkin":     {method: http.MethodPost, handle: (*Server).handleHeartbeat},
	"/healthz":     {method: http.MethodGet, handle: (*Server).checkHealth},
	"/submissions": {method: http.MethodPost, verb: verbSubmit, handle: (*Server).submit},
	"/whoami":      {method: http.MethodGet, verb: verbWhoAmI, requiresAuth: true, handle: (*Server).whoAmI},
	"/may":         {method: http.MethodGet, verb: verbMay, requiresAuth: true, handle: (*Server).checkPermission},
	"/withdrawals": {method: http.MethodPost, verb: verbCancelAll, requiresAuth: true, authorize: (*Server).authorizeCancelAll, handle: (*Server).cancelAll},
	"/policy":      {method: http.MethodPost, verb: verbChangePolicy, requiresAuth: true, authorize: (*Server).authorizeAdministration, handle: (*Server).changePolicy},
}

// jobPrefix precedes the job id in the paths of a job.
const jobPrefix = "/submissions/"

// jobRoutes maps the rest of a job's path, after the job id, to its route.
var jobRoutes = map[string]*route{
	"":           {method: http.MethodGet, verb: verbView, handle: (*Server).poll},
	"/withdraw":  {method: http.MethodPost, verb: verbCancel, handle: (*Server).cancelJob},
	"/arguments": {method: http.MethodGet, verb: verbViewArguments, requiresAuth: true, handle: (*Server).showArguments},
	"/reassign":  {method: http.MethodPost, verb: verbReassign, requiresAuth: true, handle: (*Server).reassign},
}

// prefixRoutes are the routes that handle all paths with a prefix.
var prefixRoutes = []struct {
	prefix string
	route  *route
}{
	{"/policy/", &route{method: http.MethodGet, verb: verbReadPolicy, requiresAuth: true, authorize: (*Server).authorizeAdministration, handle: (*Server).showPolicy}},
	{"/audit/", &route{method: http.MethodGet, verb: verbReadAudit, requiresAuth: true, authorize: (*Server).authorizeAdministration, handle: (*Server).readAudit}},
}

// findRoute returns the route of a path and the job id in the path. The route is nil if there is
// none for the path.
func findRoute(path string) (found *route, job string) {
	if rest, ok := strings.CutPrefix(path, jobPrefix); ok {
		action := ""
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			rest, action = rest[:i], rest[i:]
		}
		return jobRoutes[action], rest
	}
	if found := routes[path]; found != nil {
		return found, ""
	}
	for _, candidate := range prefixRoutes {
		if strings.HasPrefix(path, candidate.prefix) {
			return candidate.route, ""
		}
	}
	return nil, ""
}

// authorizeAdministration denies the request unless the caller is an administrator of every
// queue or may write the first policy.
func (s *Server) authorizeAdministration(caller *auth.Caller, verb string) error {
	if s.auth.IsAdministrator(caller) {
		return nil
	}
	return s.auth.Deny(caller, verb, rights.Queue{}, "", "does not administer every queue")
}

// authorizeCancelAll denies the request unless the caller administers at least one queue and
// doesn't act through a service.
func (s *Server) authorizeCancelAll(caller *auth.Caller, verb string) error {
	if caller.Service == "" && s.auth.HoldsAny(caller, rights.Administer) {
		return nil
	}
	return s.auth.Deny(caller, verb, rights.Queue{}, "", "administers no queue")
}
