package telemetry

// Wait is a kind of wait that is measured.
type Wait int

// The kinds of waits, with the interval that each of them measures.
const (
	Submission   Wait = iota // a user's submission, until the response
	Poll                     // a user's request for the status of a job, until the response
	Cancellation             // a user's cancellation of a job, until the response
	Start                    // a task, from the time at which its job could start until it runs
	Finish                   // a job, from its submission to its end
	Commit                   // a transaction of a partition leader
	Takeover                 // a partition, from the acquisition of its lease until it is ready
	waitCount
)

var waitNames = [waitCount]string{"submission", "poll", "withdrawal", "start", "finish", "commit", "takeover"}

// String returns the name of the wait, which is the label of its metric.
func (w Wait) String() string { return waitNames[w] }
