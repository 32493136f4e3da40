package storage

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and their prefixes. Everything that every controller follows lies under WatchPrefix, so
// that one watch serves; what only the leader of a partition reads lies elsewhere.
const (
	WatchPrefix       = "w/"
	leasePrefix       = "w/c/"
	machinePrefix     = "w/m/"
	jobPrefix         = "w/j/"
	incarnationPrefix = "w/l/"
	runPrefix         = "r/"
	// LeadershipKey names the lease of the cluster leader.
	LeadershipKey = leasePrefix + "leader"
	// CatalogKey names the record of the machine types on offer.
	CatalogKey = "w/catalog"

	policyPrefix = "w/a/"
	// PolicyHeadKey names the record that is written with every change of the policy.
	PolicyHeadKey  = policyPrefix + "head"
	rolePrefix     = policyPrefix + "role/"
	identityPrefix = policyPrefix + "id/"

	jobRecord   = "spec"
	finalRecord = "final"
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

// LeaseKey names the lease of a partition.
func LeaseKey(partition int) string { return leasePrefix + strconv.Itoa(partition) }

// MachineKey names the assignment record of a machine.
func MachineKey(name string) string { return machinePrefix + name }

// IncarnationKey names the record of a controller's present incarnation.
func IncarnationKey(label string) string { return incarnationPrefix + label }

// JobPrefix holds both records of a job.
func JobPrefix(id string) string { return jobPrefix + id + "/" }

// JobKey names the record of an accepted job.
func JobKey(id string) string { return JobPrefix(id) + jobRecord }

// FinalKey names the record that makes a job done or cancelled. There is one for both, so that
// each excludes the other.
func FinalKey(id string) string { return JobPrefix(id) + finalRecord }

// RoleKey names the record of a role of the policy.
func RoleKey(name string) string { return rolePrefix + name }

// IdentityKey names the record of an identity of the policy.
func IdentityKey(name string) string { return identityPrefix + name }

// RunPrefix holds the run records of a partition.
func RunPrefix(partition int) string { return runPrefix + strconv.Itoa(partition) + "/" }

// RunKey names one chunk of a job's run record.
func RunKey(partition int, id string, chunk int) string {
	return RunPrefix(partition) + id + "/" + strconv.Itoa(chunk)
}

// ParseKey tells what a watched key holds, and the name or partition that it is about.
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
	case strings.HasPrefix(key, incarnationPrefix):
		return KindIncarnation, key[len(incarnationPrefix):]
	case strings.HasPrefix(key, leasePrefix):
		return KindLease, key[len(leasePrefix):]
	case strings.HasPrefix(key, machinePrefix):
		return KindMachine, key[len(machinePrefix):]
	case strings.HasPrefix(key, jobPrefix):
		return parseJobKey(key[len(jobPrefix):])
	}
	return KindOther, ""
}

// parseJobKey tells what a key holds that follows jobPrefix.
func parseJobKey(rest string) (Kind, string) {
	id, record, _ := strings.Cut(rest, "/")
	switch record {
	case jobRecord:
		return KindJob, id
	case finalRecord:
		return KindFinal, id
	}
	return KindOther, ""
}

// runKeyFields is how many fields the key of a run record has: prefix, partition, job and chunk.
const runKeyFields = 4

// ParseRunKey splits the key of a run record.
func ParseRunKey(key string) (id string, chunk int, err error) {
	fields := strings.Split(key, "/")
	if len(fields) != runKeyFields {
		return "", 0, fmt.Errorf("storage: run key %q", key)
	}
	chunk, err = strconv.Atoi(fields[3])
	return fields[2], chunk, err
}
