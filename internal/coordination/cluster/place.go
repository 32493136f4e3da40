package cluster

import (
	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/settings"
)

func TeamLimit(t settings.Team) binpack.Compute {
	return binpack.Compute{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}

// ZoneCounts counts where a job's tasks are.
func (j *Job) ZoneCounts() map[string]int {
	zones := map[string]int{}
	for _, a := range j.LiveAttempts {
		zones[a.Machine.Record.Zone]++
	}
	return zones
}

// HasImage says whether a machine has an image or is fetching it already.
func (m *Machine) HasImage(image string) bool {
	if _, ok := m.Images[image]; ok {
		return true
	}
	for _, a := range m.Attempts {
		if a.Live() && a.Job.Spec.Image == image {
			return true
		}
	}
	return false
}
