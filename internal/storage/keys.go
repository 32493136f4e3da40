package storage

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and their prefixes. The keys that all controllers watch are under WatchPrefix, so that each
// needs a single watch. Keys that only a partition's leader and its replicas read have other
// prefixes.
const (
	WatchPrefix = "w/"
	leasePrefix = "w/c/"
	// The key of a token record precedes those of machine records, so that a listing never
	// holds a token record that is newer than its machine records (rule 55).
	tokenPrefix   = "w/f/"
	machinePrefix = "w/m/"
	// JobsPrefix is the prefix of the records of all jobs.
	JobsPrefix        = "w/j/"
	incarnationPrefix = "w/l/"
	runPrefix         = "r/"
	// LeadershipKey is the key of the cluster leader's lease.
	LeadershipKey = leasePrefix + "leader"
	// CatalogKey is the key of the record of available machine types.
	CatalogKey = "w/catalog"

	policyPrefix = "w/a/"
	// PolicyHeadKey is the key of the record that is written with every change of the policy.
	PolicyHeadKey  = policyPrefix + "head"
	rolePrefix     = policyPrefix + "role/"
	identityPrefix = policyPrefix + "id/"

	jobRecord   = "spec"
	finalRecord = "final"
)

// RecordKind is the kind of record that a watched key holds.
type RecordKind int

// The kinds of watched keys.
const (
	KindOther RecordKind = iota
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
	KindToken
)

// LeaseKey returns the key of a partition's lease.
func LeaseKey(partition int) string { return leasePrefix + strconv.Itoa(partition) }

// TokenKey returns the key of a partition's token record.
func TokenKey(partition int) string { return tokenPrefix + strconv.Itoa(partition) }

// MachineKey returns the key of a machine's assignment record.
func MachineKey(name string) string { return machinePrefix + name }

// IncarnationKey returns the key of the record of a controller's present incarnation.
func IncarnationKey(label string) string { return incarnationPrefix + label }

// JobPrefix returns the prefix of a job's specification and final record.
func JobPrefix(id string) string { return JobsPrefix + id + "/" }

// JobKey returns the key of an accepted job's specification.
func JobKey(id string) string { return JobPrefix(id) + jobRecord }

// FinalKey returns the key of a job's final record. Completion and cancellation write the same key,
// so that only one of them can succeed.
func FinalKey(id string) string { return JobPrefix(id) + finalRecord }

// RoleKey returns the key of a policy role.
func RoleKey(name string) string { return rolePrefix + name }

// IdentityKey returns the key of a policy identity.
func IdentityKey(name string) string { return identityPrefix + name }

// RunPrefix returns the prefix of a partition's run records.
func RunPrefix(partition int) string { return runPrefix + strconv.Itoa(partition) + "/" }

// RunKey returns the key of one chunk of a job's run record.
func RunKey(partition int, id string, chunk int) string {
	return RunPrefix(partition) + id + "/" + strconv.Itoa(chunk)
}

// ParseKey returns the kind of a watched key, and the name or partition in it, if any.
func ParseKey(key string) (RecordKind, string) {
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
	case strings.HasPrefix(key, incarnationPrefix):
		return KindIncarnation, key[len(incarnationPrefix):]
	case strings.HasPrefix(key, leasePrefix):
		return KindLease, key[len(leasePrefix):]
	case strings.HasPrefix(key, tokenPrefix):
		return KindToken, key[len(tokenPrefix):]
	case strings.HasPrefix(key, machinePrefix):
		return KindMachine, key[len(machinePrefix):]
	case strings.HasPrefix(key, JobsPrefix):
		return parseJobKey(key[len(JobsPrefix):])
	}
	return KindOther, ""
}

// parseJobKey returns the kind and the job of a key, given the part after JobsPrefix.
func parseJobKey(rest string) (RecordKind, string) {
	id, record, _ := strings.Cut(rest, "/")
	switch record {
	case jobRecord:
		return KindJob, id
	case finalRecord:
		return KindFinal, id
	}
	return KindOther, ""
}

// runKeyFields is the number of fields in the key of a run record: prefix, partition, job and chunk.
const runKeyFields = 4

// ParseRunKey returns the job and the chunk in the key of a run record.
func ParseRunKey(key string) (id string, chunk int, err error) {
	fields := strings.Split(key, "/")
	if len(fields) != runKeyFields {
		return "", 0, fmt.Errorf("storage: invalid run record key %q", key)
	}
	chunk, err = strconv.Atoi(fields[3])
	return fields[2], chunk, err
}
