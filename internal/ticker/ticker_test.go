package ticker

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestBeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		p := New(250 * time.Millisecond)
		at := func(want time.Duration) {
			t.Helper()
			<-p.C
			if got := time.Since(start); got != want {
				t.Fatalf("a beat at %v, not at %v", got, want)
			}
		}
		at(250 * time.Millisecond)
		at(500 * time.Millisecond)
		time.Sleep(900 * time.Millisecond) // two beats come, one of them is kept
		at(1400 * time.Millisecond)
		at(1500 * time.Millisecond)
		p.Stop()
		select {
		case <-p.C:
			t.Fatal("a beat after the end")
		case <-time.After(time.Second):
		}
	})
}

// Duties that are woken by something else in the moment in which all of their beats are
// due lose none. (With tickers, worlds of several controllers ended the process there, in
// one of three runs; this test alone is too small to show it.)
func TestBeatsOfTheSameMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duties, rounds = 8, 200
		done := make(chan struct{})
		calls := make([]chan struct{}, duties)
		counts := make(chan int, duties)
		for i := range duties {
			calls[i] = make(chan struct{})
			go func() {
				p := New(time.Millisecond)
				defer p.Stop()
				n := 0
				for {
					select {
					case <-calls[i]:
					case <-p.C:
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
		for range duties {
			if n := <-counts; n != rounds {
				t.Fatalf("%d beats of %d", n, rounds)
			}
		}
	})
}
