package storage

import (
	"context"
	"fmt"
	"time"

	"micaspindle/internal/protocol"
)

// ImmediateWatchTimeout is the timeout of a watch request that does not wait for changes.
const ImmediateWatchTimeout = 3 * time.Second

// Watch returns the changes under prefix after a revision. If there are none yet, it waits for one,
// but no longer than wait. The response may take longer than that by grace, so that an open watch
// outlasts a short outage. If the state store no longer has the changes, the error is ErrCompacted.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait, grace time.Duration) (*protocol.Events, error) {
	if err := s.awaitRequest(ctx); err != nil {
		return nil, err
	}
	return s.changes(ctx, prefix, after, wait, grace)
}

// CatchUp returns the changes under prefix after a revision. It waits neither for new changes nor for
// the budget, since a takeover depends on it.
func (s *Store) CatchUp(ctx context.Context, prefix string, after uint64) (*protocol.Events, error) {
	s.requests.Reserve()
	return s.changes(ctx, prefix, after, 0, ImmediateWatchTimeout)
}

// changes is Watch without waiting for the budget.
func (s *Store) changes(ctx context.Context, prefix string, after uint64, wait, grace time.Duration) (*protocol.Events, error) {
	var events protocol.Events
	target := fmt.Sprintf("/changes?under=%s&after=%d&wait_ms=%d", prefix, after, wait.Milliseconds())
	status, err := s.do(ctx, wait+grace, "GET", target, nil, &events)
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
