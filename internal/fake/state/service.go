// Package state is a fake of the state store that PROTOCOL describes: revisions,
// compare-and-swap transactions, leases, watches and limits. It serves simulations in
// tests and, over HTTP, development clusters. It does not interpret values and keeps them
// in memory only.
package state

import (
	"context"
	"net/http"
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
	maxPage    = 1000      // items in a listing
	maxListing = 512 << 10 // bytes of values in a listing
	maxWait    = time.Minute
	maxTTL     = 10 * time.Minute
	minTTL     = 100 * time.Millisecond
	maxBody    = 64 << 10 // bytes of a transaction
	maxKey     = 200      // bytes
	// keptEvents is how many events are kept for watches, at least.
	keptEvents = 10_000
	// conditionsPerOp is how many conditions a transaction may have per allowed change.
	conditionsPerOp = 4
	// pollInterval is how often a waiting watch checks for the end of an outage.
	pollInterval = 100 * time.Millisecond
)

// Service is the state store. Callers that use its fields hold the lock.
type Service struct {
	lock sync.Locker

	Revision uint64
	Items    map[string]protocol.Item
	leases   map[uint64]*lease
	nextID   uint64
	history  []protocol.Event
	dropped  uint64        // revision up to which events are no longer kept
	changed  chan struct{} // closed at the next change

	// TxnOps bounds the changes of a transaction, ValueKB the size of a value; 0: no bound.
	TxnOps  int
	ValueKB float64
	// Page bounds the items of a listing; 0: maxPage.
	Page int
	// Requests and Writes bound requests and changes per second; nil: no bound.
	Requests, Writes *rate.Limiter

	// Unavailable simulates an outage; Stuck means that watches return no events.
	Unavailable, WatchesStuck bool
	// RefusedClients are clients whose requests fail while those of others succeed; their open
	// watches wait.
	RefusedClients map[string]bool
	// HiddenOps and HiddenValue are bounds like TxnOps and, in bytes, ValueKB that the
	// store does not announce; 0: none.
	HiddenOps, HiddenValue int

	// Changes and Served count changes asked for and requests served; RefusedSize and
	// RefusedRate count transactions refused by a hidden bound and by Writes.
	Changes, Served          int
	RefusedSize, RefusedRate int
	// Largest is the size of the largest value written, by the first part of the key.
	Largest map[string]int

	// Oversized, if set, is called for each transaction over an announced bound.
	Oversized func(what string)
	// BeforePut, if set, is called before each put, with the item that it replaces.
	BeforePut func(c protocol.Change, old protocol.Item, exists bool)
}

// New creates an empty store. The lock guards its state: the fakes of a simulation share
// one lock, so that all can be observed at one moment.
func New(lock sync.Locker) *Service {
	return &Service{
		lock:    lock,
		Items:   map[string]protocol.Item{},
		leases:  map[uint64]*lease{},
		changed: make(chan struct{}),
		Largest: map[string]int{},
	}
}

// emptyBody is the body of responses that carry nothing: an empty map.
type emptyBody struct{}

// answer returns a response with an encoded body.
func answer(status int, body any) *transport.Response {
	return &transport.Response{Status: status, Body: protocol.Encode(body)}
}

// malformed returns the response to a request that is not valid.
func malformed(reason string) *transport.Response {
	return answer(http.StatusBadRequest, protocol.TransactionResult{Error: reason})
}

// Serve answers a request of a client.
func (s *Service) Serve(ctx context.Context, client, method, path string, query url.Values, body []byte) *transport.Response {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.Requests != nil && !s.Requests.Allow() {
		return answer(http.StatusTooManyRequests, emptyBody{})
	}
	if path == "/changes" {
		return s.watch(ctx, client, query)
	}
	if s.Unavailable || s.RefusedClients[client] {
		return answer(http.StatusServiceUnavailable, emptyBody{})
	}
	s.expire()
	s.Served++
	if id, ok := strings.CutPrefix(path, "/grants/"); ok {
		id, _, _ = strings.Cut(id, "/")
		return s.renewOrRevoke(method, id)
	}
	switch path {
	case "/commit":
		return s.commit(body)
	case "/grants":
		return s.grant(body)
	case "/store":
		return s.list(query)
	}
	key, ok := strings.CutPrefix(path, "/store/")
	if !ok {
		return malformed("no such path")
	}
	item, ok := s.Items[key]
	if !ok {
		return answer(http.StatusNotFound, protocol.TransactionResult{Revision: s.Revision})
	}
	return answer(http.StatusOK, item)
}

// list returns a page of the items under a prefix, by key.
func (s *Service) list(query url.Values) *transport.Response {
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxPage {
		page = maxPage
	}
	if s.Page > 0 {
		page = min(page, s.Page)
	}
	list := protocol.ItemList{Revision: s.Revision, Items: []protocol.Item{}}
	keys := make([]string, 0, len(s.Items))
	for key := range s.Items {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, key := range keys {
		size += len(s.Items[key].Value)
		if len(list.Items) == page || size > maxListing && len(list.Items) > 0 {
			list.More = true
			break
		}
		list.Items = append(list.Items, s.Items[key])
	}
	return answer(http.StatusOK, list)
}

// SetOutage starts or ends an outage. At both, leases have their full time again, except for
// those that had expired before. The lock is held.
func (s *Service) SetOutage(on bool) {
	if !s.Unavailable {
		s.expire()
	}
	s.Unavailable = on
	for _, l := range s.leases {
		l.ends = time.Now().Add(l.ttl)
	}
}
