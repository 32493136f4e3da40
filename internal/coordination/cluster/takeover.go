package cluster

func (j *Job) RequeueAll() {
	j.Pending = j.Pending[:0]
	if waiting := j.Spec.Tasks - j.DoneCount - len(j.LiveAttempts); cap(j.Pending) < waiting {
		j.Pending = make([]int, 0, waiting)
	}
	for t := range j.Spec.Tasks {
		if !j.TaskDone[t] && j.LiveAttempts[t] == nil {
			j.Pending = append(j.Pending, t)
		}
	}
}
