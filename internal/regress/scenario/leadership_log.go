package scenario

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
)

// A controller logs these events of a partition's leadership. Each message has a
// former form, with the key part: logs of the version in production are compared with those of
// this one, so both are read.
var (
	leadershipLine = regexp.MustCompile(`^\s*([0-9.]+) (\S+) .*msg="(?:(part claimed|part ready|part lost)" part|(partition lease acquired|partition ready|partition lost)" partition)=(\d+)(?: .*)?$`)
	liveAttempts   = regexp.MustCompile(` live=(\d+)`)
)

// leadershipEvent is what happened to the leadership of a partition.
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

// leadershipEntry is one line of the log about the leadership of a partition.
type leadershipEntry struct {
	at         float64 // seconds since the log began
	controller string
	partition  string
	event      leadershipEvent
	// hasLive: the event says that the new leader found running work.
	hasLive bool
}

// parseLeadership reads a line of the log; ok is false if it is about something else.
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
		hasLive: live != nil && live[1] != "0"}, true, nil
}

// leadership is who leads a partition, as far as the log tells.
type leadership struct {
	leader string
	// vacantSince is when it lost its leader; below 0: it has one.
	vacantSince float64
	// readyAt is when the leader was last ready.
	readyAt float64
}

// apply takes in what happened, and returns for how many seconds running work had no leader if that
// has ended with it.
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
		if l.leader != "" && l.vacantSince >= 0 && entry.hasLive {
			vacant = entry.at - l.vacantSince
		}
		l.leader, l.vacantSince, l.readyAt = entry.controller, -1, entry.at
	}
	return vacant
}

// leaderlessSeconds adds up, over the partitions, the seconds from the end of a leader (its crash, or its
// loss of the lease) until the next one is ready. It counts only where that one found running
// work. A leader that stands still or is cut off says nothing; then it is the time that its
// successor took from the moment it acquired the lease.
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
