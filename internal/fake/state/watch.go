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

// record adds an event to the history and drops old ones, many at a time.
func (s *Service) record(event protocol.Event) {
	s.history = append(s.history, event)
	if over := len(s.history) - keptEvents; over > keptEvents/10 {
		s.dropped = s.history[over-1].Version
		s.history = slices.Delete(s.history, 0, over)
	}
}

// notifyWatches wakes the waiting watches.
func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch waits for events under a prefix after a revision. It is called and returns with
// the lock held, and releases it while it waits.
func (s *Service) watch(ctx context.Context, client string, query url.Values) *transport.Response {
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return malformed("after is missing")
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		if !s.Unavailable && !s.WatchesStuck && !s.RefusedClients[client] {
			s.expire()
			if after < s.dropped {
				return answer(http.StatusGone, compacted{s.Revision})
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
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
		s.lock.Lock()
		if ctx.Err() != nil {
			return answer(http.StatusServiceUnavailable, emptyBody{})
		}
	}
}

// eventsAfter returns the events under a prefix after a revision.
func (s *Service) eventsAfter(revision uint64, prefix string) []protocol.Event {
	// The history is in the order of revisions.
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

// compacted is the response to a watch after a revision whose events are dropped.
type compacted struct {
	Revision uint64 `msgpack:"epoch"`
}

// encodeEvents encodes events with the fields of their kind only: a put has its value,
// even an empty one, and a deletion has none.
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
	news := []any{}
	for _, event := range events {
		if event.Delete != "" {
			news = append(news, deletion{event.Delete, event.Version})
		} else {
			news = append(news, put{event.Put, event.Version, event.Value})
		}
	}
	return protocol.Encode(struct {
		Revision uint64 `msgpack:"epoch"`
		News     []any  `msgpack:"news"`
	}{revision, news})
}
