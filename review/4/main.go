// Command 4 is the test of case 4 of the review: a worker whose report reached the new leader of its partition, but not the
// answer back, goes on with the former one. The new leader gives its tasks to another machine while they run.
package main

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
	"micaspindle/review/rig2"
)

const (
	team      = "placements-desk-03"
	neighbour = "job-000398"
	job       = "job-000412"
	task      = job + "/0"
	// runS is how long a task runs: longer than the run of the test.
	runS = 300
	// hangFor is how long the machine hangs, cutFor how long its network to one controller is interrupted.
	hangFor = 5 * time.Second
	cutFor  = 2 * time.Second
	// patience is how long the case watches after the state service begins to refuse the leader.
	patience = 40 * time.Second
)

func main() { rig2.Main(play) }

func play(ctx context.Context, c *rig2.Case) error {
	site, err := c.StartSite(runS)
	if err != nil {
		return err
	}
	users := site.Client()
	// Another job has a task on each of two machines, which leaves room for the task on both.
	other := rig2.Job(neighbour, "placement-match", team, 2, runS)
	other.CPUs = new(10.0)
	if err := run(ctx, c, users, other); err != nil {
		return err
	}
	submission := rig2.Job(job, "applicant-verify", team, 1, runS)
	submission.CPUs = new(4.0)
	if err := run(ctx, c, users, submission); err != nil {
		return err
	}
	machine := site.MachineWith(task)
	partition := site.PartitionOf(job)
	leader := site.Leader(partition)
	c.Note("%s runs on %s; %s leads the partition", task, machine.Name, leader)
	// Until the worker reports to the leader, and a replica has been made.
	for begun := time.Now(); machine.ReportsTo() != leader || time.Since(begun) < 8*time.Second; {
		if err := rig2.Sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	if c.Trouble {
		if err := trouble(ctx, c, site, machine, leader); err != nil {
			return err
		}
	}
	for begun := time.Now(); time.Since(begun) < patience; {
		if err := rig2.Sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
		if doubles := site.Doubles(); len(doubles) > 0 {
			for _, text := range doubles {
				c.Broken("ran_twice: %s", text)
			}
			return nil
		}
	}
	c.Note("%s leads the partition", site.Leader(partition))
	if machine.Pending() > 0 {
		return errors.New("the troubles did not come as planned: another controller took over")
	}
	return nil
}

// run submits a job and waits until all its tasks run.
func run(ctx context.Context, c *rig2.Case, users *client.Client, submission *protocol.Submission) error {
	status, err := users.Submit(ctx, submission)
	c.Note("a user submits %s: %+v %v", *submission.ID, status, err)
	for err == nil && int64(status.Running) < *submission.Tasks {
		if err = rig2.Sleep(ctx, 200*time.Millisecond); err == nil {
			status, err = users.Status(ctx, *submission.ID)
		}
	}
	return err
}

// trouble lets the state service refuse the leader alone, and the machine hang twice.
func trouble(ctx context.Context, c *rig2.Case, site *rig2.Site, machine *rig2.Machine, leader string) error {
	var order []string
	for _, sameZone := range []bool{true, false} {
		for _, node := range site.Nodes {
			if node.Label != leader && (node.Zone == zoneOf(site, leader)) == sameZone {
				order = append(order, node.Label)
			}
		}
	}
	if len(order) != 2 {
		return errors.New("the site has other controllers than expected")
	}
	next := order[1]
	// Between two reports, so that the next one is sent before the leader's lease has run out.
	for renewed := machine.LeaseRenewed(); machine.LeaseRenewed().Equal(renewed); {
		if err := rig2.Sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	machine.Expect(append([]string{leader}, order...), rig2.Trouble{To: leader, For: hangFor}, rig2.Trouble{To: next, For: cutFor, Cut: true})
	c.Note("the state service refuses %s alone", leader)
	site.Refuse(leader, true)
	return nil
}

func zoneOf(site *rig2.Site, label string) string {
	for _, node := range site.Nodes {
		if node.Label == label {
			return node.Zone
		}
	}
	return ""
}
