package placement

// spreadZones is over how many zones the tasks of a job with Spread run at least.
const spreadZones = 2

// ZoneOpen reports whether one more of so many tasks may start in a zone, given how many of
// the others run in which zones.
func ZoneOpen(oneZone, spread bool, tasks int, running map[string]int, zone string) bool {
	if oneZone {
		for other, count := range running {
			if count > 0 && other != zone {
				return false
			}
		}
	}
	return !spread || running[zone] < SpreadLimit(tasks)
}

// SpreadLimit is how many of so many tasks may be in one zone when they are to be spread.
func SpreadLimit(tasks int) int { return (tasks + spreadZones - 1) / spreadZones }
