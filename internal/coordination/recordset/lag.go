package recordset

// Lag tells when a set falls behind the store and when it has caught up, once each. Its zero value
// is not behind.
type Lag struct{ behind bool }

// Changed takes in for how many seconds the set has been behind. changed says that it has fallen
// behind, at more than the limit, or caught up, at half of it, since the last call.
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
