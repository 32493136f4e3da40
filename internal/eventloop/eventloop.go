// Package eventloop runs the one goroutine that owns a process's state, and the tasks
// beside it that do its input and output.
//
// Invariant: functions passed to Do and the ticks run one after the other, in the loop's
// goroutine; everything else that touches the state goes through Do. Tasks started with
// Go have all returned when Wait returns, and the loop outlives them, since they end
// through it.
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
	// queuedCalls is how many calls may wait before Do blocks.
	queuedCalls = 256
)

// Loop is an event loop with its tasks.
type Loop struct {
	name string
	// ctx is the tasks' context. It is kept because tasks begin at any time; they get it from
	// Context.
	ctx   context.Context
	calls chan func()
	tasks sync.WaitGroup
	// ticksEnded is closed once no tick begins any more.
	ticksEnded chan struct{}
	// ended is closed once no call runs any more.
	ended   chan struct{}
	endOnce sync.Once
	// stop ends the loop; Start sets it.
	stop context.CancelFunc
}

// New makes a loop whose tasks run until ctx ends. The name spreads the retries of one process
// apart from those of others.
func New(ctx context.Context, name string) *Loop {
	return &Loop{name: name, ctx: ctx, calls: make(chan func(), queuedCalls),
		ticksEnded: make(chan struct{}), ended: make(chan struct{})}
}

// Context ends when the tasks are to end.
func (l *Loop) Context() context.Context { return l.ctx }

// Start starts the loop in a goroutine of its own, which Wait waits for.
func (l *Loop) Start(tick func(now time.Time)) {
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	go l.Serve(ctx, tick)
}

// Wait returns when the loop's context has ended, every task has returned and the loop
// has stopped.
func (l *Loop) Wait() {
	<-l.ticksEnded
	l.tasks.Wait()
	l.stop()
	<-l.ended
}

// Serve runs calls and ticks until ctx ends. No tick begins once the loop's own context
// has ended, since a tick may start tasks.
func (l *Loop) Serve(ctx context.Context, tick func(now time.Time)) {
	defer l.end()
	ticks := ticker.New(TickInterval)
	defer ticks.Stop()
	ending := l.ctx.Done()
	for {
		select {
		case call := <-l.calls:
			call()
		case <-ticks.C:
			if ending != nil {
				tick(time.Now())
			}
		case <-ending:
			ending = nil
			close(l.ticksEnded)
		case <-ctx.Done():
			return
		}
	}
}

// end makes Do refuse calls from now on.
func (l *Loop) end() { l.endOnce.Do(func() { close(l.ended) }) }

// Abandon ends a loop that was never started, and returns when its tasks have: their calls
// are not run any more. The loop's context must have ended.
func (l *Loop) Abandon() {
	l.end()
	l.tasks.Wait()
}

// Go starts a task. It may be called before Start, in the loop, and by other tasks.
func (l *Loop) Go(task func()) { l.tasks.Go(task) }

// Do runs fn in the loop and waits for it. It reports whether fn ran. What fn touches may
// be used afterwards: once Do has returned, fn never runs.
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
		// The last call may have ended together with the loop.
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
}

// Sleep waits for d, or until the loop's context ends, and reports whether it has not.
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

// Tries counts the failures of one task, with the pauses after them.
func (l *Loop) Tries(task string, backoff retry.Backoff) *retry.Tries {
	return &retry.Tries{Backoff: backoff, Who: l.name + " " + task}
}

// Signal wakes the receiver of a channel that holds one value, unless a signal waits for it
// already.
func Signal(wakeup chan struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}
