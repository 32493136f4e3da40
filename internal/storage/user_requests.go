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
	// userWaitLimit is how long a user's request may wait for budget before it is refused with
	// Retry-After.
	userWaitLimit = 400 * time.Millisecond
	// userRetryInterval is how long a user's transaction that the state store refused for its
	// limit waits before it is tried again.
	userRetryInterval = 100 * time.Millisecond
)

// UserGet reads a key for a user.
func (s *Store) UserGet(ctx context.Context, key string) (*protocol.Item, error) {
	if err := s.admitUser(ctx, 0); err != nil {
		return nil, err
	}
	return s.get(ctx, key)
}

// UserList lists the first keys under a prefix for a user.
func (s *Store) UserList(ctx context.Context, prefix string) (*protocol.ItemList, error) {
	if err := s.admitUser(ctx, 0); err != nil {
		return nil, err
	}
	return s.page(ctx, prefix, "", listPage)
}

// UserCommit commits a submission or a cancellation. Other controllers may have used the limit of
// the state store up for a moment: what it refused for that is tried again for as long as a
// user's request may wait for budget.
func (s *Store) UserCommit(ctx context.Context, txn *protocol.Transaction) (revision uint64, err error) {
	if err := s.admitUser(ctx, len(txn.Then)); err != nil {
		return 0, err
	}
	begun := time.Now()
	for {
		revision, err = s.commit(ctx, txn)
		if !errors.Is(err, errOverLimit) || time.Since(begun) > userWaitLimit-userRetryInterval {
			return revision, err
		}
		if !sleep(ctx, userRetryInterval) {
			return 0, err
		}
	}
}

// BudgetIn is how long it takes until a user's n changes find budget, as things stand.
func (s *Store) BudgetIn(n int) time.Duration {
	missing := float64(n) - s.writes.Tokens()
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / max(1e-9, float64(s.writes.Limit())) * float64(time.Second))
}

// admitUser waits until the budget grants a user's request with so many changes, but not for
// long: it refuses the request with ErrBudget instead.
func (s *Store) admitUser(ctx context.Context, writes int) error {
	wait, err := reserveForUser(s.requests, 1)
	if err == nil && writes > 0 {
		s.budget.wanted.Add(int64(writes))
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

// reserveForUser takes n of a limiter for a user, if that has to wait for them no longer than
// users may, and returns how long it has to.
func reserveForUser(limiter *rate.Limiter, n int) (time.Duration, error) {
	reservation := limiter.ReserveN(time.Now(), n)
	wait := reservation.Delay()
	if !reservation.OK() || wait > userWaitLimit {
		reservation.Cancel()
		return 0, ErrBudget
	}
	return wait, nil
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
