package api

import (
	"context"
	"net/url"
	"strconv"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// whoami tells a caller who it is taken for.
func (srv *Server) whoami(who *auth.Caller) transport.Response {
	view := srv.auth.Policy()
	var held []string
	for _, v := range []rights.Verb{rights.Submit, rights.View, rights.ViewArguments, rights.Cancel, rights.Reassign, rights.Administer, rights.Vouch} {
		if srv.auth.HoldsAny(who, v) {
			held = append(held, v.String())
		}
	}
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.WhoAmI{Name: who.Name, How: who.Credential, Verbs: held, PolicyVersion: view.Version})}
}

// may tells a caller whether it holds a right on a queue. Front doors ask it for
// their clients, with the client's own credential, so that there is one place
// that decides and one record of what was refused.
func (srv *Server) may(who *auth.Caller, req *transport.Request) transport.Response {
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return respond.Refuse(400, "bad query", 0)
	}
	verb, err := rights.ParseVerb(query.Get("verb"))
	if err != nil {
		return respond.Refuse(400, respond.FirstLine(err), 0)
	}
	q := rights.Queue{Team: query.Get("team"), Class: query.Get("class")}
	if q.Team == "" || q.Class == "" {
		return respond.Refuse(400, "team and class are needed", 0)
	}
	if !srv.auth.Allows(who, verb, q) {
		return *srv.auth.Deny(who, verb.String(), q, "", 403, "asked through a front door")
	}
	srv.auth.NoteRead(who, verb.String()+"-asked", q, "")
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.WhoAmI{Name: who.Name, How: who.Credential, Verbs: []string{verb.String()},
		PolicyVersion: srv.auth.Policy().Version})}
}

// auditBody bounds an answer with batches of the audit.
const auditBody = 32 << 10

// readAudit answers an administrator who reads the audit.
func (srv *Server) readAudit(ctx context.Context, who *auth.Caller, req *transport.Request) transport.Response {
	q, err := url.ParseQuery(req.Query)
	if err != nil {
		return respond.Refuse(400, "bad query", 0)
	}
	switch req.Path {
	case "/audit/seal":
		seal, err := srv.auth.SealAudit(ctx)
		if err != nil {
			return respond.Unavailable(err)
		}
		srv.auth.NoteRead(who, "read-audit", rights.Queue{}, "")
		return transport.Response{Status: 200, Body: protocol.Encode(seal)}
	case "/audit/batches":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		if err != nil || q.Get("chain") == "" {
			return respond.Refuse(400, "chain and after are needed", 0)
		}
		batches, err := srv.auth.AuditBatches(ctx, q.Get("chain"), after, auditBody)
		if err != nil {
			return respond.Unavailable(err)
		}
		return transport.Response{Status: 200, Body: protocol.Encode(map[string]any{"batches": batches})}
	}
	return respond.Refuse(404, "no such path", 0)
}
