package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Of a team's clients, who has least ahead goes next, up to the window; who has
// nothing there goes in any case.
func TestNextIsWhoHasLeastAhead(t *testing.T) {
	lots := func(of ...string) (out []Batch) {
		for _, c := range of {
			out = append(out, Batch{c, 10})
		}
		return out
	}
	for name, c := range map[string]struct {
		window int
		ahead  map[string]int
		lots   []Batch
		want   int
	}{
		"nobody waits":                   {100, nil, nil, -1},
		"the oldest of equals":           {100, nil, lots("a", "b"), 0},
		"who has least":                  {100, map[string]int{"a": 20, "b": 10}, lots("a", "b"), 1},
		"alone, all of the window":       {100, map[string]int{"a": 90}, lots("a"), 0},
		"alone, and no more":             {100, map[string]int{"a": 91}, lots("a"), -1},
		"a new one beside a full window": {100, map[string]int{"a": 100}, lots("a", "a", "b"), 2},
		"his part beside a full window":  {100, map[string]int{"a": 100, "b": 40}, lots("a", "b"), 1},
		"more than his part":             {100, map[string]int{"a": 100, "b": 41}, lots("a", "b"), -1},
		"a lot larger than the window":   {5, nil, lots("a"), 0},
		"without bound":                  {math.MaxInt, map[string]int{"a": 1 << 40}, lots("a"), 0},
	} {
		if got := NextBatch(c.window, c.ahead, c.lots); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
	if w := (HandoffLimits{}).Window(1e9, 7); w != math.MaxInt {
		t.Errorf("without bound: %d", w)
	}
	a := HandoffLimits{Min: 100, MaxDuration: 2 * time.Second}
	if a.Window(0, 0) != 100 || a.Window(49, 99) != 100 || a.Window(500, 999) != 1000 || a.Window(0, 300) != 300 {
		t.Error(a.Window(0, 0), a.Window(49, 99), a.Window(500, 999))
	}
}

// A place that serves in order, random clients: it is never idle while somebody
// waits, what is ahead stays within the window and a lot for each client, and a new
// client's lot is served within the time of that.
func TestClientsTakeTurns(t *testing.T) {
	for seed := range uint64(15) {
		rng := rand.New(rand.NewPCG(seed, 3))
		clients := []string{"a", "b", "c", "d"}[:1+rng.IntN(4)]
		window, size := 20+rng.IntN(200), 1+rng.IntN(30)
		ahead, order := map[string]int{}, []string{}
		var waiting []Batch
		late := -1 // when the new client's lot came
		for step := range 3000 {
			if rng.IntN(size) == 0 || step < 500 {
				waiting = append(waiting, Batch{clients[rng.IntN(len(clients))], size})
			}
			if step == 1500 {
				waiting, late = append(waiting, Batch{"new", size}), step
			}
			for {
				i := NextBatch(window, ahead, waiting)
				if i < 0 {
					break
				}
				l := waiting[i]
				waiting = append(waiting[:i:i], waiting[i+1:]...)
				ahead[l.Client] += l.Size
				for range l.Size {
					order = append(order, l.Client)
				}
			}
			if bound := window + (len(clients)+1)*size; len(order) > bound {
				t.Fatalf("seed %d: %d are ahead, at most %d", seed, len(order), bound)
			}
			if len(order) == 0 && len(waiting) > 0 {
				t.Fatalf("seed %d: idle while %d wait", seed, len(waiting))
			}
			if len(order) > 0 {
				c := order[0]
				order = order[1:]
				ahead[c]--
				if c == "new" && ahead[c] == 0 && late >= 0 {
					if took := step - late; took > window+(len(clients)+1)*size {
						t.Errorf("seed %d: the new client waited for %d steps, window %d", seed, took, window)
					}
					late = -1
				}
			}
		}
		if late >= 0 {
			t.Errorf("seed %d: the new client was never served", seed)
		}
	}
}

func TestMeter(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	if m.PerSecond(now) != 0 {
		t.Error("it has measured nothing yet")
	}
	for range 400 { // 20 s of 20 a second
		now = now.Add(50 * time.Millisecond)
		m.Add(now, 1)
	}
	if r := m.PerSecond(now); math.Abs(r-20) > 1 {
		t.Errorf("20 a second are %.1f", r)
	}
	if r := m.PerSecond(now.Add(time.Minute)); r > 0.01 {
		t.Errorf("a minute later %.2f", r)
	}
}
