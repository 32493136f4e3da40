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
	// maxPolicyRecords is the maximum number of records in a page of the policy.
	maxPolicyRecords = 200
	// maxPolicyBodyBytes is the maximum size of a page, without its first record.
	maxPolicyBodyBytes = 48 << 10
	// maxDetailNames is the maximum number of names in each list of changeDetail.
	maxDetailNames = 12
	// maxDetailBytes is the maximum size of the text of changeDetail.
	maxDetailBytes = 500
)

// policyChangeLimit returns the maximum number of records in one policy change. Its transaction
// also changes the policy's head and the audit log's records.
func (s *Server) policyChangeLimit() int { return max(1, s.store.TxnOps()-1-auth.AuditChanges) }

// changePolicy applies a policy change requested by an administrator.
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
	return success(http.StatusOK, rights.ChangeResult{Version: next.Version, MaxChanges: s.policyChangeLimit()}), nil
}

// checkPolicyChange rejects a change that is too large, invalid, or based on another version of
// the policy.
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

// policyTransaction returns the transaction for a policy change. Every policy change writes the
// head and is conditional on the head's revision, so concurrent or delayed changes conflict.
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

// checkPolicyRecordSizes rejects records that exceed the state store's size limit.
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

// applyPolicyChange applies a committed policy change, unless the watch has already delivered
// it.
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

// changeDetail returns the description of a policy change for the audit log.
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
		case id.TokensRevokedBeforeMS > 0:
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
			details = append(details, list.action+" "+joinTruncated(list.names))
		}
	}
	detail := strings.Join(details, "; ")
	return detail[:min(len(detail), maxDetailBytes)]
}

// joinTruncated joins up to maxDetailNames names and adds the number of the omitted ones.
func joinTruncated(names []string) string {
	text := strings.Join(names[:min(len(names), maxDetailNames)], " ")
	if len(names) > maxDetailNames {
		text += fmt.Sprintf(" and %d more", len(names)-maxDetailNames)
	}
	return text
}

// showPolicy returns a page of the policy's roles or identities, beginning after a name.
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
	s.auth.AuditRead(req.caller, verbReadPolicy, rights.Queue{}, "")
	return success(http.StatusOK, page), nil
}

// pageOf returns as many of the records whose names are greater than after as fit into a page, and
// whether there are more. The records must be sorted by name. The first record of a page does not
// count toward the size limit, so that a page is never empty while there are more.
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
			if size += protocol.JSONSize(protocol.Encode(records[i])); size > maxPolicyBodyBytes {
				return page, true
			}
		}
		page = append(page, records[i])
	}
	return page, false
}
