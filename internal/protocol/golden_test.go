package protocol_test

import (
	"testing"

	"micaspindle/internal/golden"
	"micaspindle/internal/protocol"
)

// Guards the encoding of messages exchanged with users, agents, the cloud and the state store.
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
		"record-job-of-kind": golden.Fill(&protocol.JobClassAndTeam{}),
	} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, message, golden.MessagePack) })
	}
}

// Guards the encoding of commands. They are maps, whose keys are sorted for the comparison. Only
// stops have a grace period, so the other operations have golden files of their own.
func TestGoldenCommands(t *testing.T) {
	sorted := golden.Codec{
		Marshal:   func(value any) ([]byte, error) { return golden.SortMapKeys(protocol.Encode(value)) },
		Unmarshal: protocol.Decode,
	}
	batch := golden.Fill(&protocol.CommandBatch{})
	for i := range batch.Commands {
		batch.Commands[i].Op = protocol.OpStop
	}
	golden.Check(t, "worker-orders", batch, sorted)
	for _, op := range []string{protocol.OpStart, protocol.OpForget} {
		command := golden.Fill(&protocol.Command{})
		command.Op = op
		encoded, err := sorted.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		golden.CheckBytes(t, "worker-command-"+op, encoded)
	}
}

// Guards the values of string constants on the wire.
func TestWireConstants(t *testing.T) {
	for _, constant := range []struct{ name, got, want string }{
		{"job queued", protocol.StatusQueued, "queued"},
		{"job running", protocol.StatusRunning, "running"},
		{"job done", protocol.StatusDone, "done"},
		{"job withdrawn", protocol.StatusCancelled, "withdrawn"},
		{"task fetching", protocol.TaskFetching, "fetching"},
		{"task running", protocol.TaskRunning, "running"},
		{"task saving", protocol.TaskCheckpointing, "flushing"},
		{"task ended", protocol.TaskEnded, "ended"},
		{"cause done", protocol.CauseDone, "done"},
		{"cause stopped", protocol.CauseStopped, "stopped"},
		{"cause error", protocol.CauseError, "error"},
		{"cause full", protocol.CauseFull, "full"},
		{"cause in use", protocol.CauseTaskInUse, "in_use"},
		{"cause unknown", protocol.CauseUnknownTask, "unknown"},
		{"command start", protocol.OpStart, "start"},
		{"command stop", protocol.OpStop, "stop"},
		{"command forget", protocol.OpForget, "reap"},
		{"machine starting", protocol.MachineStarting, "starting"},
		{"machine running", protocol.MachineRunning, "running"},
		{"machine failed", protocol.MachineFailed, "failed"},
		{"task name", protocol.TaskName("job-7", 3), "job-7/3"},
	} {
		if constant.got != constant.want {
			t.Errorf("%s is %q, want %q", constant.name, constant.got, constant.want)
		}
	}
	for name, want := range map[string]protocol.Urgency{"low": 0, "standard": 1, "high": 2, "production": 3} {
		submission := golden.Fill(&protocol.Submission{})
		*submission.ID, *submission.Shape, *submission.Urgency = "job-7", "batch", name
		if spec, err := submission.Check(); err != nil || spec.Urgency != want {
			t.Errorf("urgency %q is decoded as %+v (error %v), want %d", name, spec, err, want)
		}
	}
}
