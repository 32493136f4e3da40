package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/client"
	"micaspindle/internal/gate/inspection"
	"micaspindle/internal/identity"
)

// gatesFlag says where the gates are.
type gatesFlag struct {
	Gates string `env:"SPINDLE_GATES" placeholder:"HOST:PORT,..." help:"Addresses of gates."`
}

func (f *gatesFlag) addresses() ([]string, error) {
	list := client.SplitAddresses(f.Gates)
	if len(list) == 0 {
		return nil, usageError{errors.New("no gates: give --gates or set SPINDLE_GATES")}
	}
	return list, nil
}

// dial connects to gates as the caller.
func (c *Connection) dial(gates ...string) (*grpc.ClientConn, error) {
	secure, token, err := c.proof().Load(func(n identity.Name) bool { return n.Kind == identity.Service })
	if err != nil {
		return nil, usageError{err}
	}
	conn, err := buildtool.Dial(gates, secure, token)
	if err != nil {
		return nil, usageError{err}
	}
	return conn, nil
}

// gateFailure gives a gate's refusal the exit code of the controllers' own.
func gateFailure(gate string, err error) error {
	s := status.Convert(err)
	reason := fmt.Sprintf("gate %s: %s", gate, s.Message())
	switch s.Code() {
	case codes.Unauthenticated:
		return &client.Refusal{Status: 401, Reason: reason}
	case codes.PermissionDenied:
		return &client.Refusal{Status: 403, Reason: reason}
	case codes.NotFound:
		return &client.Refusal{Status: 404, Reason: reason}
	case codes.InvalidArgument:
		return usageError{errors.New(reason)}
	case codes.Unavailable, codes.DeadlineExceeded:
		return fmt.Errorf("%w: %s", client.ErrUnanswered, reason)
	}
	return errors.New(reason)
}

type cacheCmd struct{ gatesFlag }

// Help shows examples.
func (cacheCmd) Help() string {
	return "What gates hold: of the teams that you may view, and of a gate as a whole if these are all.\n\n" +
		"Examples:\n  micaspindlectl cache --gates 10.0.0.7:8980,10.0.0.8:8980\n  micaspindlectl cache -o json"
}

// gateView is a gate as JSON.
type gateView struct {
	Gate   string                 `json:"gate"`
	Teams  []*inspection.Team     `json:"teams"`
	Totals *inspection.Totals     `json:"totals,omitempty"`
	Error  string                 `json:"error,omitempty"`
	reply  *inspection.StoreReply `json:"-"`
}

// Run asks each gate. One that does not answer is told beside the others.
func (f *cacheCmd) Run(ctx context.Context, c *cli) error {
	gates, err := f.addresses()
	if err != nil {
		return err
	}
	var views []*gateView
	var failed error
	for _, gate := range gates {
		v := &gateView{Gate: gate}
		views = append(views, v)
		conn, err := c.dial(gate)
		if err != nil {
			return err
		}
		once, cancel := context.WithTimeout(ctx, min(c.Patience, 5*time.Second))
		v.reply, err = inspection.NewInspectionClient(conn).GetStore(once, &inspection.StoreRequest{})
		cancel()
		_ = conn.Close()
		if err != nil {
			failed = errors.Join(failed, gateFailure(gate, err))
			v.Error = status.Convert(err).Message()
			continue
		}
		v.Teams, v.Totals = v.reply.GetTeams(), v.reply.GetTotals()
	}
	if c.Output == "json" {
		return errors.Join(c.print(views, "", nil), failed)
	}
	var teams, totals [][]any
	for _, v := range views {
		for _, t := range v.Teams {
			share := "-"
			if t.Quota > 0 {
				share = fmt.Sprintf("%.0f %%", 100*float64(t.Bytes)/float64(t.Quota))
			}
			teams = append(teams, []any{v.Gate, t.Name, strings.Join(quoted(t.Instances), " "), t.Blobs, size(t.Bytes), share, size(t.Promised), size(t.Pinned), t.WaitingActions, t.WaitingCalls})
		}
		if t := v.Totals; t != nil {
			r := t.GetRepair()
			gone := orNone(strings.Join(r.GetGone(), " "))
			totals = append(totals, []any{v.Gate, size(t.Bytes), size(t.MaxBytes), t.Evicted, t.Corrupt, t.ShortCopies, t.Jobs, t.Actions, t.CallsRefused + t.TransfersRefused,
				fmt.Sprintf("%d/%d", r.GetDone(), r.GetOf()), r.GetCopied(), r.GetRestored(), gone})
		}
	}
	if len(teams) > 0 {
		if err := c.print(nil, "GATE\tTEAM\tINSTANCES\tBLOBS\tHELD\tOF QUOTA\tPROMISED\tPINNED\tACTIONS WAIT\tCALLS WAIT", teams); err != nil {
			return err
		}
	}
	if len(totals) > 0 {
		fmt.Println()
		if err := c.print(nil, "GATE\tHELD\tOF\tEVICTED\tCORRUPT\tSHORT\tJOBS\tACTIONS\tREFUSED\tREPAIR\tCOPIED\tRESTORED\tGONE", totals); err != nil {
			return err
		}
	}
	return failed
}

func quoted(names []string) []string {
	var out []string
	for _, n := range names {
		out = append(out, strconv.Quote(n))
	}
	return out
}

// size is a number of bytes as people read it.
func size(n int64) string {
	for _, u := range []struct {
		least float64
		name  string
	}{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}} {
		if float64(n) >= u.least {
			return fmt.Sprintf("%.1f %s", float64(n)/u.least, u.name)
		}
	}
	return fmt.Sprintf("%d B", n)
}

type actionCmd struct {
	gatesFlag
	Instance string `help:"Instance name, with an action's digest."`
	Action   string `arg:"" help:"An operation's name, or an action's digest: HASH/SIZE."`
}

// Help shows examples.
func (actionCmd) Help() string {
	return "What an action waits for, its job and task, and its result.\n\n" +
		"Examples:\n  micaspindlectl action operations/job-.../0/...\n  micaspindlectl action --instance refunds 44136fa3.../148 -o json"
}

type actionView struct {
	State     string             `json:"state"`
	WaitsFor  string             `json:"waits_for,omitempty"`
	Operation string             `json:"operation,omitempty"`
	Job       string             `json:"job,omitempty"`
	Task      int64              `json:"task"`
	JobState  string             `json:"job_state,omitempty"`
	Cached    bool               `json:"cached"`
	Result    *inspection.Result `json:"result,omitempty"`
}

// Run asks any gate.
func (a *actionCmd) Run(ctx context.Context, c *cli) error {
	gates, err := a.addresses()
	if err != nil {
		return err
	}
	req := &inspection.ActionRequest{Name: a.Action}
	if !strings.HasPrefix(a.Action, "operations/") {
		hash, number, ok := strings.Cut(a.Action, "/")
		n, err := strconv.ParseInt(number, 10, 64)
		if !ok || err != nil {
			return usageError{fmt.Errorf("%q is neither an operation's name nor HASH/SIZE", a.Action)}
		}
		req = &inspection.ActionRequest{Instance: a.Instance, Hash: hash, SizeBytes: n}
	}
	conn, err := c.dial(gates...)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // the process ends
	ctx, cancel := context.WithTimeout(ctx, min(c.Patience, 10*time.Second))
	defer cancel()
	r, err := inspection.NewInspectionClient(conn).GetAction(ctx, req)
	if err != nil {
		return gateFailure(a.Gates, err)
	}
	v := actionView{r.GetState(), r.GetWaitsFor(), r.GetOperation(), r.GetJob(), r.GetTask(), r.GetJobState(), r.GetCached(), r.GetResult()}
	if c.Output == "json" {
		return c.print(v, "", nil)
	}
	rows := [][]any{{"state", v.State}}
	add := func(name, value string) {
		if value != "" {
			rows = append(rows, []any{name, value})
		}
	}
	add("waits for", v.WaitsFor)
	if v.Job != "" {
		add("task", fmt.Sprintf("%s/%d, whose job is %s", v.Job, v.Task, v.JobState))
	}
	add("operation", v.Operation)
	add("in the cache", map[bool]string{true: "yes", false: "no"}[v.Cached])
	if res := v.Result; res != nil {
		add("exit code", fmt.Sprint(res.ExitCode))
		add("failure", res.Failure)
		add("outputs", strings.Join(res.Outputs, " "))
		add("ran on", res.Worker)
		add("took", fmt.Sprintf("fetch %.3f s, run %.3f s, upload %.3f s", res.FetchS, res.RunS, res.UploadS))
	}
	return c.print(v, "", rows)
}
