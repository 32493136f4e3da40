package storage

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"micaspindle/internal/protocol"
)

// Keys. Everything that every controller follows lies under one prefix, so
// that one watch serves; what only the owner of a part reads lies elsewhere.
const (
	WatchPrefix   = "w/"
	claimPrefix   = "w/c/"
	machinePrefix = "w/m/"
	jobPrefix     = "w/j/"
	lifePrefix    = "w/l/"
	runPrefix     = "r/"
	LeadershipKey = claimPrefix + "leader"
	CatalogKey    = "w/catalog"

	policyPrefix   = "w/a/"
	PolicyHeadKey  = policyPrefix + "head"
	rolePrefix     = policyPrefix + "role/"
	identityPrefix = policyPrefix + "id/"
)

// Kind says what a watched key holds.
type Kind int

// The kinds of watched keys.
const (
	KindOther Kind = iota
	KindLease
	KindLeadership
	KindMachine
	KindJob
	KindFinal
	KindCatalog
	KindPolicyHead
	KindRole
	KindIdentity
	KindIncarnation
)

// LeaseKey names the claim of a part.
func LeaseKey(part int) string { return claimPrefix + strconv.Itoa(part) }

// MachineKey names the assignment record of a machine.
func MachineKey(name string) string { return machinePrefix + name }

// IncarnationKey names the record of a controller's present life.
func IncarnationKey(label string) string { return lifePrefix + label }

// JobPrefix holds both records of a job.
func JobPrefix(id string) string { return jobPrefix + id + "/" }

// JobKey names the record of an accepted job.
func JobKey(id string) string { return JobPrefix(id) + "spec" }

// FinalKey names the record that makes a job done or withdrawn. There is one
// for both, so that each excludes the other.
func FinalKey(id string) string { return JobPrefix(id) + "final" }

// RoleKey names the record of a role of the policy.
func RoleKey(name string) string { return rolePrefix + name }

// IdentityKey names the record of an identity of the policy.
func IdentityKey(name string) string { return identityPrefix + name }

// RunPrefix holds the run records of a part.
func RunPrefix(part int) string { return runPrefix + strconv.Itoa(part) + "/" }

// RunKey names one chunk of a job's run record.
func RunKey(part int, id string, chunk int) string {
	return RunPrefix(part) + id + "/" + strconv.Itoa(chunk)
}

// ParseKey tells what a watched key holds and its name or part.
func ParseKey(key string) (Kind, string) {
	switch {
	case key == LeadershipKey:
		return KindLeadership, ""
	case key == CatalogKey:
		return KindCatalog, ""
	case key == PolicyHeadKey:
		return KindPolicyHead, ""
	case strings.HasPrefix(key, rolePrefix):
		return KindRole, key[len(rolePrefix):]
	case strings.HasPrefix(key, identityPrefix):
		return KindIdentity, key[len(identityPrefix):]
	case strings.HasPrefix(key, lifePrefix):
		return KindIncarnation, key[len(lifePrefix):]
	case strings.HasPrefix(key, claimPrefix):
		return KindLease, key[len(claimPrefix):]
	case strings.HasPrefix(key, machinePrefix):
		return KindMachine, key[len(machinePrefix):]
	case strings.HasPrefix(key, jobPrefix):
		id, what, _ := strings.Cut(key[len(jobPrefix):], "/")
		switch what {
		case "spec":
			return KindJob, id
		case "final":
			return KindFinal, id
		}
	}
	return KindOther, ""
}

// ParseRunKey splits the key of a run record.
func ParseRunKey(key string) (id string, chunk int, err error) {
	fields := strings.Split(key, "/")
	if len(fields) != 4 {
		return "", 0, fmt.Errorf("bookkeeping: run key %q", key)
	}
	chunk, err = strconv.Atoi(fields[3])
	return fields[2], chunk, err
}

// Incarnation says which process a controller is now, and on which lease its claims hang. The
// key stays, so that its stamps order a controller's lives.
type Incarnation struct {
	Nonce string `msgpack:"n"`
	Lease uint64 `msgpack:"l"`
	// Released are claims that this life gave up by itself, after it had stopped acting
	// under them; the last few.
	Released []ReleasedLease `msgpack:"r,omitempty"`
}

// ReleasedLease names a claim that was given up, by its revision.
type ReleasedLease struct {
	Partition     int    `msgpack:"p"`
	LeaseRevision uint64 `msgpack:"c"`
}

// Lease says who owns a part or leads.
type Lease struct {
	Holder string `msgpack:"o"`
	// Nonce differs with each start of the process, so that a restarted
	// controller does not take its former life's claim for its own.
	Nonce string `msgpack:"n"`
}

// Machine is the assignment record of a machine.
type Machine struct {
	Partition int    `msgpack:"p"`
	Addr      string `msgpack:"a"`
	Type      string `msgpack:"t"`
	Zone      string `msgpack:"z"`
	Spot      bool   `msgpack:"s"`
	// CreatedMS is the wall clock of the rental, 0 for adopted machines.
	CreatedMS int64 `msgpack:"r"`
}

// Final makes a job done or withdrawn.
type Final struct {
	Status string `msgpack:"s"`
	AtMS   int64  `msgpack:"at"`
	// Successor is the job that a reassigned one became.
	Successor string `msgpack:"sc,omitempty"`
}

// PolicyHead is written with every change of the policy; its stamp orders them.
type PolicyHead struct {
	Version uint64 `msgpack:"v"`
}

// ChunkTasks is how many tasks share one run record, so that a record stays
// within the size of a value.
const ChunkTasks = 64

// RunRecord is one chunk of a job's run record.
type RunRecord struct {
	// Done holds ranges of done tasks, both ends included.
	Done [][2]int `msgpack:"d"`
	// Live holds the attempts that are not proven over.
	Live []Attempt `msgpack:"l"`
	// Last is the highest attempt number used in the chunk.
	Last uint64 `msgpack:"n"`
}

// Attempt is a recorded attempt of a task on a machine's session.
type Attempt struct {
	//lint:ignore U1000 tells the encoder to write a list
	_msgpack struct{} `msgpack:",as_array"`
	Task     int
	Number   uint64
	Machine  string
	Epoch    uint64
}

// Size bounds the size of a run record in the form in which the state service
// counts it, JSON. It is the sum of the sizes of its parts, so that it can be
// worked out without making the record.
func (r *RunRecord) Size() int {
	size := RunBaseSize
	for range r.Done {
		size += DoneRangeSize
	}
	for i := range r.Live {
		a := &r.Live[i]
		size += AttemptSize(a.Number, a.Machine, a.Epoch)
	}
	return size
}

const (
	// RunBaseSize is what a run record takes without tasks: {"d": [], "l": [],
	// "n": 18446744073709551615}.
	RunBaseSize = 48
	// DoneRangeSize is what a range of done tasks takes: [99999, 99999] and a comma.
	DoneRangeSize = 16
)

// AttemptSize bounds what a live attempt takes of a run record: [99999,
// NUMBER, "MACHINE", SESSION] and a comma.
func AttemptSize(number uint64, machine string, session uint64) int {
	size := 17 + digits(number) + digits(session) + len(machine)
	for i := range len(machine) {
		if c := machine[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' || c == ':' || c == ',' {
			size += 5 // an escape
		}
	}
	return size
}

func digits(n uint64) int {
	d := 1
	for ; n >= 10; n /= 10 {
		d++
	}
	return d
}

// Encode encodes a record.
func Encode(v any) msgpack.RawMessage { return protocol.Encode(v) }

// Decode decodes a record.
func Decode(raw msgpack.RawMessage, v any) error {
	if err := protocol.Decode(raw, v); err != nil {
		return fmt.Errorf("bookkeeping: record: %w", err)
	}
	return nil
}
