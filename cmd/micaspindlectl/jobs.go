package main

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"micaspindle/internal/protocol"
)

// jobView is the state of a job as JSON.
type jobView struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// printJobs shows the states of jobs.
func (c *cli) printJobs(jobs []protocol.JobStatus) error {
	views := []jobView{}
	var rows [][]any
	for _, st := range jobs {
		views = append(views, jobView{st.ID, st.Status, st.Done, st.Running})
		rows = append(rows, []any{st.ID, st.Status, st.Done, st.Running})
	}
	return c.print(views, "JOB\tSTATUS\tDONE\tRUNNING", rows)
}

// argumentsCmd shows the specification that a job was submitted with.
type argumentsCmd struct {
	ID string `arg:"" help:"Job id."`
}

// Help describes the command and shows an example.
func (argumentsCmd) Help() string {
	return "Needs the right view-arguments on the job's queue. Each request is recorded in the audit log.\n\nExample:\n  micaspindlectl arguments job-17 -o json"
}

// Run shows the specification of a job.
func (a *argumentsCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var args protocol.Arguments
	if err := cl.Do(ctx, "GET", "/submissions/"+url.PathEscape(a.ID)+"/arguments", nil, &args); err != nil {
		return fmt.Errorf("%s: %w", a.ID, err)
	}
	submitted := time.UnixMilli(args.SubmittedMS).UTC().Format(time.RFC3339)
	return c.print(args, "", [][]any{{"job", args.ID}, {"team", args.Team}, {"class", args.Class}, {"submitted", submitted}, {"by", orNone(args.SubmittedBy)},
		{"replaces", orNone(args.Replaces)}, {"urgency", args.Urgency}, {"tasks", args.Tasks}, {"cpus", args.CPUs}, {"memory", fmt.Sprintf("%g GB", args.MemGB)},
		{"image", fmt.Sprintf("%s, %g GB", args.Image, args.ImageGB)}, {"estimate", fmt.Sprintf("%g s", args.EstimateS)}, {"due", fmt.Sprintf("%g s", args.DeadlineS)},
		{"after", orNone(strings.Join(args.Dependencies, " "))}})
}

// reassignCmd moves a job that has not started to another queue.
type reassignCmd struct {
	ID    string `arg:"" help:"Id of a job of which no task has started."`
	As    string `required:"" help:"Id of the new job: job- and digits."`
	Team  string `required:"" help:"The new team."`
	Class string `help:"The new class; default: the present one."`
}

// Help describes the command and shows an example.
func (reassignCmd) Help() string {
	return "Cancels the job and submits its successor to the other queue in one transaction. The\nsubmission time is kept. Needs the right reassign on both queues.\n\nExample:\n  micaspindlectl reassign job-17 --as job-1017 --team payments"
}

// Run moves a job to another queue.
func (r *reassignCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var st protocol.JobStatus
	err = cl.Do(ctx, "POST", "/submissions/"+url.PathEscape(r.ID)+"/reassign", protocol.Reassignment{As: r.As, Team: r.Team, Class: r.Class}, &st)
	if err != nil {
		return fmt.Errorf("%s: %w", r.ID, err)
	}
	return c.printJobs([]protocol.JobStatus{st})
}
