// Package rights decides what an identity may do on which queue. A queue is a
// team and a class of jobs. Everything is denied that no rule of one of the
// identity's roles allows. The package is pure: it knows neither where policies
// are stored nor how identities are proven.
package rights

import (
	"errors"
	"fmt"
	"path"
	"slices"

	"micaspindle/internal/identity"
)

// Queue is a team and a class of jobs.
type Queue struct{ Team, Class string }

// Document is a policy as it is written down.
type Document struct {
	Roles      []Role     `msgpack:"roles" yaml:"roles" json:"roles"`
	Identities []Identity `msgpack:"identities" yaml:"identities" json:"identities"`
}

// Rule allows verbs on queues: patterns as path.Match knows them, so that "*"
// matches any name without a slash.
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
	// MaxRoles is how many roles a policy may have.
	MaxRoles = 1000
	// MaxRules is how many rules a role may have.
	MaxRules = 1000
	// MaxIdentities is how many identities a policy may name.
	MaxIdentities = 100_000
	// maxText bounds names and patterns, in bytes.
	maxText = 100
	// maxRolesOfOne is how many roles an identity may have.
	maxRolesOfOne = 64
	// maxQuoted bounds what an error quotes of a text, in bytes.
	maxQuoted = 40
)

// ErrNoAdministrator refuses a policy that nobody could change any more.
var ErrNoAdministrator = errors.New("nobody would be left who may administer every queue (team \"*\", class \"*\")")

func clip(text string) string { return text[:min(len(text), maxQuoted)] }

// Check says what is wrong with a policy, in one line.
func (d *Document) Check() error {
	if len(d.Roles) > MaxRoles || len(d.Identities) > MaxIdentities {
		return fmt.Errorf("more than %d roles or %d identities", MaxRoles, MaxIdentities)
	}
	roles, err := checkRoles(d.Roles)
	if err != nil {
		return err
	}
	return checkIdentities(d.Identities, roles)
}

// checkRoles says what is wrong with the roles of a policy, and returns their names.
func checkRoles(roles []Role) (names map[string]bool, err error) {
	names = make(map[string]bool, len(roles))
	for i := range roles {
		role := &roles[i]
		if err := role.Check(); err != nil {
			return nil, err
		}
		if names[role.Name] {
			return nil, fmt.Errorf("role %s stands there twice", role.Name)
		}
		names[role.Name] = true
	}
	return names, nil
}

// checkIdentities says what is wrong with the identities of a policy that has so many roles.
func checkIdentities(identities []Identity, roles map[string]bool) error {
	names := make(map[string]bool, len(identities))
	for i := range identities {
		id := &identities[i]
		if err := id.Check(); err != nil {
			return err
		}
		if names[id.Name] {
			return fmt.Errorf("%s stands there twice", id.Name)
		}
		names[id.Name] = true
		for _, role := range id.Roles {
			if !roles[role] {
				return fmt.Errorf("%s: there is no role %s", id.Name, role)
			}
		}
	}
	return nil
}

// Check says what is wrong with a role.
func (r *Role) Check() error {
	if err := checkName(r.Name); err != nil {
		return fmt.Errorf("role %q: %w", clip(r.Name), err)
	}
	if len(r.Rules) > MaxRules {
		return fmt.Errorf("role %s: more than %d rules; split it", r.Name, MaxRules)
	}
	for i := range r.Rules {
		if err := r.Rules[i].check(); err != nil {
			return fmt.Errorf("role %s: rule %d: %w", r.Name, i+1, err)
		}
	}
	return nil
}

// check says what is wrong with a rule.
func (r *Rule) check() error {
	if _, err := r.parseVerbs(); err != nil {
		return err
	}
	for _, pattern := range []string{r.Team, r.Class} {
		if pattern == "" || len(pattern) > maxText {
			return fmt.Errorf("team and class need a pattern of 1 to %d characters; \"*\" means any", maxText)
		}
		if _, err := path.Match(pattern, ""); err != nil {
			return fmt.Errorf("%q is no pattern", clip(pattern))
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

// parseVerbs reads the verbs that a rule allows.
func (r *Rule) parseVerbs() (Verb, error) {
	var set Verb
	for _, name := range r.Verbs {
		verb, err := ParseVerb(name)
		if err != nil {
			return 0, err
		}
		set |= verb
	}
	if set == 0 {
		return 0, errors.New("allows nothing; name at least one verb")
	}
	return set, nil
}

// verbSet is what a rule allows that was checked before.
func (r *Rule) verbSet() Verb {
	set, _ := r.parseVerbs()
	return set
}

// covers reports whether a rule's patterns match a queue.
func (r *Rule) covers(queue Queue) bool {
	team, _ := path.Match(r.Team, queue.Team)
	class, _ := path.Match(r.Class, queue.Class)
	return team && class
}

// everywhere reports whether a rule covers every queue: only patterns that match any text
// count.
func (r *Rule) everywhere() bool { return r.Team == "*" && r.Class == "*" }

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
