package recordset

// Lag detects when a set falls behind the store and when it has caught up. The zero value stands for a
// set that is not behind.
type Lag struct{ behind bool }

// Changed updates the state with the lag of the set in seconds. The set falls behind when the lag
// exceeds the limit, and has caught up when the lag is half the limit or less. changed reports whether
// the state has changed since the last call; behind is the new state.
func (l *Lag) Changed(behindS, limitS float64) (changed, behind bool) {
	switch {
	case !l.behind && behindS > limitS:
		l.behind = true
		return true, true
	case l.behind && behindS <= limitS/2:
		l.behind = false
		return true, false
	}
	return false, l.behind
}
