package scenario

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
)

// The log lines of controllers about the leadership of partitions. Each message has a former form
// with the key "part", which is read too, so that logs of the version in production can be compared
// with those of the present one.
var (
	leadershipLine = regexp.MustCompile(`^\s*([0-9.]+) (\S+) .*msg="(?:(part claimed|part ready|part lost)" part|(partition lease acquired|partition ready|partition lost)" partition)=(\d+)(?: .*)?$`)
	liveAttempts   = regexp.MustCompile(` live=(\d+)`)
)

// leadershipEvent is a change in the leadership of a partition.
type leadershipEvent int

const (
	leaseAcquired leadershipEvent = iota + 1
	partitionReady
	partitionLost
)

var leadershipEvents = map[string]leadershipEvent{
	"part claimed": leaseAcquired, "partition lease acquired": leaseAcquired,
	"part ready": partitionReady, "partition ready": partitionReady,
	"part lost": partitionLost, "partition lost": partitionLost,
}

// leadershipEntry is a log line about the leadership of a partition.
type leadershipEntry struct {
	at         float64 // seconds since the log began
	controller string
	partition  string
	event      leadershipEvent
	// hasRunningWork is set if the new leader found running task attempts.
	hasRunningWork bool
}

// parseLeadership parses a log line; ok is false for lines about anything else.
func parseLeadership(line string) (entry leadershipEntry, ok bool, err error) {
	match := leadershipLine.FindStringSubmatch(line)
	if match == nil {
		return entry, false, nil
	}
	at, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		return entry, false, fmt.Errorf("log: %w", err)
	}
	live := liveAttempts.FindStringSubmatch(line)
	return leadershipEntry{at: at, controller: match[2], partition: match[5], event: leadershipEvents[match[3]+match[4]],
		hasRunningWork: live != nil && live[1] != "0"}, true, nil
}

// leadership is the leadership of a partition as derived from the log.
type leadership struct {
	leader string
	// vacantSince is the time at which the partition lost its leader; negative while it has one.
	vacantSince float64
	// readyAt is the time at which a leader last became ready.
	readyAt float64
}

// apply updates the leadership with a log entry. If the entry ends a period without a leader in which
// work was running, it returns the length of that period in seconds.
func (l *leadership) apply(entry leadershipEntry, crashes map[string][]float64) (vacant float64) {
	switch entry.event {
	case partitionLost:
		if entry.controller == l.leader && l.vacantSince < 0 {
			l.vacantSince = entry.at
		}
	case leaseAcquired:
		if l.vacantSince < 0 {
			l.vacantSince = entry.at
			for _, crash := range crashes[l.leader] {
				if crash > l.readyAt && crash < entry.at {
					l.vacantSince = crash
					break
				}
			}
		}
	case partitionReady:
		if l.leader != "" && l.vacantSince >= 0 && entry.hasRunningWork {
			vacant = entry.at - l.vacantSince
		}
		l.leader, l.vacantSince, l.readyAt = entry.controller, -1, entry.at
	}
	return vacant
}

// leaderlessSeconds returns the total time, over all partitions, from the end of a leader (its crash
// or the loss of its lease) until the next leader is ready. A period counts only if the next leader
// found running work. A leader that is frozen or cut off logs nothing; its period begins when the
// next leader acquires the lease.
func leaderlessSeconds(log io.Reader, crashes map[string][]float64) (float64, error) {
	partitions := map[string]*leadership{}
	sum := 0.0
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	for lines.Scan() {
		entry, ok, err := parseLeadership(lines.Text())
		if err != nil {
			return 0, err
		}
		if !ok {
			continue
		}
		partition := partitions[entry.partition]
		if partition == nil {
			partition = &leadership{vacantSince: -1}
			partitions[entry.partition] = partition
		}
		sum += partition.apply(entry, crashes)
	}
	return sum, lines.Err()
}
