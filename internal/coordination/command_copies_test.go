package coordination

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
)

// commandCopyFault delivers copies of direct commands that were carried out and answered. An agent
// executes a copy if its token and epoch still match.
type commandCopyFault struct {
	// rate is the proportion of messages that are copied.
	rate float64
	// copies is the number of copies of each message.
	copies int
	// delayMin and delayMax bound the time from a message to each of its copies. Its logarithm is
	// distributed uniformly, so that copies come soon as well as very late.
	delayMin, delayMax time.Duration
}

// The bounds of the delays of copies: a fraction of a second to minutes.
const (
	copyDelayMin = 200 * time.Millisecond
	copyDelayMax = 3 * time.Minute
)

// firstContactTime is the time within which the leader contacts an agent that has restarted and
// raises its token. Until then, nothing can keep the agent from executing copies of any start.
const firstContactTime = 3 * time.Second

// restartAgent restarts an agent without its memory. Copies of commands reach it once the leader has
// had time to contact it. The lock is held.
func (sim *simulatedCluster) restartAgent(agent *agent.Agent) {
	agent.Restart()
	if sim.copiesHeldUntil == nil {
		sim.copiesHeldUntil = map[string]time.Time{}
	}
	sim.copiesHeldUntil[agent.Name] = time.Now().Add(firstContactTime)
}

// copyCommands schedules the copies of a message that an agent has executed.
func (sim *simulatedCluster) copyCommands(machine string, body []byte) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	fault := sim.copiedCommands
	if fault == nil || sim.rng.Float64() >= fault.rate {
		return
	}
	for range fault.copies {
		delay := time.Duration(float64(fault.delayMin) * math.Pow(float64(fault.delayMax)/float64(fault.delayMin), sim.rng.Float64()))
		sim.group.Go(func() { sim.deliverCommandLate(machine, delay, body, "copied") })
	}
}

// attemptEnd is a way in which attempts end before copies of their starts arrive.
type attemptEnd struct {
	name    string
	prepare func(sim *simulatedCluster)
	// begin is called with the lock held before the jobs are submitted, and proceed once they
	// run.
	begin   func(sim *simulatedCluster)
	proceed func(sim *simulatedCluster, jobs []string)
}

// attemptEnds are the ways in which attempts end while their task goes on elsewhere or must not
// start again.
var attemptEnds = []attemptEnd{
	{name: "failed", begin: failOnFirstMachine},
	{name: "done"},
	{name: "cancelled", proceed: func(sim *simulatedCluster, jobs []string) {
		for i, id := range jobs {
			sim.cancelUntilAnswered(id, i)
		}
	}},
	{name: "preempted", prepare: func(sim *simulatedCluster) {
		sim.cloud.Capacity = 3
		sim.cloud.Types = sim.cloud.Types[:1]
	}, proceed: func(sim *simulatedCluster, _ []string) {
		urgent := newJobSpec("job-900", 6, "green")
		urgent.Urgency, urgent.DeadlineS = protocol.Production, 20
		sim.submit(urgent)
	}},
	{name: "drained", proceed: func(sim *simulatedCluster, _ []string) {
		sim.withLock(func() {
			names := slices.Sorted(maps.Keys(sim.agents))
			notice := time.Now().Add(3 * time.Minute)
			for _, name := range names[:len(names)/2] {
				sim.agents[name].PreemptAt = &notice
			}
		})
	}},
	{name: "refused", begin: refuseFirstStart},
	{name: "failed on delegated machines", prepare: configureFewSockets, begin: failOnFirstMachine},
}

// failOnFirstMachine makes each task fail on the machine where it runs first, and run long on the
// others. The lock is held.
func failOnFirstMachine(sim *simulatedCluster) {
	firstMachine := map[string]string{}
	onFirstMachine := func(job string, task int, machine string) bool {
		name := protocol.TaskName(job, task)
		if firstMachine[name] == "" {
			firstMachine[name] = machine
		}
		return firstMachine[name] == machine
	}
	sim.taskFails = onFirstMachine
	sim.taskRunTime = func(job string, task int, machine string) time.Duration {
		if onFirstMachine(job, task, machine) {
			return time.Second
		}
		return 40 * time.Second
	}
}

// refuseFirstStart makes the agents refuse the first start of each task. The lock is held.
func refuseFirstStart(sim *simulatedCluster) {
	refused := map[string]bool{}
	sim.refuseStart = func(command protocol.Command) string {
		if refused[command.Task] {
			return ""
		}
		refused[command.Task] = true
		return protocol.CauseFull
	}
}

// leaderChanges are changes of a partition's leader while copies of its commands are under way.
var leaderChanges = []struct {
	name   string
	change func(sim *simulatedCluster, partition int, leader string)
}{
	{"leader stays", func(*simulatedCluster, int, string) {}},
	{"leader restarts within a second", func(sim *simulatedCluster, _ int, leader string) {
		sim.restartController(leader, 300*time.Millisecond)
	}},
	{"standby takes over", func(sim *simulatedCluster, partition int, leader string) {
		sim.killController(leader)
		sim.waitForNewLeader(partition, leader)
		sim.startController(leader)
	}},
	{"leader hands over", func(sim *simulatedCluster, _ int, leader string) { sim.handOverAndRestart(leader) }},
}

// Guards against incident 54: a copy of an answered start runs a task whose attempt was forgotten.
func TestCopiedStartsOfForgottenAttemptsAreRefused(t *testing.T) {
	t.Parallel()
	for i, end := range attemptEnds {
		for j, leader := range leaderChanges {
			t.Run(end.name+", "+leader.name, func(t *testing.T) {
				t.Parallel()
				prepare := func(sim *simulatedCluster) {
					sim.cloud.Capacity = 16
					if end.prepare != nil {
						end.prepare(sim)
					}
				}
				runConfiguredSimulation(t, 700+uint64(len(leaderChanges)*i+j), prepare, func(sim *simulatedCluster) {
					runWithCopiedCommands(sim, end, leader.change)
				})
			})
		}
	}
}

// runWithCopiedCommands runs jobs whose attempts end in one way while all commands are copied and
// the leader changes.
func runWithCopiedCommands(sim *simulatedCluster, end attemptEnd, changeLeader func(*simulatedCluster, int, string)) {
	sim.setRunTime(25 * time.Second)
	var jobs []string
	for i := range 6 {
		jobs = append(jobs, fmt.Sprint("job-", i))
	}
	sim.withLock(func() {
		sim.copiedCommands = &commandCopyFault{rate: 1, copies: 16, delayMin: copyDelayMin, delayMax: copyDelayMax}
		if end.begin != nil {
			end.begin(sim)
		}
	})
	time.Sleep(2 * time.Second)
	for _, id := range jobs {
		spec := newJobSpec(id, 4, "green")
		spec.DeadlineS, spec.Urgency = 0, protocol.Low
		sim.submit(spec)
	}
	time.Sleep(20 * time.Second)
	if end.proceed != nil {
		end.proceed(sim, jobs)
	}
	time.Sleep(4 * time.Second)
	partition := sim.partitionOf("green")
	changeLeader(sim, partition, sim.leaderOf(partition))
	sim.waitForAllJobs(5 * time.Minute)
	sim.withLock(func() { sim.copiedCommands = nil })
	time.Sleep(copyDelayMax)
	if copies := sim.faultCount("copied start applied") + sim.faultCount("copied start refused"); copies < 20 {
		sim.t.Errorf("%d copies of starts arrived, want at least 20", copies)
	}
	sim.withLock(func() {
		for _, start := range sim.startsAfterCancel {
			sim.t.Errorf("%s started on %s %s after its cancellation", start.task, start.machine, start.after)
		}
	})
}

// Guards against a copy of a start that runs a task again on a machine that came back under its name
// without its memory, while the task's next attempt runs elsewhere.
func TestCopiedStartsOnMachinesWithoutMemoryAreRefused(t *testing.T) {
	t.Parallel()
	for i, leader := range leaderChanges {
		for j, cluster := range []struct {
			name    string
			uptime  time.Duration // of the machines after their tasks have started
			prepare func(sim *simulatedCluster)
		}{
			{name: "at once"},
			{name: "up for 12s", uptime: 12 * time.Second},
			{name: "up for 25s", uptime: 25 * time.Second},
			{name: "delegated, up for 12s", uptime: 12 * time.Second, prepare: configureFewSockets},
		} {
			t.Run(leader.name+", "+cluster.name, func(t *testing.T) {
				t.Parallel()
				prepare := func(sim *simulatedCluster) {
					sim.cloud.Capacity = 16
					if cluster.prepare != nil {
						cluster.prepare(sim)
					}
				}
				runConfiguredSimulation(t, 760+uint64(4*i+j), prepare, func(sim *simulatedCluster) {
					forget := attemptEnd{proceed: func(sim *simulatedCluster, _ []string) {
						time.Sleep(cluster.uptime)
						sim.forEachAgent(sim.restartAgent)
					}}
					runWithCopiedCommands(sim, forget, leader.change)
				})
			})
		}
	}
}
