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

// allVerbs are the rights that a caller may hold, in the order of the answer.
var allVerbs = []rights.Verb{rights.Submit, rights.View, rights.ViewArguments, rights.Cancel, rights.Reassign, rights.Administer, rights.Vouch}

// whoAmI tells a caller as whom it is authenticated, and which rights it holds on some queue.
func (s *Server) whoAmI(_ context.Context, req request) (transport.Response, error) {
	var held []string
	for _, verb := range allVerbs {
		if s.auth.HoldsAny(req.caller, verb) {
			held = append(held, verb.String())
		}
	}
	return s.describeCaller(req, held), nil
}

// may tells a caller whether it holds a right on a queue. Gateways ask it for their clients,
// with the client's own credential, so that there is one place that decides and one record
// of what was refused.
func (s *Server) may(_ context.Context, req request) (transport.Response, error) {
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
	s.auth.NoteRead(req.caller, verb.String()+"-asked", queue, "")
	return s.describeCaller(req, []string{verb.String()}), nil
}

func (s *Server) describeCaller(req request, verbs []string) transport.Response {
	return success(http.StatusOK, protocol.WhoAmI{Name: req.caller.Name, How: req.caller.Credential, Verbs: verbs,
		PolicyVersion: s.auth.Policy().Version})
}
