package telemetry

// Wait is a kind of wait that is measured.
type Wait int

// The waits, with what each of them measures.
const (
	Submission   Wait = iota // a user's submission, until it is answered
	Poll                     // a user's request for the status of a job, until it is answered
	Cancellation             // a user's cancellation of a job, until it is answered
	Start                    // a task, from when its job could start to when it runs
	Finish                   // a job, from its submission to its end
	Commit                   // a transaction of a partition leader
	Takeover                 // a partition, from when its lease was acquired to when it is ready
	waitCount
)

var waitNames = [waitCount]string{"submission", "poll", "withdrawal", "start", "finish", "commit", "takeover"}

// String returns the name of the wait, which is the label of its metric.
func (w Wait) String() string { return waitNames[w] }
