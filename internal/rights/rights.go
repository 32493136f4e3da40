// Package rights implements authorization: role-based access control for queues, which are pairs of
// a team and a job class. A request is denied unless a rule of one of the identity's roles allows
// it. The package neither stores policies nor authenticates identities.
package rights

import (
	"errors"
	"fmt"
	"path"
	"slices"

	"micaspindle/internal/identity"
)

// Queue is a team and a job class.
type Queue struct{ Team, Class string }

// Document is a policy as it is stored and written in policy files.
type Document struct {
	Roles      []Role     `msgpack:"roles" yaml:"roles" json:"roles"`
	Identities []Identity `msgpack:"identities" yaml:"identities" json:"identities"`
}

// Rule allows verbs on the queues whose team and class match its patterns. The patterns are those of
// path.Match, so "*" matches any name without a slash.
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

// Identity is the policy's record of an identity.
type Identity struct {
	Name  string   `msgpack:"n" yaml:"name" json:"name"`
	Roles []string `msgpack:"r" yaml:"roles" json:"roles"`
	// Revoked denies all requests of the identity.
	Revoked bool `msgpack:"x,omitempty" yaml:"revoked,omitempty" json:"revoked,omitempty"`
	// TokensRevokedBeforeMS revokes the tokens that were issued before this time, in Unix milliseconds.
	TokensRevokedBeforeMS int64 `msgpack:"f,omitempty" yaml:"-" json:"tokens_from_ms,omitempty"`
}

// Limits of a policy.
const (
	MaxRoles        = 1000
	MaxRulesPerRole = 1000
	MaxIdentities   = 100_000
	// maxTextBytes is the maximum length of names and patterns, in bytes.
	maxTextBytes        = 100
	maxRolesPerIdentity = 64
	// maxQuotedBytes is the maximum length of a quotation in an error message.
	maxQuotedBytes = 40
)

// ErrNoAdministrator rejects a policy that no identity may change.
var ErrNoAdministrator = errors.New("nobody would be left who may administer every queue (team \"*\", class \"*\")")

func truncate(text string) string { return text[:min(len(text), maxQuotedBytes)] }

// Check returns a one-line error if the policy is invalid.
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

// checkRoles validates the roles of a policy and returns their names.
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

// checkIdentities validates the identities of a policy whose role names are given.
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

// Check returns an error if the role is invalid.
func (r *Role) Check() error {
	if err := checkName(r.Name); err != nil {
		return fmt.Errorf("role %q: %w", truncate(r.Name), err)
	}
	if len(r.Rules) > MaxRulesPerRole {
		return fmt.Errorf("role %s: more than %d rules; split it", r.Name, MaxRulesPerRole)
	}
	for i := range r.Rules {
		if err := r.Rules[i].check(); err != nil {
			return fmt.Errorf("role %s: rule %d: %w", r.Name, i+1, err)
		}
	}
	return nil
}

// check returns an error if the rule is invalid.
func (r *Rule) check() error {
	if _, err := r.parseVerbs(); err != nil {
		return err
	}
	for _, pattern := range []string{r.Team, r.Class} {
		if pattern == "" || len(pattern) > maxTextBytes {
			return fmt.Errorf("team and class need a pattern of 1 to %d characters; \"*\" means any", maxTextBytes)
		}
		if _, err := path.Match(pattern, ""); err != nil {
			return fmt.Errorf("%q is no pattern", truncate(pattern))
		}
	}
	return nil
}

func checkName(name string) error {
	if name == "" || len(name) > maxTextBytes {
		return fmt.Errorf("a name has 1 to %d characters", maxTextBytes)
	}
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-') {
			return errors.New("a name holds letters, digits and . _ - only")
		}
	}
	return nil
}

// parseVerbs returns the verbs that a rule allows.
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

// verbSet returns the verbs of a rule that has passed check, so that parsing them can't fail.
func (r *Rule) verbSet() Verb {
	set, _ := r.parseVerbs()
	return set
}

// matches reports whether the rule's patterns match a queue.
func (r *Rule) matches(queue Queue) bool {
	team, _ := path.Match(r.Team, queue.Team)
	class, _ := path.Match(r.Class, queue.Class)
	return team && class
}

// matchesAll reports whether the rule has "*" for both team and class, and so applies to every queue.
func (r *Rule) matchesAll() bool { return r.Team == "*" && r.Class == "*" }

// Check returns an error if the identity is invalid. It does not check that its roles exist.
func (id *Identity) Check() error {
	name, err := identity.ParseName(id.Name)
	if err != nil {
		return err
	}
	if !name.IsCaller() {
		return fmt.Errorf("%s: a policy is about persons and services; a %s has the rights of its kind", id.Name, name.Kind)
	}
	if len(id.Roles) > maxRolesPerIdentity {
		return fmt.Errorf("%s: more than %d roles", id.Name, maxRolesPerIdentity)
	}
	for i, r := range id.Roles {
		if err := checkName(r); err != nil {
			return fmt.Errorf("%s: role %q: %w", id.Name, truncate(r), err)
		}
		if slices.Contains(id.Roles[:i], r) {
			return fmt.Errorf("%s: role %s is named twice", id.Name, r)
		}
	}
	return nil
}
