package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"micaspindle/internal/reapi/inspection"
)

// actionCmd shows the state of one build action.
type actionCmd struct {
	frontendsFlag
	Instance string `help:"Instance name, if the action is given by digest."`
	Action   string `arg:"" help:"Operation name, or action digest: HASH/SIZE."`
}

// Help describes the output and shows examples.
func (actionCmd) Help() string {
	return "Shows what the action waits for, its job and task, and its result.\n\n" +
		"Examples:\n  micaspindlectl action operations/job-.../0/...\n  micaspindlectl action --instance refunds 44136fa3.../148 -o json"
}

// actionView is the state of an action as JSON.
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

// actionTimeout is the timeout of the request for one action.
const actionTimeout = 10 * time.Second

// Run requests the action's state from one of the front ends and prints it.
func (a *actionCmd) Run(ctx context.Context, c *cli) error {
	addresses, err := a.addresses()
	if err != nil {
		return err
	}
	request, err := a.request()
	if err != nil {
		return err
	}
	conn, err := c.dialFrontends(addresses...)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // nothing is written
	ctx, cancel := context.WithTimeout(ctx, min(c.Patience, actionTimeout))
	defer cancel()
	r, err := inspection.NewInspectionClient(conn).GetAction(ctx, request)
	if err != nil {
		return frontendFailure(a.Frontends, err)
	}
	view := actionView{r.GetState(), r.GetWaitsFor(), r.GetOperation(), r.GetJob(), r.GetTask(), r.GetJobState(), r.GetCached(), r.GetResult()}
	return c.print(view, "", view.rows())
}

// request returns a request that names the action by operation, or by instance and digest.
func (a *actionCmd) request() (*inspection.ActionRequest, error) {
	if strings.HasPrefix(a.Action, "operations/") {
		return &inspection.ActionRequest{Name: a.Action}, nil
	}
	hash, size, found := strings.Cut(a.Action, "/")
	bytes, err := strconv.ParseInt(size, 10, 64)
	if !found || err != nil {
		return nil, usageError{fmt.Errorf("%q is neither an operation name nor HASH/SIZE", a.Action)}
	}
	return &inspection.ActionRequest{Instance: a.Instance, Hash: hash, SizeBytes: bytes}, nil
}

// rows returns the rows of the table, without those that have no value.
func (v *actionView) rows() [][]any {
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
	if result := v.Result; result != nil {
		add("exit code", fmt.Sprint(result.ExitCode))
		add("failure", result.Failure)
		add("outputs", strings.Join(result.Outputs, " "))
		add("ran on", result.Worker)
		add("took", fmt.Sprintf("fetch %.3f s, run %.3f s, upload %.3f s", result.FetchS, result.RunS, result.UploadS))
	}
	return rows
}
