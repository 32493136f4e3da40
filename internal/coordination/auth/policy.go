package auth

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
)

const (
	// maxPolicyAge is the maximum age of the cached policy for a request to be allowed. A
	// revocation must be effective on all controllers within 3 s.
	maxPolicyAge = 2500 * time.Millisecond
	// PolicyWatchTimeout is the maximum time that a watch request waits for changes while
	// authentication is enabled, so that the cached policy stays within maxPolicyAge.
	PolicyWatchTimeout = 500 * time.Millisecond
	// initialPolicyAge is the assumed age of the policy at Enable. It exceeds maxPolicyAge, so
	// that no request is allowed until the policy was read.
	initialPolicyAge = time.Hour
)

// PolicyView is an immutable snapshot of the policy.
type PolicyView struct {
	Version uint64
	// HeadRevision is the revision of the policy's head record in the state store.
	HeadRevision uint64
	Document     *rights.Document
	Rights       *rights.Policy
}

// Policy returns the policy published last; nil until the policy was read.
func (a *Auth) Policy() *PolicyView { return a.policy.Load() }

// policyFresh reports whether the published policy is recent enough to allow requests.
func (a *Auth) policyFresh() bool {
	return time.Since(a.enabledAt)-time.Duration(a.policyCurrentAt.Load()) <= maxPolicyAge
}

// PolicyRevision returns the revision of the policy's head record; 0 if there is none. It must
// be called in the event loop.
func (a *Auth) PolicyRevision() uint64 { return a.records.headRevision }

// ApplyPolicyRecord applies a watch event of a policy record. It must be called in the event
// loop.
func (a *Auth) ApplyPolicyRecord(kind storage.RecordKind, name string, e protocol.Event) error {
	return a.records.apply(kind, name, e)
}

// DropUnlistedPolicy removes the policy records whose keys are missing from a listing. It must
// be called in the event loop.
func (a *Auth) DropUnlistedPolicy(listed map[string]bool) { a.records.dropUnlisted(listed) }

// PublishPolicy publishes the applied records as the new PolicyView, once for all records that
// arrived together. requestedAt is the time of the request for the listing or watch response that
// delivered the records. PublishPolicy must be called in the event loop.
func (a *Auth) PublishPolicy(requestedAt time.Time) {
	if !a.enabled {
		return
	}
	if a.records.changed {
		a.records.changed = false
		a.publish(a.records.view())
	}
	a.policyCurrentAt.Store(int64(requestedAt.Sub(a.enabledAt)))
}

func (a *Auth) publish(view *PolicyView) {
	before := a.policy.Swap(view)
	if before == nil || before.Version != view.Version {
		a.log.Info("policy updated", "version", view.Version, "roles", len(view.Document.Roles), "identities", len(view.Document.Identities))
	}
}

// policyRecords holds the policy's records as delivered by the watch: one for each role and
// identity, and a head. Every change of the policy is conditional on the head's revision, which
// serializes the changes. policyRecords is owned by the event loop.
type policyRecords struct {
	head         storage.PolicyHead
	headRevision uint64
	roles        map[string]rights.Role
	identities   map[string]rights.Identity
	// changed is set if there are changes that were not published yet.
	changed bool
}

func (p *policyRecords) init() {
	p.roles, p.identities, p.changed = map[string]rights.Role{}, map[string]rights.Identity{}, true
}

// apply applies a watch event of a record. A record that can't be decoded or is invalid is
// removed, so that it grants no permissions.
func (p *policyRecords) apply(kind storage.RecordKind, name string, e protocol.Event) error {
	p.changed = true
	deleted := e.Delete != ""
	switch kind {
	case storage.KindPolicyHead:
		p.head, p.headRevision = storage.PolicyHead{}, 0
		if !deleted {
			p.headRevision = e.Version
			return storage.Decode(e.Value, &p.head)
		}
	case storage.KindRole:
		delete(p.roles, name)
		if !deleted {
			return putRecord(p.roles, name, e.Value)
		}
	case storage.KindIdentity:
		delete(p.identities, name)
		if !deleted {
			return putRecord(p.identities, name, e.Value)
		}
	}
	return nil
}

// checker constrains a pointer to a record type that can validate itself.
type checker[T any] interface {
	*T
	Check() error
}

// putRecord decodes a record, validates it and stores it under its name.
func putRecord[T any, P checker[T]](records map[string]T, name string, value []byte) error {
	var record T
	if err := storage.Decode(value, &record); err != nil {
		return err
	}
	if err := P(&record).Check(); err != nil {
		return err
	}
	records[name] = record
	return nil
}

// dropUnlisted removes the records whose keys are missing from a listing.
func (p *policyRecords) dropUnlisted(listed map[string]bool) {
	for name := range p.roles {
		if !listed[storage.RoleKey(name)] {
			delete(p.roles, name)
			p.changed = true
		}
	}
	for name := range p.identities {
		if !listed[storage.IdentityKey(name)] {
			delete(p.identities, name)
			p.changed = true
		}
	}
	if p.headRevision != 0 && !listed[storage.PolicyHeadKey] {
		p.head, p.headRevision, p.changed = storage.PolicyHead{}, 0, true
	}
}

// view compiles the records into a PolicyView.
func (p *policyRecords) view() *PolicyView {
	document := &rights.Document{}
	for _, name := range slices.Sorted(maps.Keys(p.roles)) {
		document.Roles = append(document.Roles, p.roles[name])
	}
	for _, name := range slices.Sorted(maps.Keys(p.identities)) {
		document.Identities = append(document.Identities, p.identities[name])
	}
	return &PolicyView{Version: p.head.Version, HeadRevision: p.headRevision, Document: document, Rights: rights.Compile(document)}
}
