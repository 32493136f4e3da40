// Package state is a model of the state service of PROTOCOL: revisions,
// conditions, leases, watches and limits. It serves the tests' simulated world
// and, over HTTP, a cluster on loopback. It knows nothing of what the values
// mean, and it keeps them in memory only.
package state

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

const (
	maxPage    = 1000
	maxListing = 512 << 10
	maxWait    = time.Minute
	maxTTL     = 10 * time.Minute
	minTTL     = 100 * time.Millisecond
	maxBody    = 64 << 10
	keptEvents = 10_000
)

// Service is the state service. Whoever looks into its fields holds the lock.
type Service struct {
	lock sync.Locker

	Revision uint64
	Items    map[string]protocol.Item
	leases   map[uint64]*lease
	nextID   uint64
	history  []protocol.Event
	dropped  uint64 // the revision up to which changes are no longer kept
	changed  chan struct{}

	// What a transaction and a value may hold at the most.
	TxnOps  int
	ValueKB float64
	// Page is how many items a listing answers at the most; 0: 1,000.
	Page int
	// Requests and Writes bound requests and changes a second; nil: no bound.
	Requests, Writes *rate.Limiter

	// Out: an outage. Stuck: watches bring nothing.
	Out, Stuck bool
	// Refused are the clients that alone are refused; their open watches wait.
	Refused map[string]bool
	// Limits that nobody announced; 0: none.
	HiddenOps, HiddenValue int

	// What was done and refused so far.
	Changes, Served          int
	RefusedSize, RefusedRate int
	// Largest is the size of the largest value written, by the key's first name.
	Largest map[string]int

	// Oversized, if set, is told of what was over the limits.
	Oversized func(what string)
	// BeforePut, if set, sees each put before it is done, with what stands there.
	BeforePut func(c protocol.Change, old protocol.Item, exists bool)
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// New makes an empty service whose state the lock guards; a world of several
// models shares one lock, so that it can be looked at as of one moment.
func New(lock sync.Locker) *Service {
	return &Service{lock: lock, Items: map[string]protocol.Item{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), Largest: map[string]int{}}
}

func answer(status int, v any) *transport.Response {
	return &transport.Response{Status: status, Body: protocol.Encode(v)}
}

func malformed(reason string) *transport.Response {
	return answer(400, protocol.TransactionResult{Error: reason})
}

// Serve answers one request of a client.
func (s *Service) Serve(ctx context.Context, client, method, path string, q url.Values, body []byte) *transport.Response {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.Requests != nil && !s.Requests.Allow() {
		return answer(429, map[string]any{})
	}
	if path == "/changes" {
		return s.watch(ctx, client, q)
	}
	if s.Out || s.Refused[client] {
		return answer(503, map[string]any{})
	}
	s.expire()
	s.Served++
	switch {
	case path == "/commit":
		return s.commit(body)
	case path == "/grants":
		var lr protocol.LeaseRequest
		ttl := time.Duration(0)
		if protocol.Decode(body, &lr) == nil {
			ttl = time.Duration(lr.TTLMS) * time.Millisecond
		}
		if ttl < minTTL || ttl > maxTTL {
			return malformed("ttl_ms must lie between 100 and 600000")
		}
		s.nextID++
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		return answer(200, protocol.Lease{ID: s.nextID})
	case strings.HasPrefix(path, "/grants/"):
		num, _, _ := strings.Cut(strings.TrimPrefix(path, "/grants/"), "/")
		id, _ := strconv.ParseUint(num, 10, 64)
		l := s.leases[id]
		if l == nil {
			return answer(404, map[string]any{})
		}
		l.ends = time.Now().Add(l.ttl)
		if method == "DELETE" {
			l.ends = time.Now()
			s.expire()
		}
		return answer(200, map[string]any{})
	case path == "/store":
		return s.list(q)
	}
	key, ok := strings.CutPrefix(path, "/store/")
	if !ok {
		return malformed("no such path")
	}
	it, ok := s.Items[key]
	if !ok {
		return answer(404, protocol.TransactionResult{Revision: s.Revision})
	}
	return answer(200, it)
}

func (s *Service) list(q url.Values) *transport.Response {
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > maxPage {
		page = maxPage
	}
	if s.Page > 0 {
		page = min(page, s.Page)
	}
	list := protocol.ItemList{Revision: s.Revision, Items: []protocol.Item{}}
	keys := make([]string, 0, len(s.Items))
	for k := range s.Items {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, k := range keys {
		size += len(s.Items[k].Value)
		if len(list.Items) == page || size > maxListing && len(list.Items) > 0 {
			list.More = true
			break
		}
		list.Items = append(list.Items, s.Items[k])
	}
	return answer(200, list)
}

func (s *Service) commit(body []byte) *transport.Response {
	var txn protocol.Transaction
	if err := protocol.Decode(body, &txn); err != nil {
		return malformed(err.Error())
	}
	if s.Writes != nil && !s.Writes.AllowN(time.Now(), len(txn.Then)) {
		s.RefusedRate++
		return answer(429, map[string]any{})
	}
	s.Changes += len(txn.Then)
	if s.TxnOps > 0 && (len(txn.Then) > s.TxnOps || len(txn.If) > 4*s.TxnOps) || protocol.JSONSize(body) > maxBody {
		return s.oversized("transaction over its limits: " + strconv.Itoa(len(txn.Then)) + " changes, " + strconv.Itoa(len(txn.If)) + " conditions")
	}
	hidden := s.HiddenOps > 0 && len(txn.Then) > s.HiddenOps
	for _, c := range txn.Then {
		key := c.Put + c.Delete
		if key == "" || len(key) > 200 || strings.ContainsRune(key, ' ') || c.Put != "" && c.Delete != "" {
			return malformed("bad key")
		}
		size := 0
		if len(c.Value) > 0 {
			size = protocol.JSONSize(c.Value)
		}
		hidden = hidden || s.HiddenValue > 0 && size > s.HiddenValue
		if s.ValueKB > 0 && size > int(s.ValueKB*1024) {
			return s.oversized("value of " + c.Put + " is too large")
		}
	}
	if hidden {
		s.RefusedSize++
		return malformed("too large")
	}
	for _, c := range txn.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return malformed("no such lease")
		}
	}
	var failed []string
	for _, c := range txn.If {
		if s.Items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return answer(409, protocol.TransactionResult{Failed: failed, Revision: s.Revision})
	}
	if len(txn.Then) == 0 {
		return answer(200, protocol.TransactionResult{Revision: s.Revision})
	}
	s.Revision++
	for _, c := range txn.Then {
		if c.Delete != "" {
			s.drop(c.Delete)
			continue
		}
		old, exists := s.Items[c.Put]
		if s.BeforePut != nil {
			s.BeforePut(c, old, exists)
		}
		first, _, _ := strings.Cut(c.Put, "/")
		s.Largest[first] = max(s.Largest[first], protocol.JSONSize(c.Value))
		s.Items[c.Put] = protocol.Item{Key: c.Put, Value: c.Value, Version: s.Revision, Lease: c.Lease}
		s.note(protocol.Event{Put: c.Put, Value: c.Value, Version: s.Revision})
	}
	s.wake()
	return answer(200, protocol.TransactionResult{Revision: s.Revision})
}

func (s *Service) oversized(what string) *transport.Response {
	if s.Oversized != nil {
		s.Oversized(what)
	}
	return malformed("too large")
}

// drop deletes a key under the present revision.
func (s *Service) drop(key string) {
	delete(s.Items, key)
	s.note(protocol.Event{Delete: key, Version: s.Revision})
}

func (s *Service) note(e protocol.Event) {
	s.history = append(s.history, e)
	if over := len(s.history) - keptEvents; over > keptEvents/10 {
		s.dropped = s.history[over-1].Version
		s.history = slices.Delete(s.history, 0, over)
	}
}

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for k, it := range s.Items {
			if it.Lease == id {
				s.Revision++
				s.drop(k)
			}
		}
		s.wake()
	}
}

// watch is called and returns with the lock held.
func (s *Service) watch(ctx context.Context, client string, q url.Values) *transport.Response {
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return malformed("after is missing")
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		if !s.Out && !s.Stuck && !s.Refused[client] {
			s.expire()
			if after < s.dropped {
				return answer(410, map[string]any{"epoch": s.Revision})
			}
			ev := protocol.Events{Revision: s.Revision}
			// Changes come in the order of their revisions.
			from, _ := slices.BinarySearchFunc(s.history, after+1, func(e protocol.Event, rev uint64) int {
				return int(int64(e.Version) - int64(rev))
			})
			for _, e := range s.history[from:] {
				if strings.HasPrefix(e.Put+e.Delete, q.Get("under")) {
					ev.Events = append(ev.Events, e)
				}
			}
			if len(ev.Events) > 0 || !time.Now().Before(end) {
				return &transport.Response{Status: 200, Body: encodeEvents(ev)}
			}
		}
		changed := s.changed
		s.lock.Unlock()
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
		s.lock.Lock()
		if ctx.Err() != nil {
			return answer(503, map[string]any{})
		}
	}
}

// encodeEvents leaves out what an event lacks, as the service does.
func encodeEvents(ev protocol.Events) []byte {
	news := []any{}
	for _, e := range ev.Events {
		if e.Delete != "" {
			news = append(news, map[string]any{"drop": e.Delete, "stamp": e.Version})
		} else {
			news = append(news, map[string]any{"put": e.Put, "v": e.Value, "stamp": e.Version})
		}
	}
	return protocol.Encode(map[string]any{"epoch": ev.Revision, "news": news})
}

// Outage starts or ends an outage, with the lock held; leases have their full
// time again afterwards.
func (s *Service) Outage(on bool) {
	if !s.Out {
		s.expire() // what had run out before
	}
	s.Out = on
	for _, l := range s.leases {
		l.ends = time.Now().Add(l.ttl)
	}
}
