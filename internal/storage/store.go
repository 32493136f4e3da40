// Package storage is the client of the state store and defines the keys and records that the
// controllers keep in it: jobs, attempts, machines, leases and the policy.
//
// The controllers share the state store's rate limits. Each Store has a budget of requests and
// changes, and prioritizes its requests within it. A request that fails was either not executed
// (ErrRefused) or has an unknown outcome (ErrUnknown).
package storage

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

const (
	// requestTimeout is the timeout of requests other than watches and renewals.
	requestTimeout = 2 * time.Second
	// downAfter is the time without a response after which the state store counts as down.
	downAfter = 1500 * time.Millisecond
	// overcommit is the sum of the controllers' request budgets relative to the state store's
	// limit. It is above 1 since they rarely use their whole budgets at the same time; the state
	// store refuses the excess.
	overcommit = 1.2
)

// Requester sends requests. It is implemented by transport.Client.
type Requester interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error)
}

// Store is the client of the state store. Requests for leases never wait for the budget;
// submissions and cancellations have priority over all other requests. It is safe for concurrent
// use, except for WriteDemand and ShareWriteRate, which must be called by a single goroutine.
type Store struct {
	// OnPollRefused, if set, is called when UserKeyAbsent refuses a query since too many are
	// waiting.
	OnPollRefused func()

	network Requester
	addr    string

	requests *rate.Limiter
	// writes limits the rate of all changes. records is a stricter limit for changes that no
	// user waits for, so that some budget is left for submissions.
	writes  *rate.Limiter
	records *rate.Limiter
	budget  writeBudget
	// absences batches the queries of UserKeyAbsent.
	absences absenceQueue

	start time.Time
	// lastAnswer and lastFailure are the times of the last response and of the last failed
	// request, as durations since start.
	lastAnswer  atomic.Int64
	lastFailure atomic.Int64

	// limits are the lower of the present and the announced limits. txnOps and valueBytes fall
	// below them if the state store refuses transactions of that size.
	limits     settings.StateStoreLimits
	txnOps     atomic.Int64
	valueBytes atomic.Int64
}

// NewStore returns a client for one of count controllers.
func NewStore(network Requester, addr string, limits settings.StateStoreLimits, count int) *Store {
	lower := limits.Lower()
	limiter := func(perSecond float64, burst int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), max(burst, lower.TxnOps))
	}
	share := overcommit / float64(count)
	s := &Store{
		network: network, addr: addr, start: time.Now(), limits: lower,
		requests: limiter(lower.RPS*share, int(lower.RPS*share/2)),
		// User requests may arrive in bursts at a single controller, so each controller's burst
		// is the state store's limit for one second.
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

// SinceLastAnswer returns the time since the last response of the state store, other than server
// errors and refusals by its rate limit.
func (s *Store) SinceLastAnswer() time.Duration {
	return time.Since(s.start) - time.Duration(s.lastAnswer.Load())
}

// Down reports whether the state store is unavailable: the most recent request failed, and there was
// no response for longer than downAfter.
func (s *Store) Down() bool {
	return s.lastFailure.Load() > s.lastAnswer.Load() && s.SinceLastAnswer() > downAfter
}

// awaitRequest waits until the budget allows a request.
func (s *Store) awaitRequest(ctx context.Context) error {
	if err := s.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// do sends a request with the encoding of in as its body, unless in is nil, and decodes the response
// into out, unless out is nil. Statuses that checkStatus rejects are errors; the caller handles the
// others.
func (s *Store) do(ctx context.Context, timeout time.Duration, method, target string, in, out any) (status int, err error) {
	response, err := s.send(ctx, timeout, method, target, in)
	if err != nil {
		return 0, err
	}
	if err := s.checkStatus(response.Status); err != nil {
		return response.Status, err
	}
	return response.Status, decodeAnswer(response, out)
}

// send sends a request and returns the response, whatever its status.
func (s *Store) send(ctx context.Context, timeout time.Duration, method, target string, in any) (*transport.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	response, err := s.network.Do(ctx, s.addr, method, target, body)
	switch {
	case err == nil:
		return response, nil
	case errors.Is(err, transport.ErrNotSent):
		err = fmt.Errorf("%w: %w", ErrRefused, err)
	default:
		err = fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	s.lastFailure.Store(int64(time.Since(s.start)))
	return nil, err
}

// checkStatus returns an error for statuses that mean a server error or a rate limit. It records
// the time of the last response and of the last failure of the state store; a refusal by the rate
// limit counts as neither.
func (s *Store) checkStatus(status int) error {
	switch status {
	case 200, 400, 404, 409, 410:
		s.lastAnswer.Store(int64(time.Since(s.start)))
		return nil
	case 429:
		return errRateLimited
	}
	s.lastFailure.Store(int64(time.Since(s.start)))
	return fmt.Errorf("%w: status %d", ErrRefused, status)
}

// decodeAnswer decodes the body of a response into out, unless out is nil.
func decodeAnswer(response *transport.Response, out any) error {
	if out == nil {
		return nil
	}
	switch response.Status {
	case 200, 409:
		if err := protocol.Decode(response.Body, out); err != nil {
			return fmt.Errorf("%w: %w", ErrUnknown, err)
		}
	case 400:
		if result, ok := out.(*protocol.TransactionResult); ok {
			// The reason is optional, so a body that can't be decoded is ignored.
			_ = protocol.Decode(response.Body, result)
		}
	}
	return nil
}
