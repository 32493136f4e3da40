package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"math/big"
	"time"

	"micaspindle/internal/protocol"
)

// submitCmd submits one job.
type submitCmd struct {
	ID       string        `help:"Job id: job- and digits; default: a random one. With the same id, a repeated submission is idempotent."`
	Team     string        `required:"" help:"Team whose quota (guarantee and limit) the job counts against."`
	Class    string        `required:"" help:"Job class."`
	Shape    string        `default:"batch" enum:"batch,standing,gang" help:"How tasks run: batch (independently), standing (a service that stays up) or gang (all at once or none)."`
	Urgency  string        `default:"standard" enum:"low,standard,high,production" help:"Priority: low, standard, high or production."`
	Tasks    int64         `default:"1" help:"Number of tasks."`
	CPUs     float64       `name:"cpus" default:"1" help:"CPUs per task."`
	MemGB    float64       `name:"mem-gb" default:"1" help:"Memory per task, in GB."`
	GPUs     float64       `name:"gpus" default:"0" help:"GPUs per task."`
	Image    string        `default:"default" help:"Container image of the tasks."`
	ImageGB  float64       `name:"image-gb" default:"1" help:"Size of the image, in GB."`
	Types    []string      `name:"type" help:"Allowed machine types; default: any."`
	Zone     string        `help:"Run only in this zone."`
	OneZone  bool          `help:"Run all tasks in the same zone."`
	Spread   bool          `help:"Run at most half of the tasks in any one zone."`
	Spot     bool          `default:"true" negatable:"" help:"Allow spot (preemptible) machines."`
	Estimate time.Duration `default:"30s" help:"Estimated run time of a task."`
	Due      time.Duration `help:"Deadline, counted from now."`
	After    []string      `help:"Jobs that must complete first (dependencies)."`
}

// Help shows examples.
func (submitCmd) Help() string {
	return "Examples:\n  micaspindlectl submit --team payments --class refund-batch --urgency high --tasks 8 --estimate 5s\n" +
		"  micaspindlectl submit --team payments --class payout-send --after job-17 --after job-18 -o json"
}

// submission returns the request that the flags describe, after the same validation as in the
// controller.
func (s *submitCmd) submission() (*protocol.Submission, error) {
	if s.ID == "" {
		id, err := newJobID()
		if err != nil {
			return nil, err
		}
		s.ID = id
	}
	estimate := s.Estimate.Seconds()
	zero := 0.0
	sub := &protocol.Submission{ID: &s.ID, Class: &s.Class, Team: &s.Team, Shape: &s.Shape, Urgency: &s.Urgency, Tasks: &s.Tasks,
		CPUs: &s.CPUs, GPUs: &s.GPUs, MemGB: &s.MemGB, Image: &s.Image, ImageGB: &s.ImageGB, Types: s.Types, OneZone: &s.OneZone,
		Spread: &s.Spread, Spot: &s.Spot, EstimateS: &estimate, CheckpointIntervalS: &zero, CheckpointDurationS: &zero}
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

// newJobID returns a random job id.
func newJobID() (string, error) {
	n, err := rand.Int(rand.Reader, big.NewInt(1e18))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("job-%018d", n), nil
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
