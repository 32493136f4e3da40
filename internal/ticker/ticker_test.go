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
		at := func(want time.Duration) {
			t.Helper()
			<-ticks.C
			if got := time.Since(start); got != want {
				t.Fatalf("a tick at %v, not at %v", got, want)
			}
		}
		at(250 * time.Millisecond)
		at(500 * time.Millisecond)
		time.Sleep(900 * time.Millisecond) // two ticks come, one of them waits
		at(1400 * time.Millisecond)
		at(1500 * time.Millisecond)
		ticks.Stop()
		select {
		case <-ticks.C:
			t.Fatal("a tick after the end")
		case <-time.After(time.Second):
		}
	})
}

// Goroutines that are woken by something else at the moment at which all of their ticks are
// due lose none. (With time.Ticker, tests with several controllers ended the process there,
// in one of three runs; this test alone is too small to show it.)
func TestTicksOfTheSameMoment(t *testing.T) {
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
				t.Fatalf("%d ticks of %d", n, rounds)
			}
		}
	})
}
