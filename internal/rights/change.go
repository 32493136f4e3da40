package rights

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Change is what an administrator asks to be changed, at once.
type Change struct {
	// Version is the policy's version that the change is meant for.
	Version        uint64     `msgpack:"version" json:"version"`
	PutRoles       []Role     `msgpack:"put_roles" json:"put_roles,omitempty"`
	DropRoles      []string   `msgpack:"drop_roles" json:"drop_roles,omitempty"`
	PutIdentities  []Identity `msgpack:"put_identities" json:"put_identities,omitempty"`
	DropIdentities []string   `msgpack:"drop_identities" json:"drop_identities,omitempty"`
}

// Size is how many records the change touches.
func (c *Change) Size() int {
	return len(c.PutRoles) + len(c.DropRoles) + len(c.PutIdentities) + len(c.DropIdentities)
}

// Apply returns the policy with a change made, or an error that says why the change can't be
// made. The document stays as it is.
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
	if !Compile(next).Administered() {
		return nil, ErrNoAdministrator
	}
	return next, nil
}

// editor makes a changed copy of a policy.
type editor struct {
	roles      map[string]Role
	identities map[string]Identity
	// touched are the records that the change has touched already.
	touched map[string]bool
}

func newEditor(document *Document) *editor {
	e := &editor{
		roles:      make(map[string]Role, len(document.Roles)),
		identities: make(map[string]Identity, len(document.Identities)),
		touched:    map[string]bool{},
	}
	for _, role := range document.Roles {
		e.roles[role.Name] = role
	}
	for _, id := range document.Identities {
		e.identities[id.Name] = id
	}
	return e
}

// touch refuses a record that is changed twice.
func (e *editor) touch(record string) error {
	if e.touched[record] {
		return fmt.Errorf("%s is changed twice", record)
	}
	e.touched[record] = true
	return nil
}

func (e *editor) changeRoles(change *Change) error {
	for _, role := range change.PutRoles {
		if err := e.touch("role " + clip(role.Name)); err != nil {
			return err
		}
		e.roles[role.Name] = role
	}
	for _, name := range change.DropRoles {
		if err := e.touch("role " + clip(name)); err != nil {
			return err
		}
		if _, ok := e.roles[name]; !ok {
			return fmt.Errorf("there is no role %q", clip(name))
		}
		delete(e.roles, name)
	}
	return nil
}

func (e *editor) changeIdentities(change *Change) error {
	for _, id := range change.PutIdentities {
		if err := e.touch(clip(id.Name)); err != nil {
			return err
		}
		e.identities[id.Name] = id
	}
	for _, name := range change.DropIdentities {
		if err := e.touch(clip(name)); err != nil {
			return err
		}
		if _, ok := e.identities[name]; !ok {
			return fmt.Errorf("there is no identity %q", clip(name))
		}
		delete(e.identities, name)
	}
	return nil
}

// document is the policy with the changes, sorted by name.
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

// Version is the answer to a change.
type Version struct {
	Version uint64 `msgpack:"version"`
	// MaxChanges is how many records one change may touch.
	MaxChanges int `msgpack:"max_changes"`
}

// Page is a page of the policy.
type Page struct {
	Version    uint64     `msgpack:"version"`
	MaxChanges int        `msgpack:"max_changes"`
	Roles      []Role     `msgpack:"roles"`
	Identities []Identity `msgpack:"identities"`
	// More: there are records behind the last one.
	More bool `msgpack:"more"`
}
