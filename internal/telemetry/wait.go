package telemetry

// Wait is something that is waited for.
type Wait int

// The waits.
const (
	Submission   Wait = iota // a user's submission until it is answered
	Poll                     // a user's request for a job's status
	Cancellation             // a user's cancellation of a job
	Start                    // a task, from when its job could start until it runs
	Finish                   // a job, from its submission to its end
	Commit                   // a transaction of a partition leader
	Takeover                 // a partition, from when its lease was acquired until it is served
	waitCount
)

var waitNames = [waitCount]string{"submission", "poll", "withdrawal", "start", "finish", "commit", "takeover"}

// String is the wait's name, the label of its metric.
func (w Wait) String() string { return waitNames[w] }
