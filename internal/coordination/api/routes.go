package api

import (
	"context"
	"net/http"
	"strings"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// Verbs of requests, as the audit and the metrics have them.
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
	// verbRepeat: a known job was submitted once more.
	verbRepeat = "repeat"
)

// request is a request as its handler gets it.
type request struct {
	*transport.Request
	// caller is who sends it; nil while requests need no identity.
	caller *auth.Caller
	// job is the job id in the path, "" if its route has none.
	job string
}

// route says who answers the requests for a path.
type route struct {
	method string
	// verb names the request; empty if the handler itself finds out who sends it.
	verb string
	// needsIdentities: the path exists only while requests need an identity.
	needsIdentities bool
	// authorize refuses a caller before the handler runs; nil if the handler does it.
	authorize func(s *Server, caller *auth.Caller, verb string) error
	handle    func(s *Server, ctx context.Context, req request) (transport.Response, error)
}

// routes are the paths that stand for themselves.
var routes = map[string]*route{
	"/checkin":     {method: http.MethodPost, handle: (*Server).handleHeartbeat},
	"/healthz":     {method: http.MethodGet, handle: (*Server).checkHealth},
	"/submissions": {method: http.MethodPost, verb: verbSubmit, handle: (*Server).submit},
	"/whoami":      {method: http.MethodGet, verb: verbWhoAmI, needsIdentities: true, handle: (*Server).whoAmI},
	"/may":         {method: http.MethodGet, verb: verbMay, needsIdentities: true, handle: (*Server).may},
	"/withdrawals": {method: http.MethodPost, verb: verbCancelAll, needsIdentities: true, authorize: (*Server).authorizeCancelAll, handle: (*Server).cancelAllOf},
	"/policy":      {method: http.MethodPost, verb: verbChangePolicy, needsIdentities: true, authorize: (*Server).authorizeAdministration, handle: (*Server).changePolicy},
}

// jobPrefix is before the id in the paths of a job.
const jobPrefix = "/submissions/"

// jobRoutes are the paths of a job, by what comes after its id.
var jobRoutes = map[string]*route{
	"":           {method: http.MethodGet, verb: verbView, handle: (*Server).poll},
	"/withdraw":  {method: http.MethodPost, verb: verbCancel, handle: (*Server).cancelJob},
	"/arguments": {method: http.MethodGet, verb: verbViewArguments, needsIdentities: true, handle: (*Server).arguments},
	"/reassign":  {method: http.MethodPost, verb: verbReassign, needsIdentities: true, handle: (*Server).reassign},
}

// prefixRoutes answer every path under a prefix.
var prefixRoutes = []struct {
	prefix string
	route  *route
}{
	{"/policy/", &route{method: http.MethodGet, verb: verbReadPolicy, needsIdentities: true, authorize: (*Server).authorizeAdministration, handle: (*Server).showPolicy}},
	{"/audit/", &route{method: http.MethodGet, verb: verbReadAudit, needsIdentities: true, authorize: (*Server).authorizeAdministration, handle: (*Server).readAudit}},
}

// findRoute returns the route of a path, and the job id in it. There is none if the route is
// nil.
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

// authorizeAdministration lets administrators of every queue pass.
func (s *Server) authorizeAdministration(caller *auth.Caller, verb string) error {
	if s.auth.Administers(caller) {
		return nil
	}
	return s.auth.Deny(caller, verb, rights.Queue{}, "", "does not administer every queue")
}

// authorizeCancelAll lets administrators of some queue pass, unless a service asks for them.
func (s *Server) authorizeCancelAll(caller *auth.Caller, verb string) error {
	if caller.Service == "" && s.auth.HoldsAny(caller, rights.Administer) {
		return nil
	}
	return s.auth.Deny(caller, verb, rights.Queue{}, "", "administers no queue")
}
