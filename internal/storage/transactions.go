package storage

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
)

// leaseGoneReason is the state store's error text for a change that refers to an expired lease.
const leaseGoneReason = "no such lease"

// Commit commits records of a partition leader or the cluster leader, after waiting for the budget
// for records. It returns the revision of the changes. If conditions fail, the error is a *Conflict.
func (s *Store) Commit(ctx context.Context, txn *protocol.Transaction) (revision uint64, err error) {
	if n := len(txn.Then); n > 0 {
		if err := s.awaitWrites(ctx, s.records, n); err != nil {
			return 0, err
		}
		s.writes.ReserveN(time.Now(), n)
	}
	s.requests.Reserve()
	return s.commit(ctx, txn)
}

// CommitPriority is like Commit for records that users wait for. They have priority over other records.
func (s *Store) CommitPriority(ctx context.Context, txn *protocol.Transaction) (revision uint64, err error) {
	if err := s.awaitWrites(ctx, s.writes, len(txn.Then)); err != nil {
		return 0, err
	}
	s.requests.Reserve()
	return s.commit(ctx, txn)
}

// CommitLease is like Commit for partition leases and the cluster leadership. It counts against the
// budget but does not wait for it.
func (s *Store) CommitLease(ctx context.Context, txn *protocol.Transaction) (revision uint64, err error) {
	s.requests.Reserve()
	s.writes.ReserveN(time.Now(), len(txn.Then))
	return s.commit(ctx, txn)
}

// awaitWrites waits until a limiter allows n changes. Until then they are part of WriteDemand.
func (s *Store) awaitWrites(ctx context.Context, limiter *rate.Limiter, n int) error {
	s.budget.requested.Add(int64(n))
	s.budget.waiting.Add(int64(n))
	defer s.budget.waiting.Add(-int64(n))
	if err := limiter.WaitN(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// commit sends a transaction without waiting for the budget.
func (s *Store) commit(ctx context.Context, txn *protocol.Transaction) (revision uint64, err error) {
	// A nil slice would be encoded as nil instead of as an empty list.
	if txn.If == nil {
		txn.If = []protocol.Condition{}
	}
	if txn.Then == nil {
		txn.Then = []protocol.Change{}
	}
	var result protocol.TransactionResult
	status, err := s.do(ctx, requestTimeout, "POST", "/commit", txn, &result)
	switch {
	case status == 429 && len(txn.Then) > 0:
		s.budget.refused.Add(1)
		return 0, err
	case err != nil:
		return 0, err
	case status == 200:
		return result.Revision, nil
	case status == 409:
		return 0, &Conflict{Failed: result.Failed}
	case status == 400 && result.Error != leaseGoneReason:
		s.lowerSizeLimits(txn)
		return 0, fmt.Errorf("%w: %s", ErrTooLarge, result.Error)
	}
	return 0, ErrLeaseGone
}
