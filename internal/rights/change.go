package rights

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Change is a set of changes to a policy that an administrator requests. They are applied atomically.
type Change struct {
	// Version is the version of the policy that the change is based on.
	Version        uint64     `msgpack:"version" json:"version"`
	PutRoles       []Role     `msgpack:"put_roles" json:"put_roles,omitempty"`
	DropRoles      []string   `msgpack:"drop_roles" json:"drop_roles,omitempty"`
	PutIdentities  []Identity `msgpack:"put_identities" json:"put_identities,omitempty"`
	DropIdentities []string   `msgpack:"drop_identities" json:"drop_identities,omitempty"`
}

// Size returns the number of records in the change.
func (c *Change) Size() int {
	return len(c.PutRoles) + len(c.DropRoles) + len(c.PutIdentities) + len(c.DropIdentities)
}

// Apply returns a copy of a policy with the change applied, or an error if the change is invalid.
// It does not modify the document.
func Apply(document *Document, change *Change) (*Document, error) {
	if change.Size() == 0 {
		return nil, errors.New("nothing is to be changed")
	}
	e := newEditor(document)
	if err := e.changeRoles(change); err != nil {
		return nil, err
	}
	if err := e.changeIdentities(change); err != nil {
		return nil, err
	}
	next := e.document()
	if err := next.Check(); err != nil {
		return nil, err
	}
	if !Compile(next).HasAdministrator() {
		return nil, ErrNoAdministrator
	}
	return next, nil
}

// editor builds a changed copy of a policy.
type editor struct {
	roles      map[string]Role
	identities map[string]Identity
	// changed holds the records that the change has put or dropped so far.
	changed map[string]bool
}

func newEditor(document *Document) *editor {
	e := &editor{
		roles:      make(map[string]Role, len(document.Roles)),
		identities: make(map[string]Identity, len(document.Identities)),
		changed:    map[string]bool{},
	}
	for _, role := range document.Roles {
		e.roles[role.Name] = role
	}
	for _, id := range document.Identities {
		e.identities[id.Name] = id
	}
	return e
}

// markChanged returns an error if the change contains a record twice.
func (e *editor) markChanged(record string) error {
	if e.changed[record] {
		return fmt.Errorf("%s is changed twice", record)
	}
	e.changed[record] = true
	return nil
}

func (e *editor) changeRoles(change *Change) error {
	for _, role := range change.PutRoles {
		if err := e.markChanged("role " + truncate(role.Name)); err != nil {
			return err
		}
		e.roles[role.Name] = role
	}
	for _, name := range change.DropRoles {
		if err := e.markChanged("role " + truncate(name)); err != nil {
			return err
		}
		if _, ok := e.roles[name]; !ok {
			return fmt.Errorf("there is no role %q", truncate(name))
		}
		delete(e.roles, name)
	}
	return nil
}

func (e *editor) changeIdentities(change *Change) error {
	for _, id := range change.PutIdentities {
		if err := e.markChanged(truncate(id.Name)); err != nil {
			return err
		}
		e.identities[id.Name] = id
	}
	for _, name := range change.DropIdentities {
		if err := e.markChanged(truncate(name)); err != nil {
			return err
		}
		if _, ok := e.identities[name]; !ok {
			return fmt.Errorf("there is no identity %q", truncate(name))
		}
		delete(e.identities, name)
	}
	return nil
}

// document returns the changed policy, sorted by name.
func (e *editor) document() *Document {
	document := &Document{}
	for _, name := range slices.Sorted(maps.Keys(e.roles)) {
		document.Roles = append(document.Roles, e.roles[name])
	}
	for _, name := range slices.Sorted(maps.Keys(e.identities)) {
		document.Identities = append(document.Identities, e.identities[name])
	}
	return document
}

// ChangeResult is the response to a policy change.
type ChangeResult struct {
	Version uint64 `msgpack:"version"`
	// MaxChanges is the maximum number of records in one change.
	MaxChanges int `msgpack:"max_changes"`
}

// Page is a page of a policy listing.
type Page struct {
	Version    uint64     `msgpack:"version"`
	MaxChanges int        `msgpack:"max_changes"`
	Roles      []Role     `msgpack:"roles"`
	Identities []Identity `msgpack:"identities"`
	// More is true if there are records after the last one of the page.
	More bool `msgpack:"more"`
}
