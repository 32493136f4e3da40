package storage

import (
	"context"
	"fmt"
	"time"

	"micaspindle/internal/protocol"
)

// ChangeTimeout is how long an answer that is not to wait for a change may take.
const ChangeTimeout = 3 * time.Second

// Watch waits for changes under prefix after a revision, for as long as wait. patience is how
// long the answer may take beyond that: open watches go on through an outage. If the changes are
// no longer kept, the error is ErrTooOld.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait, patience time.Duration) (*protocol.Events, error) {
	if err := s.awaitRequest(ctx); err != nil {
		return nil, err
	}
	return s.changes(ctx, prefix, after, wait, patience)
}

// CatchUp reads what has changed under prefix after a revision, ahead of everything else: a
// takeover waits for it.
func (s *Store) CatchUp(ctx context.Context, prefix string, after uint64) (*protocol.Events, error) {
	s.requests.Reserve()
	return s.changes(ctx, prefix, after, 0, ChangeTimeout)
}

// changes sends the request of Watch and CatchUp, without regard to the budget.
func (s *Store) changes(ctx context.Context, prefix string, after uint64, wait, patience time.Duration) (*protocol.Events, error) {
	var events protocol.Events
	target := fmt.Sprintf("/changes?under=%s&after=%d&wait_ms=%d", prefix, after, wait.Milliseconds())
	status, err := s.do(ctx, wait+patience, "GET", target, nil, &events)
	switch {
	case err != nil:
		return nil, err
	case status == 410:
		return nil, ErrCompacted
	case status != 200:
		return nil, fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	return &events, nil
}
