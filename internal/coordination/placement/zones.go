package placement

// minSpreadZones is the minimum number of zones for the tasks of a job with Spread.
const minSpreadZones = 2

// ZoneAllowed reports whether a further task of a job may start in a zone. tasks is the job's total
// number of tasks; running counts the running ones by zone.
func ZoneAllowed(oneZone, spread bool, tasks int, running map[string]int, zone string) bool {
	if oneZone {
		for other, count := range running {
			if count > 0 && other != zone {
				return false
			}
		}
	}
	return !spread || running[zone] < SpreadLimit(tasks)
}

// SpreadLimit returns the maximum number of tasks in the same zone for a job with Spread. tasks is the
// job's total number of tasks.
func SpreadLimit(tasks int) int { return (tasks + minSpreadZones - 1) / minSpreadZones }
