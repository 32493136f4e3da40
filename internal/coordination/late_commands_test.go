package coordination

import (
	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/coordination/cluster"

	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// A start that is held up while its job is cancelled: the token is raised before the start
// comes, so that it is refused, whoever owns the part by then (9, 50, 51). Without the state
// service no token can be raised; then the task is stopped as soon as it shows.
func TestLateStartsOfCancelledJobsAreKeptOut(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// fencesToo: half of the orders that only tell the token are held up as well.
		fencesToo bool
		// cancelAfter is how long after the start was sent its job is cancelled.
		cancelAfter time.Duration
		takeover    bool
		hang        time.Duration
		outage      bool
		carried     bool
		// mute machines reach no controller, so that only direct commands tell them the token.
		mute bool
		late time.Duration
	}{
		{name: "at once", cancelAfter: 50 * time.Millisecond, late: 2 * time.Second},
		{name: "just before it comes", cancelAfter: 1500 * time.Millisecond, late: 2 * time.Second},
		{name: "much later", cancelAfter: 200 * time.Millisecond, late: 16 * time.Second},
		{name: "fences are held up too", cancelAfter: 100 * time.Millisecond, late: 2 * time.Second, fencesToo: true},
		{name: "machines reach nobody", cancelAfter: 100 * time.Millisecond, late: 2 * time.Second, mute: true},
		{name: "takeover", cancelAfter: 100 * time.Millisecond, late: 9 * time.Second, takeover: true},
		{name: "machines hang", cancelAfter: 100 * time.Millisecond, late: 3 * time.Second, hang: 4 * time.Second},
		{name: "by way of carriers", cancelAfter: 100 * time.Millisecond, late: 3 * time.Second, carried: true},
		{name: "outage", cancelAfter: 100 * time.Millisecond, late: 3 * time.Second, outage: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			prepare := func(w *world) {
				w.cloud.Capacity = 16
				if tc.carried {
					crowded(w)
				}
			}
			simulatePrepared(t, 501, prepare, func(w *world) {
				if tc.carried {
					w.flock(8)
				} else {
					time.Sleep(2 * time.Second)
					w.longJobs(3, 4, "green", 20*time.Second)
					time.Sleep(25 * time.Second) // machines are up and idle
				}
				part := w.partOf("green")
				owner := w.owns(part)
				w.locked(func() {
					w.runTime = func(string, int, string) time.Duration { return 30 * time.Second }
					w.lateCommands = &lateCommands{share: 1, verb: protocol.OpStart, after: tc.late}
				})
				s := spec("job-900", 4, "green")
				s.DeadlineS, s.CPUs, s.Urgency = 0, 2, protocol.Production
				if tc.carried {
					s.Tasks = 40
				}
				w.submit(s)
				sent := w.awaitStarts(owner, s.ID)
				for tc.carried && w.metTimes("held up from "+w.others(owner)[0])+w.metTimes("held up from "+w.others(owner)[1]) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(tc.cancelAfter)
				if tc.outage {
					defer w.outage(false)
				}
				if tc.mute {
					w.locked(func() {
						w.mute = map[string]bool{}
						for _, m := range sent {
							w.mute[m] = true
						}
					})
				}
				if tc.hang > 0 {
					for _, m := range sent {
						w.hang(m, tc.hang)
					}
				}
				w.locked(func() {
					if w.lateCommands = nil; tc.fencesToo {
						w.lateCommands = &lateCommands{share: 0.5, verb: fenceVerb}
					}
				})
				if !w.withdrawAt(w.others(owner)[0], s.ID) {
					t.Fatal("not withdrawn")
				}
				if tc.outage {
					w.outage(true)
				}
				if tc.takeover {
					w.kill(owner)
					w.newOwner(part, owner)
				}
				time.Sleep(tc.late + tc.hang + 3*time.Second)
				w.locked(func() {
					refused, done := w.met["late start refused"], w.met["late start done"]
					byOthers := 0
					for _, l := range []string{"n0", "n1", "n2"} {
						if l != owner {
							byOthers += w.met["held up from "+l]
						}
					}
					if refused+done == 0 || tc.carried && byOthers == 0 {
						t.Errorf("%d starts came late, %d held up on the way from carriers", refused+done, byOthers)
					}
					for _, start := range w.afterCancel {
						if !tc.outage {
							t.Errorf("%s started on %s %s after its cancellation", start.task, start.machine, start.after)
						}
					}
					if tc.outage && done == 0 {
						t.Error("no start came that nothing could keep out")
					}
					if n := len(w.runs(s.ID)); n > 0 {
						t.Errorf("%d of its tasks are left", n)
					}
				})
			})
		})
	}
}

// Stops of cancelled tasks that are held up are repeated before their answer is given up, if
// no report can bring them (54): their machines reach no controller.
func TestHeldUpStopsAreRepeated(t *testing.T) {
	t.Parallel()
	simulate(t, 502, func(w *world) {
		ids := w.longJobs(2, 4, "green", 5*time.Minute)
		owner := w.owns(w.partOf("green"))
		w.locked(func() {
			w.mute = w.machinesOf(ids[0])
			w.lateCommands = &lateCommands{share: 1, verb: protocol.OpStop, after: 16 * time.Second}
		})
		if !w.withdrawAt(owner, ids[0]) {
			t.Fatal("not withdrawn")
		}
		time.Sleep(300 * time.Millisecond)
		held := w.metTimes("held up from " + owner)
		w.locked(func() { w.lateCommands = nil })
		time.Sleep(700 * time.Millisecond)
		w.locked(func() {
			if left := len(w.runs(ids[0])); left > 0 || held == 0 {
				t.Errorf("%d tasks are left a second after their cancellation, %d stops were held up", left, held)
			}
		})
	})
}

// silentNet answers nothing.
type silentNet struct{}

func (silentNet) Do(ctx context.Context, _, _, _ string, _ []byte) (*transport.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Where many machines with cancelled tasks are silent, repeated orders hold a bounded share
// of the sockets, and none for ever.
func TestRepeatedOrdersAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		setNetwork(c, silentNet{})
		loop, stop := context.WithCancel(t.Context())
		go c.loop.Serve(loop, c.tick)
		c.loop.Do(func() {
			_, _ = c.owning(5)
			for i := range 100 {
				name := fmt.Sprintf("m-%d", 100+i)
				c.agents.MachineRecorded(name, storage.Machine{Type: "small", Zone: "a", Addr: name + ":1"}, 3, time.Now())
				m := c.Machines[name]
				m.HasReported, m.Fenced, m.Epoch, m.AnsweredUntil = true, true, 1, time.Now()
				j := &cluster.Job{Spec: spec(fmt.Sprint("job-", i), 1, "red"), Ended: true}
				j.Load()
				a := &cluster.Attempt{Job: j, Number: 1, Machine: m, Epoch: 1, State: cluster.AttemptConfirmed, Stopping: true, StopRequestedAt: time.Now()}
				j.LiveAttempts[0] = a
				m.Attempts[cluster.AttemptKey(a.TaskName(), 1)] = a
				c.agents.SendCommands(m)
			}
		})
		most, extra := 0, 0
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			c.loop.Do(func() {
				extra = 0
				for _, m := range c.Machines {
					extra += max(0, m.PendingCommands-1)
				}
				if extra != c.agents.RepeatedCommands {
					t.Errorf("%d orders beside others, counted %d", extra, c.agents.RepeatedCommands)
				}
				most = max(most, extra)
			})
		}
		c.loop.Do(func() { clear(c.Machines) })
		time.Sleep(2 * agents.CommandTimeout)
		c.loop.Do(func() {
			if c.agents.RepeatedCommands != 0 {
				t.Errorf("%d repeats are left", c.agents.RepeatedCommands)
			}
		})
		if limit := max(agents.RepeatedCommandsMin, c.Settings.Params.MachineLimits.Sockets/agents.RepeatedCommandsSocketShare); most != limit {
			t.Errorf("at most %d orders beside others, want %d", most, limit)
		}
		stop()
	})
}

// answeringNet answers every message with one status.
type answeringNet struct{ status int }

func (n answeringNet) Do(context.Context, string, string, string, []byte) (*transport.Response, error) {
	r := protocol.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1, Token: 5, Tasks: []protocol.TaskReport{}}
	return &transport.Response{Status: n.status, Body: protocol.Encode(r)}, nil
}

// Only an answer that refuses a command shows that it will not be carried out late (50).
func TestWhichAnswersRefuseACommand(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		for status, mayCome := range map[int]bool{200: true, 400: false, 409: false, 500: true, 503: true, 504: true} {
			setNetwork(c, answeringNet{status})
			r, sent, err := c.agents.PostCommands("", "m-1", "m-1:1", protocol.CommandBatch{Token: 5, Epoch: 1})
			if sent != mayCome || (r != nil) != (status == 200 || status == 409) || (err == nil) != (status == 200) {
				t.Errorf("%d: may have been carried out: %v, report %v, error %v", status, sent, r, err)
			}
		}
	})
}

// awaitStarts waits until starts of a job are under way, and says to which machines.
func (w *world) awaitStarts(owner, job string) (machines []string) {
	for range 60_000 {
		time.Sleep(time.Millisecond)
		w.in(owner, func(c *Controller) {
			if j := c.Jobs[job]; j != nil {
				for _, a := range j.LiveAttempts {
					if a.StartsInFlight > 0 {
						machines = append(machines, a.Machine.Name)
					}
				}
			}
		})
		if len(machines) > 0 {
			return machines
		}
	}
	w.t.Fatalf("no start of %s is under way", job)
	return nil
}
