package cluster

import (
	"slices"
)

func (m *Machine) SortedAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(m.Attempts))
	for _, a := range m.Attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *Attempt) int {
		if a.Job != b.Job {
			if a.Job.Spec.ID < b.Job.Spec.ID {
				return -1
			}
			return 1
		}
		return a.TaskIndex - b.TaskIndex
	})
	return list
}

// Attempts lists the live attempts of a job.
func (j *Job) Attempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.LiveAttempts))
	for _, a := range j.LiveAttempts {
		list = append(list, a)
	}
	return list
}

func (j *Job) Requeue(task int) { j.Pending = slices.Insert(j.Pending, 0, task) }
