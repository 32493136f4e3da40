package policyfile

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"micaspindle/internal/rights"
)

// step is one record to put or drop; only one of its fields is set.
type step struct {
	putRole      *rights.Role
	putIdentity  *rights.Identity
	dropRole     string
	dropIdentity string
}

// addTo adds the step to a change.
func (s step) addTo(change *rights.Change) {
	switch {
	case s.putRole != nil:
		change.PutRoles = append(change.PutRoles, *s.putRole)
	case s.putIdentity != nil:
		change.PutIdentities = append(change.PutIdentities, *s.putIdentity)
	case s.dropRole != "":
		change.DropRoles = append(change.DropRoles, s.dropRole)
	default:
		change.DropIdentities = append(change.DropIdentities, s.dropIdentity)
	}
}

// Plan works out the changes from one policy to another, each of at most size
// records and each leaving a policy that is valid. Tokens that were voided stay so.
func Plan(from, to *rights.Document, size int) ([]rights.Change, error) {
	remaining := steps(from, to)
	if !rights.Compile(from).Administered() {
		remaining = administratorFirst(remaining, to)
	}
	var plan []rights.Change
	current := from
	for len(remaining) > 0 {
		change, next, rest, err := nextChange(current, remaining, size)
		if err != nil {
			return nil, err
		}
		plan, current, remaining = append(plan, change), next, rest
	}
	return plan, nil
}

// nextChange makes a change of the first steps, or if the policy would not be valid with
// these, of the steps that can be made now. It returns the policy after it and the steps
// that remain.
func nextChange(current *rights.Document, remaining []step, size int) (change rights.Change, next *rights.Document, rest []step, err error) {
	count := min(size, len(remaining))
	for _, s := range remaining[:count] {
		s.addTo(&change)
	}
	if next, err = rights.Apply(current, &change); err == nil {
		return change, next, remaining[count:], nil
	}
	return possibleChange(current, remaining, size, err)
}

// possibleChange makes a change of those steps that can be made now. If there are none, it
// returns why the last one can't be, or err if there was no step to try.
func possibleChange(current *rights.Document, remaining []step, size int, err error) (change rights.Change, next *rights.Document, rest []step, _ error) {
	for i, s := range remaining {
		if change.Size() == size {
			rest = append(rest, remaining[i:]...)
			break
		}
		larger := clone(&change)
		s.addTo(&larger)
		after, applyErr := rights.Apply(current, &larger)
		if applyErr != nil {
			err = applyErr
			rest = append(rest, s)
			continue
		}
		change, next = larger, after
	}
	if next == nil {
		return rights.Change{}, nil, nil, err
	}
	return change, next, rest, nil
}

func clone(change *rights.Change) rights.Change {
	return rights.Change{
		PutRoles:       slices.Clone(change.PutRoles),
		DropRoles:      slices.Clone(change.DropRoles),
		PutIdentities:  slices.Clone(change.PutIdentities),
		DropIdentities: slices.Clone(change.DropIdentities),
	}
}

// administratorFirst puts an administrator and the roles it needs in front: the
// first change of a policy must leave one. It takes the one with the fewest roles.
func administratorFirst(remaining []step, to *rights.Document) []step {
	policy := rights.Compile(to)
	var first *rights.Identity
	for i := range to.Identities {
		id := &to.Identities[i]
		if policy.AllowsEverywhere(id.Name, rights.Administer) && (first == nil || len(id.Roles) < len(first.Roles)) {
			first = id
		}
	}
	if first == nil {
		return remaining
	}
	rank := func(s step) int {
		if s.putRole != nil && slices.Contains(first.Roles, s.putRole.Name) || s.putIdentity != nil && s.putIdentity.Name == first.Name {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(remaining, func(a, b step) int { return cmp.Compare(rank(a), rank(b)) })
	return remaining
}

// steps lists what differs: roles first, then identities, then what is dropped, identities
// before roles.
func steps(from, to *rights.Document) []step {
	puts, roles := rolesToPut(from, to)
	morePuts, identities := identitiesToPut(from, to)
	var drops []step
	for name := range identities {
		drops = append(drops, step{dropIdentity: name})
	}
	for name := range roles {
		drops = append(drops, step{dropRole: name})
	}
	// An identity's key begins with a letter and a role's with a slash, which is before it.
	key := func(s step) string { return s.dropIdentity + "/" + s.dropRole }
	slices.SortFunc(drops, func(a, b step) int { return strings.Compare(key(b), key(a)) })
	return slices.Concat(puts, morePuts, drops)
}

// rolesToPut lists the roles that differ, and returns those that are only in from.
func rolesToPut(from, to *rights.Document) (puts []step, left map[string]rights.Role) {
	left = map[string]rights.Role{}
	for _, role := range from.Roles {
		left[role.Name] = role
	}
	for i := range to.Roles {
		role := &to.Roles[i]
		if before, ok := left[role.Name]; !ok || !reflect.DeepEqual(before, *role) {
			puts = append(puts, step{putRole: role})
		}
		delete(left, role.Name)
	}
	return puts, left
}

// identitiesToPut lists the identities that differ, and returns those that are only in from.
// Files do not have the time before which tokens are void, so it stays as it is.
func identitiesToPut(from, to *rights.Document) (puts []step, left map[string]rights.Identity) {
	left = map[string]rights.Identity{}
	for _, id := range from.Identities {
		left[id.Name] = id
	}
	for i := range to.Identities {
		id := to.Identities[i]
		before, ok := left[id.Name]
		id.TokensFromMS = before.TokensFromMS
		if !ok || before.Revoked != id.Revoked || !slices.Equal(before.Roles, id.Roles) {
			puts = append(puts, step{putIdentity: &id})
		}
		delete(left, id.Name)
	}
	return puts, left
}
