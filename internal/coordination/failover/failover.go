// Package failover decides, for whoever takes a part over: which controller does so
// first, when an owner counts as gone before its lease has run out, until when a former
// owner may have answered workers, whether a followed copy is whole and true, and what is
// still to be checked before the first decision. All of it is pure; it knows no record's
// meaning, no connection and no controller.
package failover

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a controller that could take a part over.
type Candidate struct {
	Label, Zone string
	// Machines are those that it carries, Parts the parts that it owns.
	Machines, Partitions int
}

// ChooseStandby names the standby of a part: in another zone than its owner, since zones fall
// as one, and there the one that carries least. Whoever knows the same names the same.
// Empty: there is nobody.
func ChooseStandby(owner, zone string, all []Candidate) string {
	all = slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Label == owner })
	if len(all) == 0 {
		return ""
	}
	near := func(c Candidate) int {
		if zone != "" && c.Zone == zone {
			return 1
		}
		return 0
	}
	return slices.MinFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Partitions, b.Partitions), cmp.Compare(a.Label, b.Label))
	}).Label
}

// Evidence is what speaks for an owner's being gone.
type Evidence struct {
	// Silent is how long it has told us nothing, Period how often it should.
	Silent, Interval time.Duration
	// Reporting is how many machines it last said report to it, Visitors how many of
	// those came to us since: their worker got no answer there.
	Reporting, Diverted int
}

const (
	// enough visitors show that it is not the one worker's trouble; of very few machines
	// two must do.
	enough = 3
	few    = 2
	// missed is how many times it must have been silent.
	missed = 2
)

// Dead says that an owner may be made to let go: neither controllers nor workers reach
// it, so that it is of no use as an owner, whether it has ended or not. Silence alone is
// not enough (connections between controllers may be refused alone), nor are visitors
// (a worker may lose its connection): each has been seen without the other.
func (e Evidence) Dead() bool {
	return e.Silent > missed*e.Interval+e.Interval/5 && e.Diverted >= max(few, min(enough, e.Reporting))
}

// FormerLeader is a controller's life that may have answered a part's workers: with one
// nonce a process begins and ends. Until is the latest moment at which it did, if
// nothing more is known of it.
type FormerLeader struct {
	Label, Nonce string
	// LeaseRevision is the revision of the claim under which it did.
	LeaseRevision uint64
	AnswersUntil  time.Time
}

// NoteReleased is what is known of former owners once one of them has said that it had
// stopped before it gave a claim up.
func NoteReleased(all []FormerLeader, label, nonce string, claim uint64, now time.Time) {
	for i := range all {
		if a := &all[i]; a.Label == label && a.Nonce == nonce && a.LeaseRevision == claim && a.AnswersUntil.After(now) {
			a.AnswersUntil = now
		}
	}
}

// AnsweredUntil is the latest moment at which any of them may have answered. ended
// tells when a life was proven to be over, by the record of a later life of the same
// label; zero: it was not.
func AnsweredUntil(all []FormerLeader, ended func(label, nonce string) time.Time) time.Time {
	last := time.Time{}
	for _, a := range all {
		until := a.AnswersUntil
		if over := ended(a.Label, a.Nonce); !over.IsZero() && over.Before(until) {
			until = over
		}
		if until.After(last) {
			last = until
		}
	}
	return last
}

// TakeoverCheck is what stands before a new owner's first decision.
type TakeoverCheck struct {
	// LeaseRevision is the revision of its claim, Newest that of the newest claim seen; Renewed
	// is how long ago its lease was certainly renewed, TTL how long that holds.
	LeaseRevision, NewestLease uint64
	SinceRenewal, TTL          time.Duration
	// RunRecords and Machines are the revisions up to which the part's records were read, by
	// answers asked for after the claim; Finals up to which ends of jobs were followed.
	RunRecords, MachineRecords, FinalStates uint64
	// Counted: quotas are added up from all live attempts.
	Counted bool
}

// Missing says what is not so yet; nothing: it may decide. What may change between this
// and a decision's write is a condition of the write as well (docs/design.md, 32 to 36).
func (c TakeoverCheck) Missing() []string {
	var out []string
	say := func(ok bool, what string) {
		if !ok {
			out = append(out, what)
		}
	}
	say(c.LeaseRevision != 0 && c.LeaseRevision == c.NewestLease, "the newest claim")
	say(c.SinceRenewal < c.TTL, "a fresh lease")
	say(c.RunRecords >= c.LeaseRevision, "run records up to the claim")
	say(c.MachineRecords >= c.LeaseRevision, "machine records up to the claim")
	say(c.FinalStates >= c.LeaseRevision, "ends of jobs up to the claim")
	say(c.Counted, "quotas from all live attempts")
	return out
}
