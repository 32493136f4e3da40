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
	// policyMaxAge is how old the policy may be for anything to be allowed by it: a
	// revocation must hold everywhere within 3 s.
	policyMaxAge = 2500 * time.Millisecond
	// PolicyWatchWait is how long a watch waits where the policy must be fresh.
	PolicyWatchWait = 500 * time.Millisecond
	// neverFresh is how long before Enable the policy counts as read, so that it is too old
	// until it is read.
	neverFresh = time.Hour
)

// PolicyView is the policy at one version; it does not change.
type PolicyView struct {
	Version uint64
	// HeadRevision is the revision of the head record.
	HeadRevision uint64
	Document     *rights.Document
	Rights       *rights.Policy
}

// Policy is the policy as it was last published; nil before it was read.
func (a *Auth) Policy() *PolicyView { return a.policy.Load() }

// policyFresh reports whether the policy is fresh enough to allow anything by.
func (a *Auth) policyFresh() bool {
	return time.Since(a.enabledAt)-time.Duration(a.freshSince.Load()) <= policyMaxAge
}

// PolicyRevision is the revision of the policy's head record. It is called in the loop.
func (a *Auth) PolicyRevision() uint64 { return a.records.headRevision }

// ApplyPolicyRecord applies an event of a policy record. It is called in the loop.
func (a *Auth) ApplyPolicyRecord(kind storage.Kind, name string, e protocol.Event) error {
	return a.records.apply(kind, name, e)
}

// DropUnlistedPolicy drops the policy's records that a listing no longer holds. It is called
// in the loop.
func (a *Auth) DropUnlistedPolicy(listed map[string]bool) { a.records.dropUnlisted(listed) }

// PublishPolicy gives the connections the policy as it is now, once for all records that
// came together. requestedAt is when the listing or watch was sent that brought them. It is called
// in the loop.
func (a *Auth) PublishPolicy(requestedAt time.Time) {
	if !a.enabled {
		return
	}
	if a.records.changed {
		a.records.changed = false
		a.publish(a.records.view())
	}
	a.freshSince.Store(int64(requestedAt.Sub(a.enabledAt)))
}

func (a *Auth) publish(view *PolicyView) {
	before := a.policy.Swap(view)
	if before == nil || before.Version != view.Version {
		a.log.Info("policy updated", "version", view.Version, "roles", len(view.Document.Roles), "identities", len(view.Document.Identities))
	}
}

// policyRecords is the policy as the watch has delivered it: one record for each role and
// identity, and a head. Every change is conditional on the head's revision, so that changes
// come one after the other. It belongs to the loop.
type policyRecords struct {
	head         storage.PolicyHead
	headRevision uint64
	roles        map[string]rights.Role
	identities   map[string]rights.Identity
	// changed: something is not published yet.
	changed bool
}

func (p *policyRecords) init() {
	p.roles, p.identities, p.changed = map[string]rights.Role{}, map[string]rights.Identity{}, true
}

// apply applies an event of a record. A record that can't be read is dropped, with the rights
// that it might have given.
func (p *policyRecords) apply(kind storage.Kind, name string, e protocol.Event) error {
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

// checked is a record with a method that says what is wrong with it.
type checked[T any] interface {
	*T
	Check() error
}

// putRecord decodes a record, checks it and stores it under its name.
func putRecord[T any, P checked[T]](records map[string]T, name string, value []byte) error {
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

// dropUnlisted drops what a fresh listing no longer holds.
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

// view compiles the records.
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
