// Package storage keeps the records of jobs, machines and quotas in the
// state service, within its limits.
package storage

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// Requester sends one request; transport.Client is the real one.
type Requester interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error)
}

// Outcomes of a request that did not succeed.
var (
	// ErrRefused means that the request was certainly not executed.
	ErrRefused = errors.New("state service refused")
	// ErrUnknown means that the request may have been executed, or may be later.
	ErrUnknown = errors.New("state service did not answer")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted means that a watch must start again from a listing.
	ErrCompacted = errors.New("changes no longer kept")
	// ErrLeaseGone means that a put named an expired lease.
	ErrLeaseGone = errors.New("no such lease")
	// ErrTooLarge means that a transaction is more than the service takes; the
	// same one is not to be repeated.
	ErrTooLarge = errors.New("state service takes no transaction of this size")
)

// errOverLimit is a refusal for the number of requests or changes.
var errOverLimit = fmt.Errorf("%w: over its limit", ErrRefused)

// leaseGone is what the service says where a put names an expired lease.
const leaseGone = "no such lease"

// Conflict says which conditions of a transaction failed.
type Conflict struct{ Failed []string }

func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }

// Store is the client of the state service. It shares the service's budget
// with the other controllers: claim renewals go unhindered, then submissions
// and withdrawals, then everything else.
type Store struct {
	// OnPollRefused, if set, is called when a user's question is refused since too many wait.
	OnPollRefused func()

	net      Requester
	addr     string
	requests *rate.Limiter
	writes   *rate.Limiter
	// records bounds the writes of owners, so that submissions always find
	// some budget left.
	records  *rate.Limiter
	budget   budget
	absences absences
	lastOK   atomic.Int64
	lastFail atomic.Int64
	start    time.Time

	// limits are what fits before and after an announced change; below them go
	// txnOps and valueBytes if the service refuses what they allow.
	limits     settings.State
	txnOps     atomic.Int64
	valueBytes atomic.Int64
}

// TxnOps is how many changes a transaction may hold.
func (s *Store) TxnOps() int { return int(s.txnOps.Load()) }

// ValueBytes is how large a value may be, counted as JSON.
func (s *Store) ValueBytes() int { return int(s.valueBytes.Load()) }

// leastValue is below what no refusal lowers the size of values: a refused
// claim may be malformed in some other way.
const leastValue = 256

// shrink takes in that the service found a transaction too large, which nobody
// had announced: fewer changes next time, until one alone is refused, which
// tells that its value is too large.
func (s *Store) shrink(txn *protocol.Transaction) {
	if n := int64(len(txn.Then)); n > 1 {
		s.txnOps.Store(min(s.txnOps.Load(), (n+1)/2))
		return
	}
	for _, ch := range txn.Then {
		if size := int64(protocol.JSONSize(ch.Value)); ch.Put != "" && size > leastValue {
			s.valueBytes.Store(min(s.valueBytes.Load(), size-1))
			s.txnOps.Store(int64(s.limits.TxnOps))
		}
	}
}

const (
	requestTimeout = 2 * time.Second
	// userPatience is how long a user's request may wait for budget before it
	// is refused with Retry-After.
	userPatience = 400 * time.Millisecond
	userRetry    = 100 * time.Millisecond
)

// NewStore makes a client for one of count controllers.
func NewStore(net Requester, addr string, limits settings.State, count int) *Store {
	lower := limits.Lower()
	limiter := func(perSecond float64, burst int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), max(burst, lower.TxnOps))
	}
	share := 1.2 / float64(count)
	s := &Store{
		net: net, addr: addr, start: time.Now(), limits: lower,
		requests: limiter(lower.RPS*share, int(lower.RPS*share/2)),
		// Users come in bursts, at any one controller: one may take a second's
		// worth of all, which the service allows. Averages are far below.
		writes:  limiter(0, int(lower.WriteRPS)),
		records: limiter(0, int(lower.WriteRPS*share)),
	}
	s.budget.init(limits, count)
	s.absences.init(lower.RPS, lower.TxnOps, count)
	s.txnOps.Store(int64(lower.TxnOps))
	s.valueBytes.Store(int64(lower.ValueKB * 1024))
	s.ShareWriteRate(1, float64(count))
	return s
}

// GrantedWriteRate is how many changes a second this controller may write now.
func (s *Store) GrantedWriteRate() float64 { return float64(s.writes.Limit()) }

// SinceLastAnswer is how long ago the service last answered a request properly.
func (s *Store) SinceLastAnswer() time.Duration {
	return time.Since(s.start) - time.Duration(s.lastOK.Load())
}

// Down says that the service has just failed us and not answered since.
func (s *Store) Down() bool {
	fail := time.Duration(s.lastFail.Load())
	return fail > time.Duration(s.lastOK.Load()) && s.SinceLastAnswer() > 1500*time.Millisecond
}

func (s *Store) do(ctx context.Context, timeout time.Duration, method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	resp, err := s.net.Do(ctx, s.addr, method, target, body)
	if err != nil {
		s.lastFail.Store(int64(time.Since(s.start)))
		if errors.Is(err, transport.ErrNotSent) {
			return 0, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch resp.Status {
	case 200, 404, 409, 410, 400:
		s.lastOK.Store(int64(time.Since(s.start)))
	case 429:
		return 429, errOverLimit
	default:
		s.lastFail.Store(int64(time.Since(s.start)))
		return resp.Status, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	}
	if out != nil && (resp.Status == 200 || resp.Status == 409) {
		if err := protocol.Decode(resp.Body, out); err != nil {
			return resp.Status, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
	}
	if res, ok := out.(*protocol.TransactionResult); ok && resp.Status == 400 {
		// A refusal without a readable reason is one all the same.
		_ = protocol.Decode(resp.Body, res)
	}
	return resp.Status, nil
}

// forUser admits a user's request now or refuses it.
func forUser(l *rate.Limiter, n int) (time.Duration, error) {
	r := l.ReserveN(time.Now(), n)
	if d := r.Delay(); !r.OK() || d > userPatience {
		r.Cancel()
		return 0, fmt.Errorf("%w: budget used up", ErrRefused)
	} else {
		return d, nil
	}
}

// BudgetIn is how long it takes until a user's n changes find budget, as things
// stand.
func (s *Store) BudgetIn(n int) time.Duration {
	short := float64(n) - s.writes.Tokens()
	if short <= 0 {
		return 0
	}
	return time.Duration(short / max(1e-9, float64(s.writes.Limit())) * float64(time.Second))
}

func (s *Store) admitUser(ctx context.Context, writes int) error {
	wait, err := forUser(s.requests, 1)
	if err == nil && writes > 0 {
		s.budget.wanted.Add(int64(writes))
		var more time.Duration
		more, err = forUser(s.writes, writes)
		wait = max(wait, more)
	}
	if err != nil {
		return err
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrRefused, ctx.Err())
		}
	}
	return nil
}

// UserGet reads a key for a user.
func (s *Store) UserGet(ctx context.Context, key string) (*protocol.Item, error) {
	if err := s.admitUser(ctx, 0); err != nil {
		return nil, err
	}
	return s.get(ctx, key)
}

// UserList lists a prefix for a user.
func (s *Store) UserList(ctx context.Context, prefix string) (*protocol.ItemList, error) {
	if err := s.admitUser(ctx, 0); err != nil {
		return nil, err
	}
	return s.page(ctx, prefix, "", listPage)
}

// UserCommit commits a submission or a withdrawal. Other controllers may have
// used the service's budget up for a moment: what it refused for that is tried
// again for as long as a user's request may wait for budget.
func (s *Store) UserCommit(ctx context.Context, txn *protocol.Transaction) (uint64, error) {
	if err := s.admitUser(ctx, len(txn.Then)); err != nil {
		return 0, err
	}
	for begun := time.Now(); ; {
		rev, err := s.commit(ctx, txn)
		if !errors.Is(err, errOverLimit) || time.Since(begun) > userPatience-userRetry {
			return rev, err
		}
		select {
		case <-time.After(userRetry):
		case <-ctx.Done():
			return 0, err
		}
	}
}

// Get reads a key.
func (s *Store) Get(ctx context.Context, key string) (*protocol.Item, error) {
	if err := s.requests.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return s.get(ctx, key)
}

func (s *Store) get(ctx context.Context, key string) (*protocol.Item, error) {
	var item protocol.Item
	status, err := s.do(ctx, requestTimeout, "GET", "/store/"+key, nil, &item)
	if err != nil {
		return nil, err
	}
	if status == 404 {
		return nil, ErrNotFound
	}
	return &item, nil
}

// List reads all keys under a prefix and the revision from which to watch.
func (s *Store) List(ctx context.Context, prefix string) ([]protocol.Item, uint64, error) {
	var items []protocol.Item
	var revision uint64
	after := ""
	for {
		if err := s.requests.Wait(ctx); err != nil {
			return nil, 0, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		page, err := s.page(ctx, prefix, after, listPage)
		if err != nil {
			return nil, 0, err
		}
		// Changes made between two pages must come again from the watch.
		if revision == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads up to size keys under a prefix that come after a key.
func (s *Store) Page(ctx context.Context, prefix, after string, size int) (*protocol.ItemList, error) {
	if err := s.requests.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return s.page(ctx, prefix, after, size)
}

// listPage is how many keys a listing reads at a time.
const listPage = 500

func (s *Store) page(ctx context.Context, prefix, after string, size int) (*protocol.ItemList, error) {
	q := url.Values{"under": {prefix}, "page": {strconv.Itoa(size)}}
	if after != "" {
		q.Set("after", after)
	}
	var list protocol.ItemList
	if _, err := s.do(ctx, requestTimeout, "GET", "/store?"+plain(q), nil, &list); err != nil {
		return nil, err
	}
	return &list, nil
}

// plain undoes the escaping of slashes, which the service does not expect.
func plain(q url.Values) string {
	out := ""
	for k, vs := range q {
		if out != "" {
			out += "&"
		}
		out += k + "=" + vs[0]
	}
	return out
}

// Commit commits records of an owner or leader.
func (s *Store) Commit(ctx context.Context, txn *protocol.Transaction) (uint64, error) {
	if n := len(txn.Then); n > 0 {
		if err := s.awaitWrites(ctx, s.records, n); err != nil {
			return 0, err
		}
		s.writes.ReserveN(time.Now(), n)
	}
	s.requests.Reserve()
	return s.commit(ctx, txn)
}

// CommitAhead commits what users wait for ahead of other records.
func (s *Store) CommitAhead(ctx context.Context, txn *protocol.Transaction) (uint64, error) {
	if err := s.awaitWrites(ctx, s.writes, len(txn.Then)); err != nil {
		return 0, err
	}
	s.requests.Reserve()
	return s.commit(ctx, txn)
}

// awaitWrites waits until a limiter grants n changes.
func (s *Store) awaitWrites(ctx context.Context, l *rate.Limiter, n int) error {
	s.budget.wanted.Add(int64(n))
	s.budget.waiting.Add(int64(n))
	defer s.budget.waiting.Add(-int64(n))
	if err := l.WaitN(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// CommitLease commits a claim ahead of everything else.
func (s *Store) CommitLease(ctx context.Context, txn *protocol.Transaction) (uint64, error) {
	s.requests.Reserve()
	s.writes.ReserveN(time.Now(), len(txn.Then))
	return s.commit(ctx, txn)
}

func (s *Store) commit(ctx context.Context, txn *protocol.Transaction) (uint64, error) {
	if txn.If == nil {
		txn.If = []protocol.Condition{}
	}
	if txn.Then == nil {
		txn.Then = []protocol.Change{}
	}
	var res protocol.TransactionResult
	status, err := s.do(ctx, requestTimeout, "POST", "/commit", txn, &res)
	switch {
	case status == 429 && len(txn.Then) > 0:
		s.budget.refused.Add(1)
		return 0, err
	case err != nil:
		return 0, err
	case status == 200:
		return res.Revision, nil
	case status == 409:
		return 0, &Conflict{Failed: res.Failed}
	case status == 400 && res.Error != leaseGone:
		s.shrink(txn)
		return 0, fmt.Errorf("%w: %s", ErrTooLarge, res.Error)
	}
	return 0, ErrLeaseGone
}

// GrantLease opens a lease.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease protocol.Lease
	s.requests.Reserve()
	status, err := s.do(ctx, requestTimeout, "POST", "/grants", protocol.LeaseRequest{TTLMS: ttl.Milliseconds()}, &lease)
	if err == nil && status != 200 {
		err = fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return lease.ID, err
}

// RenewLease renews a lease.
func (s *Store) RenewLease(ctx context.Context, lease uint64, timeout time.Duration) error {
	s.requests.Reserve()
	status, err := s.do(ctx, timeout, "POST", "/grants/"+strconv.FormatUint(lease, 10)+"/touch", map[string]any{}, nil)
	if err == nil && status == 404 {
		return ErrNotFound
	}
	return err
}

// Watch waits for changes under prefix after a revision. patience is how long it may take
// beyond that: open watches go on through an outage.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait, patience time.Duration) (*protocol.Events, error) {
	if err := s.requests.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return s.changes(ctx, prefix, after, wait, patience)
}

// ChangeTimeout is how long an answer that is not to wait for a change may take.
const ChangeTimeout = 3 * time.Second

func (s *Store) changes(ctx context.Context, prefix string, after uint64, wait, patience time.Duration) (*protocol.Events, error) {
	var ev protocol.Events
	target := fmt.Sprintf("/changes?under=%s&after=%d&wait_ms=%d", prefix, after, wait.Milliseconds())
	status, err := s.do(ctx, wait+patience, "GET", target, nil, &ev)
	switch {
	case err != nil:
		return nil, err
	case status == 410:
		return nil, ErrCompacted
	case status != 200:
		return nil, fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	return &ev, nil
}

// CatchUp reads what has changed under prefix after a revision, ahead of everything else:
// a takeover waits for it.
func (s *Store) CatchUp(ctx context.Context, prefix string, after uint64) (*protocol.Events, error) {
	s.requests.Reserve()
	return s.changes(ctx, prefix, after, 0, ChangeTimeout)
}

// RevokeLease ends a lease at once; if that fails, it ends by itself.
func (s *Store) RevokeLease(ctx context.Context, lease uint64) {
	s.requests.Reserve()
	_, _ = s.do(ctx, requestTimeout, "DELETE", "/grants/"+strconv.FormatUint(lease, 10), nil, nil)
}
