// Package state is a fake of the state store that PROTOCOL describes, with revisions,
// compare-and-swap transactions, leases, watches and limits. Simulations in tests call it
// directly, development clusters over HTTP. It keeps its data in memory only.
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
	maxPageSize        = 1000      // items in a page of a listing
	maxPageBytes       = 512 << 10 // bytes of values in a page
	maxWatchWait       = time.Minute
	maxTTL             = 10 * time.Minute
	minTTL             = 100 * time.Millisecond
	maxTransactionSize = 64 << 10 // bytes of a transaction
	maxKeyLength       = 200      // bytes
	// minKeptEvents is the minimum number of events kept for watches.
	minKeptEvents = 10_000
	// maxConditionsPerChange is the limit on the conditions of a transaction, as a multiple of
	// the limit on its changes.
	maxConditionsPerChange = 4
	// outagePollInterval is the interval at which a waiting watch checks whether an outage is
	// over, since the end of an outage does not wake the watch.
	outagePollInterval = 100 * time.Millisecond
)

// Service is the state store. Callers must hold the lock to use its fields.
type Service struct {
	lock sync.Locker

	Revision          uint64
	Items             map[string]protocol.Item
	leases            map[uint64]*lease
	nextID            uint64
	history           []protocol.Event // sorted by revision
	compactedRevision uint64           // events up to this revision are dropped
	changed           chan struct{}    // closed at the next change

	// TxnOps bounds the changes of a transaction; 0 means no bound.
	TxnOps int
	// ValueKB bounds the size of a value; 0 means no bound.
	ValueKB float64
	// PageSize bounds the items in a page of a listing; 0 means maxPageSize.
	PageSize int
	// RequestLimiter bounds the requests per second; nil means no bound.
	RequestLimiter *rate.Limiter
	// WriteLimiter bounds the changes per second; nil means no bound.
	WriteLimiter *rate.Limiter

	// Unavailable simulates an outage: watches wait, and all other requests fail.
	Unavailable bool
	// WatchesStuck means that all watches wait and return no events.
	WatchesStuck bool
	// RefusedClients simulates an outage for these clients only.
	RefusedClients map[string]bool
	// UnannouncedTxnOps is a bound on the changes of a transaction that the store does not announce;
	// 0 means no bound.
	UnannouncedTxnOps int
	// UnannouncedValueBytes is a bound on the size of a value, in bytes, that the store does not
	// announce; 0 means no bound.
	UnannouncedValueBytes int

	// ChangesRequested counts the requested changes that were within the limit on changes per second.
	ChangesRequested int
	// RequestsServed counts the requests processed, not counting watches.
	RequestsServed int
	// RefusedForSize counts the transactions refused by an unannounced bound.
	RefusedForSize int
	// RefusedForRate counts the transactions refused by the limit on changes per second.
	RefusedForRate int
	// LargestValues maps the part of a key before its first slash to the size of the largest value
	// put under such a key.
	LargestValues map[string]int

	// OnOversized, if set, is called for each transaction that exceeds an announced bound.
	OnOversized func(what string)
	// BeforePut, if set, is called before each put, with the item that it replaces.
	BeforePut func(c protocol.Change, old protocol.Item, exists bool)
}

// New creates an empty store. The lock guards its fields. The fakes of a simulation share
// one lock, so that a test can observe a consistent state of all of them.
func New(lock sync.Locker) *Service {
	return &Service{
		lock:          lock,
		Items:         map[string]protocol.Item{},
		leases:        map[uint64]*lease{},
		changed:       make(chan struct{}),
		LargestValues: map[string]int{},
	}
}

// emptyBody is the body of responses without content. It is encoded as an empty map.
type emptyBody struct{}

// newResponse returns a response with the encoded body.
func newResponse(status int, body any) *transport.Response {
	return &transport.Response{Status: status, Body: protocol.Encode(body)}
}

// badRequest returns the response to an invalid request.
func badRequest(reason string) *transport.Response {
	return newResponse(http.StatusBadRequest, protocol.TransactionResult{Error: reason})
}

// Serve handles a request of a client.
func (s *Service) Serve(ctx context.Context, client, method, path string, query url.Values, body []byte) *transport.Response {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.RequestLimiter != nil && !s.RequestLimiter.Allow() {
		return newResponse(http.StatusTooManyRequests, emptyBody{})
	}
	if path == "/changes" {
		return s.watch(ctx, client, query)
	}
	if s.Unavailable || s.RefusedClients[client] {
		return newResponse(http.StatusServiceUnavailable, emptyBody{})
	}
	s.expireLeases()
	s.RequestsServed++
	if id, ok := strings.CutPrefix(path, "/grants/"); ok {
		id, _, _ = strings.Cut(id, "/")
		return s.renewOrRevokeLease(method, id)
	}
	switch path {
	case "/commit":
		return s.commit(body)
	case "/grants":
		return s.grantLease(body)
	case "/store":
		return s.listItems(query)
	}
	key, ok := strings.CutPrefix(path, "/store/")
	if !ok {
		return badRequest("no such path")
	}
	item, ok := s.Items[key]
	if !ok {
		return newResponse(http.StatusNotFound, protocol.TransactionResult{Revision: s.Revision})
	}
	return newResponse(http.StatusOK, item)
}

// listItems returns a page of the items under a prefix, sorted by key.
func (s *Service) listItems(query url.Values) *transport.Response {
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxPageSize {
		page = maxPageSize
	}
	if s.PageSize > 0 {
		page = min(page, s.PageSize)
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
		if len(list.Items) == page || size > maxPageBytes && len(list.Items) > 0 {
			list.More = true
			break
		}
		list.Items = append(list.Items, s.Items[key])
	}
	return newResponse(http.StatusOK, list)
}

// SetOutage starts or ends an outage. Both restart the time to live of all leases, except
// those that had expired before the outage. The caller holds the lock.
func (s *Service) SetOutage(on bool) {
	if !s.Unavailable {
		s.expireLeases()
	}
	s.Unavailable = on
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}
