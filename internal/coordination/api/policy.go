package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

const (
	// maxPolicyRecords bounds the records in an answer with a page of the policy.
	maxPolicyRecords = 200
	// maxPolicyBody bounds the size of such an answer, in bytes.
	maxPolicyBody = 48 << 10
	// maxDetailNames is how many names of a kind the audit has of a change of the policy.
	maxDetailNames = 12
	// maxDetail bounds what the audit has of such a change, in bytes.
	maxDetail = 500
)

// policyChangeLimit is how many records one change of the policy may touch: the head
// and the audit's own are in the same transaction.
func (s *Server) policyChangeLimit() int { return max(1, s.store.TxnOps()-1-auth.AuditChanges) }

// changePolicy makes an administrator's change of the policy.
func (s *Server) changePolicy(ctx context.Context, req request) (transport.Response, error) {
	var change rights.Change
	if err := protocol.Decode(req.Body, &change); err != nil {
		return transport.Response{}, apierror.Invalid(http.StatusBadRequest, err)
	}
	view := s.auth.Policy()
	if err := s.checkPolicyChange(view, &change); err != nil {
		return transport.Response{}, err
	}
	next := storage.PolicyHead{Version: view.Version + 1}
	txn := policyTransaction(view, next, &change)
	if err := s.checkPolicyRecordSizes(txn); err != nil {
		return transport.Response{}, err
	}
	record := s.auth.AuditRecord(req.caller, verbChangePolicy, rights.Queue{}, "")
	record.Detail = changeDetail(&change, next.Version)
	revision, err := s.auth.Commit(ctx, txn, record)
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict):
		return transport.Response{}, apierror.New(http.StatusConflict, "the policy was changed by somebody else just now; look at it again")
	case errors.Is(err, storage.ErrTooLarge):
		return transport.Response{}, apierror.New(http.StatusUnprocessableEntity, "too large for the state service; split it")
	case err != nil:
		return transport.Response{}, err
	}
	s.applyPolicyChange(txn, revision)
	return success(http.StatusOK, rights.Version{Version: next.Version, MaxChanges: s.policyChangeLimit()}), nil
}

// checkPolicyChange refuses a change that does not fit the policy as it is.
func (s *Server) checkPolicyChange(view *auth.PolicyView, change *rights.Change) error {
	if change.Version != view.Version {
		return apierror.Newf(http.StatusConflict, "the policy is at version %d, the change is for version %d; look at it again", view.Version, change.Version)
	}
	if size, limit := change.Size(), s.policyChangeLimit(); size > limit {
		return apierror.Newf(http.StatusUnprocessableEntity, "changes %d records, at most %d at a time; split it", size, limit)
	}
	if _, err := rights.Apply(view.Document, change); err != nil {
		return apierror.Invalid(http.StatusUnprocessableEntity, err)
	}
	return nil
}

// policyTransaction is the transaction of a change of the policy. Every change is conditional
// on the head's revision and writes the head, so no other change of any of these records,
// late or from elsewhere, can come between.
func policyTransaction(view *auth.PolicyView, next storage.PolicyHead, change *rights.Change) *protocol.Transaction {
	txn := &protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.PolicyHeadKey, Version: view.HeadRevision}},
		Then: []protocol.Change{{Put: storage.PolicyHeadKey, Value: storage.Encode(next)}},
	}
	for i := range change.PutRoles {
		role := &change.PutRoles[i]
		txn.Then = append(txn.Then, protocol.Change{Put: storage.RoleKey(role.Name), Value: storage.Encode(role)})
	}
	for i := range change.PutIdentities {
		id := &change.PutIdentities[i]
		txn.Then = append(txn.Then, protocol.Change{Put: storage.IdentityKey(id.Name), Value: storage.Encode(id)})
	}
	for _, name := range change.DropRoles {
		txn.Then = append(txn.Then, protocol.Change{Delete: storage.RoleKey(name)})
	}
	for _, name := range change.DropIdentities {
		txn.Then = append(txn.Then, protocol.Change{Delete: storage.IdentityKey(name)})
	}
	return txn
}

// checkPolicyRecordSizes refuses records that are larger than the state service takes.
func (s *Server) checkPolicyRecordSizes(txn *protocol.Transaction) error {
	for _, change := range txn.Then {
		if len(change.Value) == 0 {
			continue
		}
		if size, limit := protocol.JSONSize(change.Value), s.store.ValueBytes(); size > limit {
			return apierror.Newf(http.StatusUnprocessableEntity, "%s takes %d bytes of at most %d; split the role into several",
				strings.TrimPrefix(change.Put, storage.WatchPrefix), size, limit)
		}
	}
	return nil
}

// applyPolicyChange applies a committed change of the policy, unless the watch has brought
// it already.
func (s *Server) applyPolicyChange(txn *protocol.Transaction, revision uint64) {
	s.loop.Do(func() {
		if revision <= s.auth.PolicyRevision() {
			return
		}
		for _, change := range txn.Then {
			s.watcher.ApplyEvent(protocol.Event{Put: change.Put, Delete: change.Delete, Value: change.Value, Version: revision})
		}
		s.auth.PublishPolicy(s.RecordsCurrentAt)
	})
}

// changeDetail is the text that the audit has of a change of the policy.
func changeDetail(change *rights.Change, version uint64) string {
	var roles, identities, revoked, voided []string
	for _, role := range change.PutRoles {
		roles = append(roles, role.Name)
	}
	for _, id := range change.PutIdentities {
		text := id.Name + "=" + strings.Join(id.Roles, "+")
		switch {
		case id.Revoked:
			revoked = append(revoked, id.Name)
		case id.TokensFromMS > 0:
			voided = append(voided, text)
		default:
			identities = append(identities, text)
		}
	}
	details := []string{fmt.Sprintf("version %d", version)}
	for _, list := range []struct {
		action string
		names  []string
	}{
		{"put roles", roles},
		{"put", identities},
		{"put with tokens voided", voided},
		{"revoked", revoked},
		{"dropped roles", change.DropRoles},
		{"dropped", change.DropIdentities},
	} {
		if len(list.names) > 0 {
			details = append(details, list.action+" "+joinSome(list.names))
		}
	}
	detail := strings.Join(details, "; ")
	return detail[:min(len(detail), maxDetail)]
}

// joinSome lists the first names, and says how many more there are.
func joinSome(names []string) string {
	text := strings.Join(names[:min(len(names), maxDetailNames)], " ")
	if len(names) > maxDetailNames {
		text += fmt.Sprintf(" and %d more", len(names)-maxDetailNames)
	}
	return text
}

// showPolicy answers with a page of the policy, of the records that come after a name.
func (s *Server) showPolicy(_ context.Context, req request) (transport.Response, error) {
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return transport.Response{}, errBadQuery
	}
	view, after := s.auth.Policy(), query.Get("after")
	page := rights.Page{Version: view.Version, MaxChanges: s.policyChangeLimit()}
	switch req.Path {
	case "/policy/roles":
		page.Roles, page.More = pageOf(view.Document.Roles, after, func(role *rights.Role) string { return role.Name })
	case "/policy/identities":
		page.Identities, page.More = pageOf(view.Document.Identities, after, func(id *rights.Identity) string { return id.Name })
	default:
		return transport.Response{}, errNoSuchPath
	}
	s.auth.NoteRead(req.caller, verbReadPolicy, rights.Queue{}, "")
	return success(http.StatusOK, page), nil
}

// pageOf returns as many of the records that come after a name as an answer may hold, at
// least one, and whether there are more. Records are sorted by name. The first record of a
// page does not count against the size.
func pageOf[Record any](records []Record, after string, name func(*Record) string) (page []Record, more bool) {
	size := 0
	for i := range records {
		if name(&records[i]) <= after {
			continue
		}
		if len(page) > 0 {
			if len(page) >= maxPolicyRecords {
				return page, true
			}
			if size += protocol.JSONSize(protocol.Encode(records[i])); size > maxPolicyBody {
				return page, true
			}
		}
		page = append(page, records[i])
	}
	return page, false
}
