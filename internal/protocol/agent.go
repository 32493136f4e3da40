package protocol

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Heartbeat is an agent's report on its machine: the body of POST /checkin and of the responses to
// /orders and /show. Epoch identifies the agent's incarnation, Sequence is the number of the
// heartbeat, and Token is the highest fencing token that the agent has received.
type Heartbeat struct {
	Machine           string       `msgpack:"host"`
	Addr              string       `msgpack:"endpoint"`
	Type              string       `msgpack:"box"`
	Zone              string       `msgpack:"locale"`
	Spot              bool         `msgpack:"loaners"`
	Epoch             uint64       `msgpack:"tenure"`
	Sequence          uint64       `msgpack:"tick"`
	Token             uint64       `msgpack:"mandate"`
	PreemptionNoticeS *float64     `msgpack:"warning_s"`
	Tasks             []TaskReport `msgpack:"pieces"`
}

// TaskReport is the state of one attempt in a heartbeat.
type TaskReport struct {
	Task         string `msgpack:"piece"`
	Attempt      uint64 `msgpack:"try"`
	State        string `msgpack:"status"`
	Cause        string `msgpack:"cause"`
	Checkpointed bool   `msgpack:"kept"`
}

// The states of an attempt and the causes of its end.
const (
	TaskFetching      = "fetching"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskEnded         = "ended"

	CauseDone        = "done"
	CauseStopped     = "stopped"
	CauseError       = "error"
	CauseFull        = "full"
	CauseTaskInUse   = "in_use"
	CauseUnknownTask = "unknown"
)

// Check returns an error that names the first invalid field, nil if the heartbeat is valid.
func (h *Heartbeat) Check() error {
	switch {
	case h.Machine == "" || len(h.Machine) > maxText || strings.ContainsAny(h.Machine, " /"):
		return invalid("host")
	case h.Epoch == 0:
		return missing("tenure")
	case h.PreemptionNoticeS != nil && !isFinite(*h.PreemptionNoticeS):
		return invalid("warning_s")
	}
	return nil
}

// Command is an operation on one attempt, which an agent carries out.
type Command struct {
	Op      string  `msgpack:"verb"`
	Task    string  `msgpack:"piece"`
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"wind_down_s"`
}

// EncodeMsgpack encodes the grace period only if the command is a stop.
func (c *Command) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := map[string]any{"verb": c.Op, "piece": c.Task, "try": c.Attempt}
	if c.Op == OpStop {
		fields["wind_down_s"] = c.GraceS
	}
	return enc.EncodeMap(fields)
}

// The operations of commands. OpForget removes an ended attempt from the agent's heartbeats.
const (
	OpStart  = "start"
	OpStop   = "stop"
	OpForget = "reap"
)

// CommandBatch holds commands for an agent and the sender's fencing token. It is the body of POST
// /orders and, without an epoch, the response to a heartbeat.
type CommandBatch struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"tenure,omitempty"`
	Commands []Command `msgpack:"orders"`
}

// AssignedController names the controller that answers an agent's heartbeats.
type AssignedController struct {
	Controller string `msgpack:"home,omitempty"`
}
