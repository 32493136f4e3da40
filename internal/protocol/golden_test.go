package protocol_test

import (
	"testing"

	"micaspindle/internal/golden"
	"micaspindle/internal/protocol"
)

// The messages to and from users, workers, the cloud and the state service stay as they are.
func TestGoldenMessages(t *testing.T) {
	for name, message := range map[string]any{
		"user-submission":    golden.Fill(&protocol.Submission{}),
		"user-job-status":    golden.Fill(&protocol.JobStatus{}),
		"user-problem":       golden.Fill(&protocol.Problem{}),
		"user-arguments":     golden.Fill(&protocol.Arguments{}),
		"user-reassignment":  golden.Fill(&protocol.Reassignment{}),
		"user-sweep":         golden.Fill(&protocol.CancelAll{}),
		"user-sweep-result":  golden.Fill(&protocol.CancelAllResult{}),
		"user-whoami":        golden.Fill(&protocol.WhoAmI{}),
		"worker-report":      golden.Fill(&protocol.Heartbeat{}),
		"worker-home":        golden.Fill(&protocol.AssignedController{}),
		"cloud-catalog":      golden.Fill(&protocol.Catalog{}),
		"cloud-rental":       golden.Fill(&protocol.CreateMachinesRequest{}),
		"cloud-names":        golden.Fill(&protocol.MachineNames{}),
		"cloud-list":         golden.Fill(&protocol.MachineList{}),
		"state-item":         golden.Fill(&protocol.Item{}),
		"state-item-list":    golden.Fill(&protocol.ItemList{}),
		"state-transaction":  golden.Fill(&protocol.Transaction{}),
		"state-result":       golden.Fill(&protocol.TransactionResult{}),
		"state-lease-ask":    golden.Fill(&protocol.LeaseRequest{}),
		"state-lease":        golden.Fill(&protocol.Lease{}),
		"state-events":       golden.Fill(&protocol.Events{}),
		"record-job":         golden.Fill(&protocol.JobSpec{}),
		"record-job-of-kind": golden.Fill(&protocol.JobKind{}),
	} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, message, golden.MessagePack) })
	}
}

// Orders are maps in any order; a start has no grace, so that each verb has its own file.
func TestGoldenOrders(t *testing.T) {
	sorted := golden.Codec{
		Marshal:   func(value any) ([]byte, error) { return golden.SortedKeys(protocol.Encode(value)) },
		Unmarshal: protocol.Decode,
	}
	orders := golden.Fill(&protocol.CommandBatch{})
	for i := range orders.Commands {
		orders.Commands[i].Op = protocol.OpStop
	}
	golden.Check(t, "worker-orders", orders, sorted)
	for _, verb := range []string{protocol.OpStart, protocol.OpForget} {
		command := golden.Fill(&protocol.Command{})
		command.Op = verb
		encoded, err := sorted.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		golden.Bytes(t, "worker-command-"+verb, encoded)
	}
}

// The words that fields hold are part of the protocol as their names are.
func TestGoldenWords(t *testing.T) {
	for _, word := range []struct{ name, got, want string }{
		{"job queued", protocol.StatusQueued, "queued"},
		{"job running", protocol.StatusRunning, "running"},
		{"job done", protocol.StatusDone, "done"},
		{"job withdrawn", protocol.StatusCancelled, "withdrawn"},
		{"task fetching", protocol.TaskFetching, "fetching"},
		{"task running", protocol.TaskRunning, "running"},
		{"task saving", protocol.TaskSaving, "flushing"},
		{"task ended", protocol.TaskEnded, "ended"},
		{"cause done", protocol.CauseDone, "done"},
		{"cause stopped", protocol.CauseStopped, "stopped"},
		{"cause error", protocol.CauseError, "error"},
		{"cause full", protocol.CauseFull, "full"},
		{"cause in use", protocol.CauseInUse, "in_use"},
		{"cause unknown", protocol.CauseUnknown, "unknown"},
		{"command start", protocol.OpStart, "start"},
		{"command stop", protocol.OpStop, "stop"},
		{"command forget", protocol.OpForget, "reap"},
		{"machine starting", protocol.MachineStarting, "starting"},
		{"machine running", protocol.MachineRunning, "running"},
		{"machine failed", protocol.MachineFailed, "failed"},
		{"task name", protocol.TaskName("job-7", 3), "job-7/3"},
	} {
		if word.got != word.want {
			t.Errorf("%s is %q, want %q", word.name, word.got, word.want)
		}
	}
	for word, want := range map[string]protocol.Urgency{"low": 0, "standard": 1, "high": 2, "production": 3} {
		submission := golden.Fill(&protocol.Submission{})
		*submission.ID, *submission.Shape, *submission.Urgency = "job-7", "batch", word
		if spec, err := submission.Check(); err != nil || spec.Urgency != want {
			t.Errorf("urgency %q is stored as %+v (%v), want %d", word, spec, err, want)
		}
	}
}
