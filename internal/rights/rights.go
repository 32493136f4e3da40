// Package rights decides what an identity may do on which queue. A queue is a
// team and a class of jobs. Everything is denied that no rule of one of the
// identity's roles allows. The package is pure: it knows neither where policies
// are kept nor how identities are proven.
package rights

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"micaspindle/internal/identity"
)

// Verb is something that a rule may allow; several form a set.
type Verb uint8

// The verbs.
const (
	Submit Verb = 1 << iota
	View
	ViewArguments
	Cancel
	Reassign
	Administer
	// Vouch lets a service say for whom it asks, where it has seen that somebody's
	// certificate itself. It gives no right that this one does not hold.
	Vouch
)

// Verbs are the names that rules use.
var verbs = []struct {
	name string
	verb Verb
}{{"submit", Submit}, {"view", View}, {"view-arguments", ViewArguments}, {"withdraw", Cancel}, {"reassign", Reassign}, {"administer", Administer}, {"vouch", Vouch}}

func (v Verb) String() string {
	var names []string
	for _, e := range verbs {
		if v&e.verb != 0 {
			names = append(names, e.name)
		}
	}
	return strings.Join(names, ",")
}

// ParseVerb reads a verb's name.
func ParseVerb(name string) (Verb, error) {
	for _, e := range verbs {
		if e.name == name {
			return e.verb, nil
		}
	}
	return 0, fmt.Errorf("%q is no verb: submit, view, view-arguments, withdraw, reassign, administer or vouch", clip(name))
}

// Queue is a team and a class of jobs.
type Queue struct{ Team, Class string }

// Rule allows verbs on queues: patterns as path.Match knows them, so that "*"
// stands for any name without a slash.
type Rule struct {
	Verbs []string `msgpack:"v" yaml:"allow" json:"allow"`
	Team  string   `msgpack:"t" yaml:"team" json:"team"`
	Class string   `msgpack:"c" yaml:"class" json:"class"`
}

// Role is a named list of rules.
type Role struct {
	Name  string `msgpack:"n" yaml:"name" json:"name"`
	Rules []Rule `msgpack:"r" yaml:"rules" json:"rules"`
}

// Identity is what the policy says of an identity.
type Identity struct {
	Name  string   `msgpack:"n" yaml:"name" json:"name"`
	Roles []string `msgpack:"r" yaml:"roles" json:"roles"`
	// Revoked identities may do nothing.
	Revoked bool `msgpack:"x,omitempty" yaml:"revoked,omitempty" json:"revoked,omitempty"`
	// TokensFromMS voids tokens that were issued before.
	TokensFromMS int64 `msgpack:"f,omitempty" yaml:"-" json:"tokens_from_ms,omitempty"`
}

// Bounds of a policy.
const (
	MaxRoles      = 1000
	MaxRules      = 1000 // of one role
	MaxIdentities = 100_000
	maxText       = 100
	maxRolesOfOne = 64
)

func clip(s string) string { return s[:min(len(s), 40)] }

// Check says what is wrong with a role.
func (r *Role) Check() error {
	if err := checkName(r.Name); err != nil {
		return fmt.Errorf("role %q: %w", clip(r.Name), err)
	}
	if len(r.Rules) > MaxRules {
		return fmt.Errorf("role %s: more than %d rules; split it", r.Name, MaxRules)
	}
	for i, rule := range r.Rules {
		if _, err := rule.verbs(); err != nil {
			return fmt.Errorf("role %s: rule %d: %w", r.Name, i+1, err)
		}
		for _, pattern := range []string{rule.Team, rule.Class} {
			if pattern == "" || len(pattern) > maxText {
				return fmt.Errorf("role %s: rule %d: team and class need a pattern of 1 to %d characters; \"*\" means any", r.Name, i+1, maxText)
			}
			if _, err := path.Match(pattern, ""); err != nil {
				return fmt.Errorf("role %s: rule %d: %q is no pattern", r.Name, i+1, clip(pattern))
			}
		}
	}
	return nil
}

func checkName(name string) error {
	if name == "" || len(name) > maxText {
		return fmt.Errorf("a name has 1 to %d characters", maxText)
	}
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-') {
			return errors.New("a name holds letters, digits and . _ - only")
		}
	}
	return nil
}

func (r *Rule) verbs() (Verb, error) {
	var set Verb
	for _, name := range r.Verbs {
		v, err := ParseVerb(name)
		if err != nil {
			return 0, err
		}
		set |= v
	}
	if set == 0 {
		return 0, errors.New("allows nothing; name at least one verb")
	}
	return set, nil
}

// covers says whether a rule's patterns stand for a queue.
func (r *Rule) covers(q Queue) bool {
	team, _ := path.Match(r.Team, q.Team)
	class, _ := path.Match(r.Class, q.Class)
	return team && class
}

// Check says what is wrong with an identity, apart from the roles it names.
func (id *Identity) Check() error {
	name, err := identity.ParseName(id.Name)
	if err != nil {
		return err
	}
	if !name.Caller() {
		return fmt.Errorf("%s: a policy is about persons and services; a %s has the rights of its kind", id.Name, name.Kind)
	}
	if len(id.Roles) > maxRolesOfOne {
		return fmt.Errorf("%s: more than %d roles", id.Name, maxRolesOfOne)
	}
	for i, r := range id.Roles {
		if err := checkName(r); err != nil {
			return fmt.Errorf("%s: role %q: %w", id.Name, clip(r), err)
		}
		if slices.Contains(id.Roles[:i], r) {
			return fmt.Errorf("%s: role %s is named twice", id.Name, r)
		}
	}
	return nil
}

// Document is a policy as it is written down.
type Document struct {
	Roles      []Role     `msgpack:"roles" yaml:"roles" json:"roles"`
	Identities []Identity `msgpack:"identities" yaml:"identities" json:"identities"`
}

// Check says what is wrong with a policy, in one line.
func (d *Document) Check() error {
	if len(d.Roles) > MaxRoles || len(d.Identities) > MaxIdentities {
		return fmt.Errorf("more than %d roles or %d identities", MaxRoles, MaxIdentities)
	}
	roles, names := map[string]bool{}, map[string]bool{}
	for i := range d.Roles {
		if err := d.Roles[i].Check(); err != nil {
			return err
		}
		if roles[d.Roles[i].Name] {
			return fmt.Errorf("role %s stands there twice", d.Roles[i].Name)
		}
		roles[d.Roles[i].Name] = true
	}
	for i := range d.Identities {
		id := &d.Identities[i]
		if err := id.Check(); err != nil {
			return err
		}
		if names[id.Name] {
			return fmt.Errorf("%s stands there twice", id.Name)
		}
		names[id.Name] = true
		for _, r := range id.Roles {
			if !roles[r] {
				return fmt.Errorf("%s: there is no role %s", id.Name, r)
			}
		}
	}
	return nil
}

// ErrNoAdministrator refuses a policy that nobody could change any more.
var ErrNoAdministrator = errors.New("nobody would be left who may administer every queue (team \"*\", class \"*\")")

// Policy is a policy ready for decisions. It does not change; what it remembers
// of queues it has seen is bounded. Several goroutines may use it.
type Policy struct {
	roles []Role
	names map[string]uint16
	ids   map[string]member

	mu     sync.RWMutex
	queues map[Queue][]Verb // what each role allows
}

type member struct {
	roles   []uint16
	held    Verb // on any queue
	revoked bool
	from    int64
}

// maxQueues bounds the queues that are remembered; a caller may name any.
const maxQueues = 4096

// Compile makes a policy of a checked document.
func Compile(d *Document) *Policy {
	p := &Policy{roles: d.Roles, names: make(map[string]uint16, len(d.Roles)), ids: make(map[string]member, len(d.Identities)), queues: map[Queue][]Verb{}}
	held := make([]Verb, len(d.Roles))
	for i := range d.Roles {
		p.names[d.Roles[i].Name] = uint16(i)
		for j := range d.Roles[i].Rules {
			v, _ := d.Roles[i].Rules[j].verbs() // checked before
			held[i] |= v
		}
	}
	for i := range d.Identities {
		id := &d.Identities[i]
		m := member{revoked: id.Revoked, from: id.TokensFromMS}
		for _, name := range id.Roles {
			// A role that is gone allows nothing.
			if r, ok := p.names[name]; ok {
				m.roles = append(m.roles, r)
				m.held |= held[r]
			}
		}
		p.ids[id.Name] = m
	}
	return p
}

// Known says whether the policy names an identity that is not revoked.
func (p *Policy) Known(name string) bool {
	m, ok := p.ids[name]
	return ok && !m.revoked
}

// Voids says whether a token of an identity, issued at a time, is void.
func (p *Policy) Voids(name string, issued time.Time) bool {
	return issued.UnixMilli() < p.ids[name].from
}

// HoldsAny says whether an identity holds a verb on any queue at all.
func (p *Policy) HoldsAny(name string, v Verb) bool {
	m := p.ids[name]
	return !m.revoked && m.held&v != 0
}

// Allows says whether an identity holds a verb on a queue.
func (p *Policy) Allows(name string, v Verb, q Queue) bool {
	m, ok := p.ids[name]
	if !ok || m.revoked || m.held&v == 0 {
		return false
	}
	p.mu.RLock()
	masks, seen := p.queues[q]
	p.mu.RUnlock()
	if !seen {
		masks = p.masks(q)
	}
	for _, r := range m.roles {
		if masks[r]&v != 0 {
			return true
		}
	}
	return false
}

// masks works out what each role allows on a queue, and remembers it.
func (p *Policy) masks(q Queue) []Verb {
	masks := make([]Verb, len(p.roles))
	for i := range p.roles {
		for j := range p.roles[i].Rules {
			if rule := &p.roles[i].Rules[j]; rule.covers(q) {
				v, _ := rule.verbs()
				masks[i] |= v
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queues) < maxQueues {
		p.queues[q] = masks
	}
	return masks
}

// everywhere is the queue of all queues: only patterns that stand for
// everything cover it.
func (r *Rule) everywhere() bool { return r.Team == "*" && r.Class == "*" }

// AllowsEverywhere says whether an identity holds a verb on every queue, by one
// rule with "*" for team and class.
func (p *Policy) AllowsEverywhere(name string, v Verb) bool {
	m := p.ids[name]
	if m.revoked || m.held&v == 0 {
		return false
	}
	for _, r := range m.roles {
		for j := range p.roles[r].Rules {
			if rule := &p.roles[r].Rules[j]; rule.everywhere() {
				if set, _ := rule.verbs(); set&v != 0 {
					return true
				}
			}
		}
	}
	return false
}

// Administered says whether anybody is left who may change the policy.
func (p *Policy) Administered() bool {
	for name := range p.ids {
		if p.AllowsEverywhere(name, Administer) {
			return true
		}
	}
	return false
}

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
func (ch *Change) Size() int {
	return len(ch.PutRoles) + len(ch.DropRoles) + len(ch.PutIdentities) + len(ch.DropIdentities)
}

// Apply returns the policy with a change made, or says why it can't be.
func Apply(d *Document, ch *Change) (*Document, error) {
	roles := make(map[string]Role, len(d.Roles))
	for _, r := range d.Roles {
		roles[r.Name] = r
	}
	ids := make(map[string]Identity, len(d.Identities))
	for _, id := range d.Identities {
		ids[id.Name] = id
	}
	if ch.Size() == 0 {
		return nil, errors.New("nothing is to be changed")
	}
	touched := map[string]bool{}
	touch := func(key string) error {
		if touched[key] {
			return fmt.Errorf("%s is changed twice", key)
		}
		touched[key] = true
		return nil
	}
	for _, r := range ch.PutRoles {
		if err := touch("role " + clip(r.Name)); err != nil {
			return nil, err
		}
		roles[r.Name] = r
	}
	for _, name := range ch.DropRoles {
		if err := touch("role " + clip(name)); err != nil {
			return nil, err
		}
		if _, ok := roles[name]; !ok {
			return nil, fmt.Errorf("there is no role %q", clip(name))
		}
		delete(roles, name)
	}
	for _, id := range ch.PutIdentities {
		if err := touch(clip(id.Name)); err != nil {
			return nil, err
		}
		ids[id.Name] = id
	}
	for _, name := range ch.DropIdentities {
		if err := touch(clip(name)); err != nil {
			return nil, err
		}
		if _, ok := ids[name]; !ok {
			return nil, fmt.Errorf("there is no identity %q", clip(name))
		}
		delete(ids, name)
	}
	next := &Document{}
	for _, name := range slices.Sorted(maps.Keys(roles)) {
		next.Roles = append(next.Roles, roles[name])
	}
	for _, name := range slices.Sorted(maps.Keys(ids)) {
		next.Identities = append(next.Identities, ids[name])
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	if !Compile(next).Administered() {
		return nil, ErrNoAdministrator
	}
	return next, nil
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
	More       bool       `msgpack:"more"`
}
