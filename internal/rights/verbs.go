package rights

import (
	"fmt"
	"strings"
)

// Verb is an operation that a rule can allow, or a set of operations as a bit mask.
type Verb uint8

// The verbs.
const (
	Submit Verb = 1 << iota
	View
	ViewArguments
	// Cancel permits cancelling any job of a queue. It is called withdraw in rules.
	Cancel
	Reassign
	// Administer permits cancelling all jobs that an identity submitted to a queue. If it is
	// held on every queue, it also permits changing the policy and reading the audit log.
	Administer
	// ActOnBehalf permits a service to act on behalf of a caller that it has authenticated by
	// certificate. It permits nothing beyond the caller's own permissions.
	ActOnBehalf
)

// verbNames are the names of verbs in rules, in the order in which String lists them.
var verbNames = []struct {
	name string
	verb Verb
}{
	{"submit", Submit},
	{"view", View},
	{"view-arguments", ViewArguments},
	{"withdraw", Cancel},
	{"reassign", Reassign},
	{"administer", Administer},
	{"vouch", ActOnBehalf},
}

// String returns the names of the verbs in the set, separated by commas.
func (v Verb) String() string {
	var names []string
	for _, known := range verbNames {
		if v&known.verb != 0 {
			names = append(names, known.name)
		}
	}
	return strings.Join(names, ",")
}

// ParseVerb returns the verb with a name.
func ParseVerb(name string) (Verb, error) {
	for _, known := range verbNames {
		if known.name == name {
			return known.verb, nil
		}
	}
	return 0, fmt.Errorf("%q is no verb: submit, view, view-arguments, withdraw, reassign, administer or vouch", truncate(name))
}
