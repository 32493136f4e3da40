package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The client with the least outstanding work goes next, within the window; a client without
// outstanding work always may.
func TestNextBatch(t *testing.T) {
	batches := func(of ...string) (out []Batch) {
		for _, c := range of {
			out = append(out, Batch{c, 10})
		}
		return out
	}
	for name, c := range map[string]struct {
		window      int
		outstanding map[string]int
		batches     []Batch
		want        int
	}{
		"no batch waits":                      {100, nil, nil, -1},
		"oldest batch of equal clients":       {100, nil, batches("a", "b"), 0},
		"client with the least":               {100, map[string]int{"a": 20, "b": 10}, batches("a", "b"), 1},
		"single client, window filled":        {100, map[string]int{"a": 90}, batches("a"), 0},
		"single client, window exceeded":      {100, map[string]int{"a": 91}, batches("a"), -1},
		"new client, full window":             {100, map[string]int{"a": 100}, batches("a", "a", "b"), 2},
		"client within its part, full window": {100, map[string]int{"a": 100, "b": 40}, batches("a", "b"), 1},
		"client above its part, full window":  {100, map[string]int{"a": 100, "b": 41}, batches("a", "b"), -1},
		"batch larger than the window":        {5, nil, batches("a"), 0},
		"no bound":                            {math.MaxInt, map[string]int{"a": 1 << 40}, batches("a"), 0},
	} {
		if got := NextBatch(c.window, c.outstanding, c.batches); got != c.want {
			t.Errorf("%s: NextBatch returned %d, want %d", name, got, c.want)
		}
	}
	if w := (HandoffLimits{}).Window(1e9, 7); w != math.MaxInt {
		t.Errorf("window without limits: %d, want MaxInt", w)
	}
	a := HandoffLimits{Min: 100, MaxDuration: 2 * time.Second}
	if a.Window(0, 0) != 100 || a.Window(49, 99) != 100 || a.Window(500, 999) != 1000 || a.Window(0, 300) != 300 {
		t.Errorf("Window(0, 0), Window(49, 99), Window(500, 999), Window(0, 300) = %d, %d, %d, %d; want 100, 100, 1000, 300", a.Window(0, 0), a.Window(49, 99), a.Window(500, 999), a.Window(0, 300))
	}
}

// With random clients, a server that works in order of arrival is never idle while batches wait,
// the outstanding work is at most the window plus one batch for each client, and the batch of a new
// client is completed within the time that the server needs for the window and one batch for each
// client.
func TestClientsTakeTurns(t *testing.T) {
	for seed := range uint64(15) {
		rng := rand.New(rand.NewPCG(seed, 3))
		clients := []string{"a", "b", "c", "d"}[:1+rng.IntN(4)]
		window, size := 20+rng.IntN(200), 1+rng.IntN(30)
		outstanding, order := map[string]int{}, []string{}
		var waiting []Batch
		arrived := -1 // step at which the new client's batch arrived; -1: not yet, or it is completed
		for step := range 3000 {
			if rng.IntN(size) == 0 || step < 500 {
				waiting = append(waiting, Batch{clients[rng.IntN(len(clients))], size})
			}
			if step == 1500 {
				waiting, arrived = append(waiting, Batch{"new", size}), step
			}
			for {
				i := NextBatch(window, outstanding, waiting)
				if i < 0 {
					break
				}
				next := waiting[i]
				waiting = append(waiting[:i:i], waiting[i+1:]...)
				outstanding[next.Client] += next.Size
				for range next.Size {
					order = append(order, next.Client)
				}
			}
			if bound := window + (len(clients)+1)*size; len(order) > bound {
				t.Fatalf("seed %d: %d units of work are outstanding, at most %d may be", seed, len(order), bound)
			}
			if len(order) == 0 && len(waiting) > 0 {
				t.Fatalf("seed %d: server is idle while %d batches wait", seed, len(waiting))
			}
			if len(order) > 0 {
				c := order[0]
				order = order[1:]
				outstanding[c]--
				if c == "new" && outstanding[c] == 0 && arrived >= 0 {
					if took := step - arrived; took > window+(len(clients)+1)*size {
						t.Errorf("seed %d: batch of the new client took %d steps, want at most the window of %d plus one batch for each client", seed, took, window)
					}
					arrived = -1
				}
			}
		}
		if arrived >= 0 {
			t.Errorf("seed %d: batch of the new client was not completed", seed)
		}
	}
}

func TestMeter(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	if m.PerSecond(now) != 0 {
		t.Errorf("rate before the first event is %v, want 0", m.PerSecond(now))
	}
	for range 400 { // 20 events a second for 20 s
		now = now.Add(50 * time.Millisecond)
		m.Add(now, 1)
	}
	if r := m.PerSecond(now); math.Abs(r-20) > 1 {
		t.Errorf("rate is %.1f, want about 20 per second", r)
	}
	if r := m.PerSecond(now.Add(time.Minute)); r > 0.01 {
		t.Errorf("rate is %.2f a minute after the last event, want about 0", r)
	}
}
