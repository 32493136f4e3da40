package main

import (
	"context"
	"fmt"
	"os"

	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
)

// cancelCmd cancels the named jobs.
type cancelCmd struct {
	IDs []string `arg:"" name:"id" help:"Job ids."`
}

// Help shows an example.
func (cancelCmd) Help() string {
	return "A job that has completed stays completed.\n\nExample:\n  micaspindlectl cancel job-17 job-18"
}

// Run cancels the jobs.
func (k *cancelCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var jobs []protocol.JobStatus
	for _, id := range k.IDs {
		st, err := cl.Cancel(ctx, id)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		jobs = append(jobs, st)
	}
	return c.printJobs(jobs)
}

// cancelAllCmd cancels every unfinished job of one identity.
type cancelAllCmd struct {
	By string `required:"" placeholder:"KIND/ID" help:"Identity that submitted the jobs."`
}

// Help describes the command and shows an example.
func (cancelAllCmd) Help() string {
	return "Cancels every unfinished job that an identity has submitted, on the queues that you\nadminister. Revoking an identity alone does not stop its jobs.\n\nExample:\n  micaspindlectl cancel-all --by person/anna"
}

// cancelAllView is the result as JSON.
type cancelAllView struct {
	By         string `json:"by"`
	Cancelled  int    `json:"withdrawn"`
	NotAllowed int    `json:"not_allowed"`
}

// Run repeats the request, which cancels a limited number of jobs, until no unfinished job remains.
func (k *cancelAllCmd) Run(ctx context.Context, c *cli) error {
	if _, err := identity.ParseName(k.By); err != nil {
		return usageError{err}
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	view := cancelAllView{By: k.By}
	for {
		var res protocol.CancelAllResult
		if err := cl.Do(ctx, "POST", "/withdrawals", protocol.CancelAll{SubmittedBy: k.By}, &res); err != nil {
			return err
		}
		view.Cancelled += res.Cancelled
		view.NotAllowed = res.NotAllowed
		if res.Remaining == 0 {
			return c.print(view, "BY\tCANCELLED\tNOT ALLOWED", [][]any{{view.By, view.Cancelled, view.NotAllowed}})
		}
		fmt.Fprintf(os.Stderr, "%d cancelled, %d left\n", view.Cancelled, res.Remaining)
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}
