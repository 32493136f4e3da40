package policyfile

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"micaspindle/internal/rights"
)

// step puts or drops one record. Exactly one field is set.
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

// Plan returns the changes that turn one policy into another. Each change has at most size records
// and results in a valid policy. Revoked tokens stay revoked.
func Plan(from, to *rights.Document, size int) ([]rights.Change, error) {
	remaining := steps(from, to)
	if !rights.Compile(from).HasAdministrator() {
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

// nextChange returns a change with the first steps or, if the resulting policy would be invalid, with
// those steps that are possible now. It also returns the resulting policy and the remaining steps.
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

// possibleChange returns a change with the steps that are possible now. If no step is possible, it
// returns the error of the last step that it tried; if it tried none, it returns err.
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

// administratorFirst moves an administrator and its roles to the front, since the first change of an
// empty policy must add an administrator. It picks the administrator with the fewest roles.
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

// steps returns the steps from one policy to another: roles to put, identities to put, identities to
// drop and roles to drop, in this order.
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
	// Sorts by descending key. Identities come first, since their keys begin with a letter and
	// those of roles with a slash.
	key := func(s step) string { return s.dropIdentity + "/" + s.dropRole }
	slices.SortFunc(drops, func(a, b step) int { return strings.Compare(key(b), key(a)) })
	return slices.Concat(puts, morePuts, drops)
}

// rolesToPut returns the steps for new and changed roles, and the roles that are in the policy from
// but not in to.
func rolesToPut(from, to *rights.Document) (puts []step, onlyInFrom map[string]rights.Role) {
	onlyInFrom = map[string]rights.Role{}
	for _, role := range from.Roles {
		onlyInFrom[role.Name] = role
	}
	for i := range to.Roles {
		role := &to.Roles[i]
		if before, ok := onlyInFrom[role.Name]; !ok || !reflect.DeepEqual(before, *role) {
			puts = append(puts, step{putRole: role})
		}
		delete(onlyInFrom, role.Name)
	}
	return puts, onlyInFrom
}

// identitiesToPut returns the steps for new and changed identities, and the identities that are in
// the policy from but not in to. Policy files don't contain TokensRevokedBeforeMS, so its value in
// from is kept.
func identitiesToPut(from, to *rights.Document) (puts []step, onlyInFrom map[string]rights.Identity) {
	onlyInFrom = map[string]rights.Identity{}
	for _, id := range from.Identities {
		onlyInFrom[id.Name] = id
	}
	for i := range to.Identities {
		id := to.Identities[i]
		before, ok := onlyInFrom[id.Name]
		id.TokensRevokedBeforeMS = before.TokensRevokedBeforeMS
		if !ok || before.Revoked != id.Revoked || !slices.Equal(before.Roles, id.Roles) {
			puts = append(puts, step{putIdentity: &id})
		}
		delete(onlyInFrom, id.Name)
	}
	return puts, onlyInFrom
}
