package api

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// policyChangeLimit is how many records one change of the policy may touch: the head
// and the audit's own are in the same transaction.
func (srv *Server) policyChangeLimit() int { return max(1, srv.store.TxnOps()-1-auth.AuditChanges) }

// changePolicy makes an administrator's change of the policy.
func (srv *Server) changePolicy(ctx context.Context, who *auth.Caller, req *transport.Request) transport.Response {
	var ch rights.Change
	if err := protocol.Decode(req.Body, &ch); err != nil {
		return respond.Refuse(400, respond.FirstLine(err), 0)
	}
	view := srv.auth.Policy()
	if ch.Version != view.Version {
		return respond.Refuse(409, fmt.Sprintf("the policy is at version %d, the change is for version %d; look at it again", view.Version, ch.Version), 0)
	}
	if n, most := ch.Size(), srv.policyChangeLimit(); n > most {
		return respond.Refuse(422, fmt.Sprintf("changes %d records, at most %d at a time; split it", n, most), 0)
	}
	if _, err := rights.Apply(view.Document, &ch); err != nil {
		return respond.Refuse(422, respond.FirstLine(err), 0)
	}
	head := storage.PolicyHead{Version: view.Version + 1}
	// Every change demands the head's stamp and moves it, so no other change of
	// any of these records, late or from elsewhere, can come between.
	txn := &protocol.Transaction{If: []protocol.Condition{{Key: storage.PolicyHeadKey, Version: view.HeadRevision}},
		Then: []protocol.Change{{Put: storage.PolicyHeadKey, Value: storage.Encode(head)}}}
	for i := range ch.PutRoles {
		txn.Then = append(txn.Then, protocol.Change{Put: storage.RoleKey(ch.PutRoles[i].Name), Value: storage.Encode(&ch.PutRoles[i])})
	}
	for i := range ch.PutIdentities {
		txn.Then = append(txn.Then, protocol.Change{Put: storage.IdentityKey(ch.PutIdentities[i].Name), Value: storage.Encode(&ch.PutIdentities[i])})
	}
	for _, name := range ch.DropRoles {
		txn.Then = append(txn.Then, protocol.Change{Delete: storage.RoleKey(name)})
	}
	for _, name := range ch.DropIdentities {
		txn.Then = append(txn.Then, protocol.Change{Delete: storage.IdentityKey(name)})
	}
	for _, change := range txn.Then {
		if len(change.Value) == 0 {
			continue
		}
		if size, limit := protocol.JSONSize(change.Value), srv.store.ValueBytes(); size > limit {
			return respond.Refuse(422, fmt.Sprintf("%s takes %d bytes of at most %d; split the role into several", strings.TrimPrefix(change.Put, storage.WatchPrefix), size, limit), 0)
		}
	}
	r := srv.auth.AuditRecord(who, "change-policy", rights.Queue{}, "")
	r.Detail = changeDetail(&ch, head.Version)
	revision, err := srv.auth.Commit(ctx, txn, r)
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict):
		return respond.Refuse(409, "the policy was changed by somebody else just now; look at it again", 0)
	case errors.Is(err, storage.ErrTooLarge):
		return respond.Refuse(422, "too large for the state service; split it", 0)
	case err != nil:
		return respond.Unavailable(err)
	}
	srv.loop.Do(func() {
		if revision <= srv.auth.PolicyRevision() {
			return // the watch was faster
		}
		for _, change := range txn.Then {
			srv.watcher.ApplyEvent(protocol.Event{Put: change.Put, Delete: change.Delete, Value: change.Value, Version: revision})
		}
		srv.auth.PublishPolicy(srv.RecordsCurrentAt)
	})
	return transport.Response{Status: 200, Body: protocol.Encode(rights.Version{Version: head.Version, MaxChanges: srv.policyChangeLimit()})}
}

// changeDetail says in words what a change of the policy was.
func changeDetail(ch *rights.Change, version uint64) string {
	parts := []string{fmt.Sprintf("version %d", version)}
	add := func(what string, names []string) {
		if len(names) == 0 {
			return
		}
		text := strings.Join(names[:min(len(names), 12)], " ")
		if len(names) > 12 {
			text += fmt.Sprintf(" and %d more", len(names)-12)
		}
		parts = append(parts, what+" "+text)
	}
	var roles, ids, revoked, voided []string
	for _, r := range ch.PutRoles {
		roles = append(roles, r.Name)
	}
	for _, id := range ch.PutIdentities {
		text := id.Name + "=" + strings.Join(id.Roles, "+")
		switch {
		case id.Revoked:
			revoked = append(revoked, id.Name)
		case id.TokensFromMS > 0:
			voided = append(voided, text)
		default:
			ids = append(ids, text)
		}
	}
	add("put roles", roles)
	add("put", ids)
	add("put with tokens voided", voided)
	add("revoked", revoked)
	add("dropped roles", ch.DropRoles)
	add("dropped", ch.DropIdentities)
	detail := strings.Join(parts, "; ")
	return detail[:min(len(detail), 500)]
}

// policyPage is how many records an answer holds, and policyBody its size.
const policyPage = 200

const policyBody = 48 << 10

// showPolicy answers with a page of the policy.
func (srv *Server) showPolicy(who *auth.Caller, req *transport.Request) transport.Response {
	q, err := url.ParseQuery(req.Query)
	if err != nil {
		return respond.Refuse(400, "bad query", 0)
	}
	view := srv.auth.Policy()
	answer := rights.Page{Version: view.Version, MaxChanges: srv.policyChangeLimit()}
	size := 0
	fits := func(v any) bool {
		size += protocol.JSONSize(protocol.Encode(v))
		return size <= policyBody
	}
	switch req.Path {
	case "/policy/roles":
		for _, r := range view.Document.Roles {
			if r.Name <= q.Get("after") {
				continue
			}
			if len(answer.Roles) > 0 && (len(answer.Roles) >= policyPage || !fits(r)) {
				answer.More = true
				break
			}
			answer.Roles = append(answer.Roles, r)
		}
	case "/policy/identities":
		for _, id := range view.Document.Identities {
			if id.Name <= q.Get("after") {
				continue
			}
			if len(answer.Identities) > 0 && (len(answer.Identities) >= policyPage || !fits(id)) {
				answer.More = true
				break
			}
			answer.Identities = append(answer.Identities, id)
		}
	default:
		return respond.Refuse(404, "no such path", 0)
	}
	srv.auth.NoteRead(who, "read-policy", rights.Queue{}, "")
	return transport.Response{Status: 200, Body: protocol.Encode(answer)}
}
