package ticker

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ticks := New(250 * time.Millisecond)
		expectTickAt := func(want time.Duration) {
			t.Helper()
			<-ticks.C
			if got := time.Since(start); got != want {
				t.Fatalf("tick after %v, want it after %v", got, want)
			}
		}
		expectTickAt(250 * time.Millisecond)
		expectTickAt(500 * time.Millisecond)
		time.Sleep(900 * time.Millisecond) // the tick at 750 ms waits, later ones are dropped
		expectTickAt(1400 * time.Millisecond)
		expectTickAt(1500 * time.Millisecond)
		ticks.Stop()
		select {
		case <-ticks.C:
			t.Fatal("got a tick after Stop")
		case <-time.After(time.Second):
		}
	})
}

// No tick is lost if goroutines receive from another channel at the time at which their ticks are
// due. This is the situation in which time.Ticker can crash the process, but this test alone does
// not provoke the crash.
func TestSimultaneousTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const receivers, rounds = 8, 200
		done := make(chan struct{})
		calls := make([]chan struct{}, receivers)
		counts := make(chan int, receivers)
		for i := range receivers {
			calls[i] = make(chan struct{})
			go func() {
				ticks := New(time.Millisecond)
				defer ticks.Stop()
				n := 0
				for {
					select {
					case <-calls[i]:
					case <-ticks.C:
						n++
					case <-done:
						counts <- n
						return
					}
				}
			}()
			go func() {
				for range rounds {
					time.Sleep(time.Millisecond)
					calls[i] <- struct{}{}
				}
			}()
		}
		time.Sleep(rounds*time.Millisecond + time.Microsecond)
		close(done)
		for range receivers {
			if n := <-counts; n != rounds {
				t.Fatalf("a goroutine received %d ticks, want %d", n, rounds)
			}
		}
	})
}
