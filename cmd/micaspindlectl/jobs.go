package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
)

// print writes rows as a table, or v as JSON.
func (c *cli) print(v any, header string, rows [][]any) error {
	if c.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if header != "" {
		fmt.Fprintln(w, header)
	}
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

type jobView struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func (c *cli) printJobs(jobs []protocol.JobStatus) error {
	views := []jobView{}
	var rows [][]any
	for _, st := range jobs {
		views = append(views, jobView{st.ID, st.Status, st.Done, st.Running})
		rows = append(rows, []any{st.ID, st.Status, st.Done, st.Running})
	}
	return c.print(views, "JOB\tSTATUS\tDONE\tRUNNING", rows)
}

type submitCmd struct {
	ID       string        `help:"Job id, job- and digits; default: a new one. Repeating a submission needs the same."`
	Team     string        `required:"" help:"Team whose guarantee and limit apply."`
	Class    string        `required:"" help:"Class of jobs that it belongs to."`
	Shape    string        `default:"batch" enum:"batch,standing,gang" help:"batch, standing or gang."`
	Urgency  string        `default:"standard" enum:"low,standard,high,production" help:"low, standard, high or production."`
	Tasks    int64         `default:"1" help:"Number of tasks."`
	CPUs     float64       `name:"cpus" default:"1" help:"CPUs of each task."`
	MemGB    float64       `name:"mem-gb" default:"1" help:"Memory of each task."`
	GPUs     float64       `name:"gpus" default:"0" help:"GPUs of each task."`
	Image    string        `default:"default" help:"Image that the tasks need."`
	ImageGB  float64       `name:"image-gb" default:"1" help:"Size of the image."`
	Types    []string      `name:"type" help:"Allowed machine types; default: any."`
	Zone     string        `help:"The only allowed zone."`
	OneZone  bool          `help:"All tasks in the same zone."`
	Spread   bool          `help:"At most half of the tasks in one zone."`
	Spot     bool          `default:"true" negatable:"" help:"May use spot machines."`
	Estimate time.Duration `default:"30s" help:"Estimated run time of a task."`
	Due      time.Duration `help:"When the job should be complete, from now."`
	After    []string      `help:"Jobs that must be done first."`
}

// Help shows examples.
func (submitCmd) Help() string {
	return "Examples:\n  micaspindlectl submit --team payments --class refund-batch --urgency high --tasks 8 --estimate 5s\n" +
		"  micaspindlectl submit --team payments --class payout-send --after job-17 --after job-18 -o json"
}

func (s *submitCmd) submission() (*protocol.Submission, error) {
	if s.ID == "" {
		n, err := rand.Int(rand.Reader, big.NewInt(1e18))
		if err != nil {
			return nil, err
		}
		s.ID = fmt.Sprintf("job-%018d", n)
	}
	estimate := s.Estimate.Seconds()
	zero := 0.0
	sub := &protocol.Submission{ID: &s.ID, Class: &s.Class, Team: &s.Team, Shape: &s.Shape, Urgency: &s.Urgency, Tasks: &s.Tasks,
		CPUs: &s.CPUs, GPUs: &s.GPUs, MemGB: &s.MemGB, Image: &s.Image, ImageGB: &s.ImageGB, Types: s.Types, OneZone: &s.OneZone,
		Spread: &s.Spread, Spot: &s.Spot, EstimateS: &estimate, CheckpointS: &zero, SaveS: &zero}
	if s.Zone != "" {
		sub.Zone = &s.Zone
	}
	if s.Due > 0 {
		due := s.Due.Seconds()
		sub.DeadlineS = &due
	}
	for i := range s.After {
		sub.Dependencies = append(sub.Dependencies, &s.After[i])
	}
	_, err := sub.Check()
	return sub, err
}

// Run submits the job.
func (s *submitCmd) Run(ctx context.Context, c *cli) error {
	sub, err := s.submission()
	if err != nil {
		return usageError{err}
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	st, err := cl.Submit(ctx, sub)
	if err != nil {
		return fmt.Errorf("%s: %w", s.ID, err)
	}
	return c.printJobs([]protocol.JobStatus{st})
}

type statusCmd struct {
	IDs  []string `arg:"" name:"id" help:"Jobs."`
	Wait bool     `help:"Wait until all are over; progress goes to standard error."`
}

// Help shows examples.
func (statusCmd) Help() string {
	return "Examples:\n  micaspindlectl status job-17\n  micaspindlectl status job-17 job-18 --wait -o json"
}

const pollEvery = time.Second

// Run shows the jobs' states.
func (s *statusCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var jobs []protocol.JobStatus
	said := ""
	for {
		jobs = jobs[:0]
		over := 0
		for _, id := range s.IDs {
			st, err := cl.Status(ctx, id)
			if err != nil {
				return fmt.Errorf("%s: %w", id, err)
			}
			jobs = append(jobs, st)
			if st.Ended() {
				over++
			}
		}
		if !s.Wait || over == len(jobs) {
			return c.printJobs(jobs)
		}
		text := ""
		for _, st := range jobs {
			text += fmt.Sprintf("  %s %s %d done %d running", st.ID, st.Status, st.Done, st.Running)
		}
		if text != said {
			fmt.Fprintln(os.Stderr, "waiting:"+text)
			said = text
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollEvery):
		}
	}
}

type withdrawCmd struct {
	IDs []string `arg:"" name:"id" help:"Jobs."`
}

// Help shows examples.
func (withdrawCmd) Help() string {
	return "A job that is done already stays done.\n\nExample:\n  micaspindlectl withdraw job-17 job-18"
}

// Run withdraws the jobs.
func (w *withdrawCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var jobs []protocol.JobStatus
	for _, id := range w.IDs {
		st, err := cl.Withdraw(ctx, id)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		jobs = append(jobs, st)
	}
	return c.printJobs(jobs)
}

type argumentsCmd struct {
	ID string `arg:"" help:"Job."`
}

// Help shows examples.
func (argumentsCmd) Help() string {
	return "Needs the right view-arguments on the job's queue; each look is recorded.\n\nExample:\n  micaspindlectl arguments job-17 -o json"
}

// Run shows what a job was submitted with.
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
	return c.print(args, "", [][]any{{"job", args.ID}, {"team", args.Team}, {"class", args.Class}, {"submitted", submitted}, {"by", orNone(args.By)},
		{"replaces", orNone(args.Replaces)}, {"urgency", args.Urgency}, {"tasks", args.Tasks}, {"cpus", args.CPUs}, {"memory", fmt.Sprintf("%g GB", args.MemGB)},
		{"image", fmt.Sprintf("%s, %g GB", args.Image, args.ImageGB)}, {"estimate", fmt.Sprintf("%g s", args.EstimateS)}, {"due", fmt.Sprintf("%g s", args.DeadlineS)},
		{"after", orNone(strings.Join(args.Dependencies, " "))}})
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

type reassignCmd struct {
	ID    string `arg:"" help:"Job; none of its tasks may have started."`
	As    string `required:"" help:"Id of the successor, job- and digits."`
	Team  string `required:"" help:"The new team."`
	Class string `help:"The new class; default: as it was."`
}

// Help shows examples.
func (reassignCmd) Help() string {
	return "In one step the job is withdrawn and its successor accepted in the other queue; it\nkeeps its submission time. Needs the right reassign on both queues.\n\nExample:\n  micaspindlectl reassign job-17 --as job-1017 --team payments"
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

type withdrawAllCmd struct {
	By string `required:"" placeholder:"KIND/ID" help:"Whose jobs."`
}

// Help shows examples.
func (withdrawAllCmd) Help() string {
	return "Withdraws every unfinished job that somebody has submitted, as far as you administer\nits queue. Jobs of a revoked identity go on until then.\n\nExample:\n  micaspindlectl withdraw-all --by person/anna"
}

type sweepView struct {
	By         string `json:"by"`
	Withdrawn  int    `json:"withdrawn"`
	NotAllowed int    `json:"not_allowed"`
}

// Run withdraws until nothing is left.
func (w *withdrawAllCmd) Run(ctx context.Context, c *cli) error {
	if _, err := identity.ParseName(w.By); err != nil {
		return usageError{err}
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	view := sweepView{By: w.By}
	for {
		var res protocol.SweepResult
		if err := cl.Do(ctx, "POST", "/withdrawals", protocol.Sweep{By: w.By}, &res); err != nil {
			return err
		}
		view.Withdrawn += res.Withdrawn
		view.NotAllowed = res.NotAllowed
		if res.Left == 0 {
			return c.print(view, "BY\tWITHDRAWN\tNOT ALLOWED", [][]any{{view.By, view.Withdrawn, view.NotAllowed}})
		}
		fmt.Fprintf(os.Stderr, "%d withdrawn, %d left\n", view.Withdrawn, res.Left)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollEvery):
		}
	}
}
