package rights

import (
	"fmt"
	"strings"
)

// Verb is something that a rule may allow; several form a set.
type Verb uint8

// The verbs.
const (
	Submit Verb = 1 << iota
	View
	ViewArguments
	// Cancel is to cancel jobs.
	Cancel
	Reassign
	// Administer is to cancel all jobs of somebody in a queue; on every queue, it is also to
	// change the policy and to read the audit.
	Administer
	// Vouch lets a service act on behalf of a caller whose certificate it has checked
	// itself. It adds no right to those that the caller has.
	Vouch
)

// verbNames are the names that rules use, in the order in which String lists them.
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
	{"vouch", Vouch},
}

// String lists the names of a set's verbs.
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
	return 0, fmt.Errorf("%q is no verb: submit, view, view-arguments, withdraw, reassign, administer or vouch", clip(name))
}
