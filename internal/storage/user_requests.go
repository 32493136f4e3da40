package storage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
)

const (
	// userWaitLimit is the longest time that a user's request waits for budget. After that it is
	// refused with Retry-After.
	userWaitLimit = 400 * time.Millisecond
	// userRetryInterval is the pause before UserCommit retries a transaction that the state
	// store's rate limit refused.
	userRetryInterval = 100 * time.Millisecond
)

// UserGet reads a key for a user's request.
func (s *Store) UserGet(ctx context.Context, key string) (*protocol.Item, error) {
	if err := s.admitUser(ctx, 0); err != nil {
		return nil, err
	}
	return s.get(ctx, key)
}

// UserList reads the first page of keys under a prefix for a user's request.
func (s *Store) UserList(ctx context.Context, prefix string) (*protocol.ItemList, error) {
	if err := s.admitUser(ctx, 0); err != nil {
		return nil, err
	}
	return s.page(ctx, prefix, "", listPageSize)
}

// UserChanges returns the changes under prefix after a revision that were made before the request, for a
// user's request. If the state store no longer has the changes, the error is ErrCompacted.
func (s *Store) UserChanges(ctx context.Context, prefix string, after uint64) (*protocol.Events, error) {
	if err := s.admitUser(ctx, 0); err != nil {
		return nil, err
	}
	return s.changes(ctx, prefix, after, 0, ImmediateWatchTimeout)
}

// UserCommit commits a submission or a cancellation. Other controllers may briefly exhaust the state
// store's rate limit, so refusals by it are retried within userWaitLimit.
func (s *Store) UserCommit(ctx context.Context, txn *protocol.Transaction) (revision uint64, err error) {
	if err := s.admitUser(ctx, len(txn.Then)); err != nil {
		return 0, err
	}
	begun := time.Now()
	for {
		revision, err = s.commit(ctx, txn)
		if !errors.Is(err, errRateLimited) || time.Since(begun) > userWaitLimit-userRetryInterval {
			return revision, err
		}
		if !sleep(ctx, userRetryInterval) {
			return 0, err
		}
	}
}

// WriteBudgetDelay returns the time until the budget allows n changes of a user, at the current rate.
func (s *Store) WriteBudgetDelay(n int) time.Duration {
	missing := float64(n) - s.writes.Tokens()
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / max(1e-9, float64(s.writes.Limit())) * float64(time.Second))
}

// admitUser waits until the budget allows a user's request with that many changes. If that takes
// longer than userWaitLimit, it returns ErrBudget at once.
func (s *Store) admitUser(ctx context.Context, writes int) error {
	wait, err := reserveForUser(s.requests, 1)
	if err == nil && writes > 0 {
		s.budget.requested.Add(int64(writes))
		var writeWait time.Duration
		writeWait, err = reserveForUser(s.writes, writes)
		wait = max(wait, writeWait)
	}
	if err != nil {
		return err
	}
	if wait > 0 && !sleep(ctx, wait) {
		return fmt.Errorf("%w: %w", ErrRefused, ctx.Err())
	}
	return nil
}

// reserveForUser reserves n tokens of a limiter and returns the pause before their use. If that is
// longer than userWaitLimit, it reserves none and returns ErrBudget.
func reserveForUser(limiter *rate.Limiter, n int) (time.Duration, error) {
	reservation := limiter.ReserveN(time.Now(), n)
	wait := reservation.Delay()
	if !reservation.OK() || wait > userWaitLimit {
		reservation.Cancel()
		return 0, ErrBudget
	}
	return wait, nil
}

// sleep waits for d and returns true, or returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
