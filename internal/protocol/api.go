package protocol

// Problem is the body of a response that refuses a request.
type Problem struct {
	Error string `msgpack:"error"`
}

// Reassignment is the body of POST /submissions/{id}/reassign, which submits the job again under
// another id, team or class.
type Reassignment struct {
	As    string `msgpack:"as"`
	Team  string `msgpack:"owner"`
	Class string `msgpack:"jobclass"`
}

// CancelAll is the body of POST /withdrawals, which cancels all jobs that one user has submitted.
type CancelAll struct {
	SubmittedBy string `msgpack:"by"`
}

// CancelAllResult is the response to a CancelAll: the numbers of jobs that were cancelled, that
// remain for the next request, and that the caller may not cancel.
type CancelAllResult struct {
	Cancelled  int `msgpack:"withdrawn"`
	Remaining  int `msgpack:"left"`
	NotAllowed int `msgpack:"not_allowed"`
}

// WhoAmI is a caller's name, method of authentication and permissions, in a response to the caller.
type WhoAmI struct {
	Name          string   `msgpack:"name"`
	How           string   `msgpack:"how"`
	Verbs         []string `msgpack:"verbs"`
	PolicyVersion uint64   `msgpack:"policy_version"`
}
