package state

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// appendEvent appends an event to the history. It drops the oldest events in batches, so
// that the cost per event stays small.
func (s *Service) appendEvent(event protocol.Event) {
	s.history = append(s.history, event)
	if excess := len(s.history) - minKeptEvents; excess > minKeptEvents/10 {
		s.compactedRevision = s.history[excess-1].Version
		s.history = slices.Delete(s.history, 0, excess)
	}
}

// notifyWatches wakes all waiting watches.
func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch waits until there are events under a prefix after a revision, or the wait time is
// over. The caller holds the lock; watch releases it while it waits.
func (s *Service) watch(ctx context.Context, client string, query url.Values) *transport.Response {
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return badRequest("after is missing")
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(min(maxWatchWait, time.Duration(wait)*time.Millisecond))
	for {
		if !s.Unavailable && !s.WatchesStuck && !s.RefusedClients[client] {
			s.expireLeases()
			if after < s.compactedRevision {
				return newResponse(http.StatusGone, compacted{s.Revision})
			}
			events := s.eventsAfter(after, query.Get("under"))
			if len(events) > 0 || !time.Now().Before(deadline) {
				return &transport.Response{Status: http.StatusOK, Body: encodeEvents(s.Revision, events)}
			}
		}
		changed := s.changed
		s.lock.Unlock()
		select {
		case <-changed:
		case <-time.After(outagePollInterval):
		case <-ctx.Done():
		}
		s.lock.Lock()
		if ctx.Err() != nil {
			return newResponse(http.StatusServiceUnavailable, emptyBody{})
		}
	}
}

// eventsAfter returns the events under a prefix after a revision.
func (s *Service) eventsAfter(revision uint64, prefix string) []protocol.Event {
	// The history is sorted by revision.
	from, _ := slices.BinarySearchFunc(s.history, revision+1, func(event protocol.Event, revision uint64) int {
		return int(int64(event.Version) - int64(revision))
	})
	var events []protocol.Event
	for _, event := range s.history[from:] {
		if strings.HasPrefix(event.Put+event.Delete, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// compacted is the response to a watch from a revision whose events have been dropped.
type compacted struct {
	Revision uint64 `msgpack:"epoch"`
}

// encodeEvents encodes events with only the fields of their kind: a put always has a value,
// even if it is empty, and a deletion never has one.
func encodeEvents(revision uint64, events []protocol.Event) []byte {
	type put struct {
		Key     string             `msgpack:"put"`
		Version uint64             `msgpack:"stamp"`
		Value   msgpack.RawMessage `msgpack:"v"`
	}
	type deletion struct {
		Key     string `msgpack:"drop"`
		Version uint64 `msgpack:"stamp"`
	}
	encoded := []any{}
	for _, event := range events {
		if event.Delete != "" {
			encoded = append(encoded, deletion{event.Delete, event.Version})
		} else {
			encoded = append(encoded, put{event.Put, event.Version, event.Value})
		}
	}
	return protocol.Encode(struct {
		Revision uint64 `msgpack:"epoch"`
		Events   []any  `msgpack:"news"`
	}{revision, encoded})
}
