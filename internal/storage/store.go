// Package storage is the client of the state store and defines what the controllers keep in it:
// the keys and records of jobs, attempts, machines, leases and the policy.
//
// Store keeps within the state store's limits, which the controllers share: each has a budget of
// requests and changes, and says which requests go first. Every failure is either certain
// (ErrRefused) or open (ErrUnknown).
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
	// requestTimeout is how long an answer that is not waited for on purpose may take.
	requestTimeout = 2 * time.Second
	// downAfter is how long the state store must not have answered to count as down.
	downAfter = 1500 * time.Millisecond
	// overcommit lets the controllers together ask for a little more than the limits: hardly
	// ever do all use their shares at once, and the state store refuses what is too much.
	overcommit = 1.2
)

// Requester sends one request; transport.Client is the real one.
type Requester interface {
	Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error)
}

// Store is the client of the state store. It shares the store's limits with the other
// controllers: lease renewals go unhindered, then submissions and cancellations, then everything
// else. It is safe for concurrent use, but for WriteDemand and ShareWriteRate, which one
// goroutine calls.
type Store struct {
	// OnPollRefused, if set, is called when a user's query is refused since too many wait.
	OnPollRefused func()

	network Requester
	addr    string

	requests *rate.Limiter
	// writes bounds all changes, records those that no user waits for, so that submissions
	// always find some budget left.
	writes  *rate.Limiter
	records *rate.Limiter
	budget  writeBudget
	// absences are the users' queries whether keys are absent.
	absences absenceQueue

	// lastAnswer and lastFailure are moments, as durations since start.
	start       time.Time
	lastAnswer  atomic.Int64
	lastFailure atomic.Int64

	// limits are what holds both before and after an announced change. txnOps and valueBytes
	// fall below them if the state store refuses what they allow.
	limits     settings.StateStoreLimits
	txnOps     atomic.Int64
	valueBytes atomic.Int64
}

// NewStore makes a client for one of count controllers.
func NewStore(network Requester, addr string, limits settings.StateStoreLimits, count int) *Store {
	lower := limits.Lower()
	limiter := func(perSecond float64, burst int) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), max(burst, lower.TxnOps))
	}
	share := overcommit / float64(count)
	s := &Store{
		network: network, addr: addr, start: time.Now(), limits: lower,
		requests: limiter(lower.RPS*share, int(lower.RPS*share/2)),
		// Users come in bursts, at any one controller: one may take a second's worth of all,
		// which the state store allows. Averages are far below.
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

// SinceLastAnswer is how long ago the state store last answered a request properly.
func (s *Store) SinceLastAnswer() time.Duration {
	return time.Since(s.start) - time.Duration(s.lastAnswer.Load())
}

// Down says that a request failed lately and none was answered since.
func (s *Store) Down() bool {
	return s.lastFailure.Load() > s.lastAnswer.Load() && s.SinceLastAnswer() > downAfter
}

// awaitRequest waits until the budget grants a request.
func (s *Store) awaitRequest(ctx context.Context) error {
	if err := s.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// do sends a request with the encoding of in, if any, and decodes the answer to out, if any. An
// answer with a status that says no more than that the request failed is an error.
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

// send sends a request and returns the answer, whatever its status.
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

// checkStatus notes whether the state store answered properly. A refusal for the number of
// requests says neither that it did nor that it failed.
func (s *Store) checkStatus(status int) error {
	switch status {
	case 200, 400, 404, 409, 410:
		s.lastAnswer.Store(int64(time.Since(s.start)))
		return nil
	case 429:
		return errOverLimit
	}
	s.lastFailure.Store(int64(time.Since(s.start)))
	return fmt.Errorf("%w: status %d", ErrRefused, status)
}

// decodeAnswer decodes the body of an answer to out, if it has one.
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
			// A refusal without a readable reason is one all the same.
			_ = protocol.Decode(response.Body, result)
		}
	}
	return nil
}
