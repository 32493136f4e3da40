package auth

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
)

// policyRecords is the policy as the watch has brought it: one record for each
// role and identity, and a head whose stamp every change demands, so that
// changes come one after the other. It belongs to the loop.
type policyRecords struct {
	head         storage.PolicyHead
	headRevision uint64
	roles        map[string]rights.Role
	identities   map[string]rights.Identity
	changed      bool
}

func (p *policyRecords) init() {
	p.roles, p.identities, p.changed = map[string]rights.Role{}, map[string]rights.Identity{}, true
}

// apply takes a record in. One that can't be read takes the right it might have
// given with it.
func (p *policyRecords) apply(kind storage.Kind, name string, e protocol.Event) error {
	p.changed = true
	switch kind {
	case storage.KindPolicyHead:
		p.head, p.headRevision = storage.PolicyHead{}, 0
		if e.Delete == "" {
			p.headRevision = e.Version
			return storage.Decode(e.Value, &p.head)
		}
	case storage.KindRole:
		delete(p.roles, name)
		if e.Delete == "" {
			var r rights.Role
			if err := storage.Decode(e.Value, &r); err != nil {
				return err
			}
			if err := r.Check(); err != nil {
				return err
			}
			p.roles[name] = r
		}
	case storage.KindIdentity:
		delete(p.identities, name)
		if e.Delete == "" {
			var id rights.Identity
			if err := storage.Decode(e.Value, &id); err != nil {
				return err
			}
			if err := id.Check(); err != nil {
				return err
			}
			p.identities[name] = id
		}
	}
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

// PublishPolicy gives the connections what the watch has brought, once for all
// records that came together. asked is when the listing or watch was sent that
// brought it.
func (au *Auth) PublishPolicy(asked time.Time) {
	if !au.enabled {
		return
	}
	if p := &au.records; p.changed {
		p.changed = false
		doc := &rights.Document{}
		for _, name := range slices.Sorted(maps.Keys(p.roles)) {
			doc.Roles = append(doc.Roles, p.roles[name])
		}
		for _, name := range slices.Sorted(maps.Keys(p.identities)) {
			doc.Identities = append(doc.Identities, p.identities[name])
		}
		before := au.policy.Swap(&PolicyView{Version: p.head.Version, HeadRevision: p.headRevision, Document: doc, Rights: rights.Compile(doc)})
		if before == nil || before.Version != p.head.Version {
			au.log.Info("policy followed", "version", p.head.Version, "roles", len(doc.Roles), "identities", len(doc.Identities))
		}
	}
	au.freshSince.Store(int64(asked.Sub(au.enabledAt)))
}
