package api

import (
	"context"
	"net/http"
	"net/url"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// allVerbs are all permissions, in the order in which whoAmI lists them.
var allVerbs = []rights.Verb{rights.Submit, rights.View, rights.ViewArguments, rights.Cancel, rights.Reassign, rights.Administer, rights.ActOnBehalf}

// whoAmI returns the caller's identity and its permissions on at least one queue.
func (s *Server) whoAmI(_ context.Context, req request) (transport.Response, error) {
	var held []string
	for _, verb := range allVerbs {
		if s.auth.HoldsAny(req.caller, verb) {
			held = append(held, verb.String())
		}
	}
	return s.describeCaller(req, held), nil
}

// checkPermission checks whether the caller has a permission on a queue. Gateways send this
// request with the credential of their client, so that controllers make all decisions and record
// all denials.
func (s *Server) checkPermission(_ context.Context, req request) (transport.Response, error) {
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return transport.Response{}, errBadQuery
	}
	verb, err := rights.ParseVerb(query.Get("verb"))
	if err != nil {
		return transport.Response{}, apierror.Invalid(http.StatusBadRequest, err)
	}
	queue := rights.Queue{Team: query.Get("team"), Class: query.Get("class")}
	if queue.Team == "" || queue.Class == "" {
		return transport.Response{}, apierror.New(http.StatusBadRequest, "team and class are needed")
	}
	if !s.auth.Allows(req.caller, verb, queue) {
		return transport.Response{}, s.auth.Deny(req.caller, verb.String(), queue, "", "asked through a front door")
	}
	s.auth.AuditRead(req.caller, verb.String()+"-asked", queue, "")
	return s.describeCaller(req, []string{verb.String()}), nil
}

// describeCaller returns a response with the caller's identity and the given permissions.
func (s *Server) describeCaller(req request, verbs []string) transport.Response {
	return success(http.StatusOK, protocol.WhoAmI{Name: req.caller.Name, How: req.caller.Credential, Verbs: verbs,
		PolicyVersion: s.auth.Policy().Version})
}
