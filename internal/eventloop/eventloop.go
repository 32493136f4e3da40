// Package eventloop runs the goroutine that owns a process's state, and the tasks that do I/O in
// other goroutines.
//
// Invariants: ticks and the functions passed to Do run one after the other in the loop's goroutine.
// All other code accesses the state only through Do. When Wait returns, all tasks started with Go
// have returned. The loop stops after the tasks, because they may call Do until they return.
package eventloop

import (
	"context"
	"sync"
	"time"

	"micaspindle/internal/retry"
	"micaspindle/internal/ticker"
)

const (
	// TickInterval is the time between two ticks.
	TickInterval = 250 * time.Millisecond
	// maxQueuedCalls is the number of calls that may wait in the queue. With a full queue, calls
	// of Do wait for room in it.
	maxQueuedCalls = 256
)

// Loop is an event loop and its tasks.
type Loop struct {
	name string
	// ctx is the context of the tasks. It is a field because tasks may start at any time.
	ctx   context.Context
	calls chan func()
	tasks sync.WaitGroup
	// ticksEnded is closed when no further tick will start.
	ticksEnded chan struct{}
	// ended is closed when no further call will run.
	ended   chan struct{}
	endOnce sync.Once
	// stop stops the loop. Start sets it.
	stop context.CancelFunc
}

// New returns a loop whose tasks run until ctx is done. The name is part of the jitter's seed, so that
// different processes do not retry at the same time.
func New(ctx context.Context, name string) *Loop {
	return &Loop{name: name, ctx: ctx, calls: make(chan func(), maxQueuedCalls),
		ticksEnded: make(chan struct{}), ended: make(chan struct{})}
}

// Context returns the context of the tasks. They return when it is done.
func (l *Loop) Context() context.Context { return l.ctx }

// Start starts the loop in a new goroutine. Wait waits for that goroutine.
func (l *Loop) Start(tick func(now time.Time)) {
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	go l.Serve(ctx, tick)
}

// Wait waits until the loop's context is done, all tasks have returned and the loop has stopped.
func (l *Loop) Wait() {
	<-l.ticksEnded
	l.tasks.Wait()
	l.stop()
	<-l.ended
}

// Serve runs calls and ticks until ctx is done. No tick starts after the loop's own context is done,
// because a tick may start tasks.
func (l *Loop) Serve(ctx context.Context, tick func(now time.Time)) {
	defer l.end()
	ticks := ticker.New(TickInterval)
	defer ticks.Stop()
	shutdown := l.ctx.Done()
	for {
		select {
		case call := <-l.calls:
			call()
		case <-ticks.C:
			if shutdown != nil {
				tick(time.Now())
			}
		case <-shutdown:
			shutdown = nil
			close(l.ticksEnded)
		case <-ctx.Done():
			return
		}
	}
}

// end makes Do return false from now on.
func (l *Loop) end() { l.endOnce.Do(func() { close(l.ended) }) }

// StopUnstarted stops a loop that was never started: it makes Do return false and waits until all tasks
// have returned. The loop's context must be done.
func (l *Loop) StopUnstarted() {
	l.end()
	l.tasks.Wait()
}

// Go starts a task in a new goroutine. It may be called before Start, in the loop and in other tasks.
func (l *Loop) Go(task func()) { l.tasks.Go(task) }

// Do runs fn in the loop, waits for it and reports whether it ran. After Do has returned, fn does
// not run any more, so the caller may access the variables that fn uses.
func (l *Loop) Do(fn func()) bool {
	done := make(chan struct{})
	select {
	case l.calls <- func() { fn(); close(done) }:
	case <-l.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-l.ended:
		// The call may have been the last one before the loop stopped.
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
}

// Sleep waits for d and returns true, or returns false as soon as the loop's context is done.
func (l *Loop) Sleep(d time.Duration) bool {
	if d <= 0 {
		return l.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// NewRetryCounter returns a counter of one task's consecutive failures, with the pause after each.
func (l *Loop) NewRetryCounter(task string, backoff retry.Backoff) *retry.FailureCounter {
	return &retry.FailureCounter{Backoff: backoff, JitterKey: l.name + " " + task}
}

// Signal sends a value to a channel with a buffer of one, unless the buffer is full. Several
// signals before the receiver runs wake it only once.
func Signal(wakeup chan struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}
