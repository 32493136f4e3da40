package recordset

import "testing"

func TestLag(t *testing.T) {
	var l Lag
	for i, c := range []struct {
		behindS         float64
		changed, behind bool
	}{{1, false, false}, {5.1, true, true}, {9, false, true}, {4, false, true}, {2.5, true, false}, {4, false, false}, {6, true, true}} {
		if changed, behind := l.Changed(c.behindS, 5); changed != c.changed || behind != c.behind {
			t.Errorf("call %d: Changed(%v, 5) = %v, %v, want %v, %v", i, c.behindS, changed, behind, c.changed, c.behind)
		}
	}
}
