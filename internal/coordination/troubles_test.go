package coordination

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

// troubles are those that the world can bring about beyond lost messages, cuts, ends and
// standstills. Whoever looks into them holds the world's lock. met counts what has
// happened, so that a test can tell whether its troubles met at all.
type troubles struct {
	// lateWrites is the share of transactions without an answer: carried out 2 to 12 s
	// later, after newer ones, or with atOnce at once.
	lateWrites float64
	atOnce     bool
	// lateWhat is the kind of the first key written of the transactions that it befalls;
	// "": all.
	lateWhat string
	// lateReports is the share of the workers' reports of which a copy arrives again, from
	// 2 s to well over a lease later, or with forNext at every controller once asked for.
	lateReports float64
	forNext     bool
	kept        []keptReport
	// lateCommands says what becomes of direct commands; nil: they arrive.
	lateCommands *lateCommands
	// afterCancel are the starts of tasks whose job's user had been told that it is cancelled.
	afterCancel []startAfterCancel
	// slowLinks is by how much a message may be late on its way; 0: by milliseconds.
	slowLinks time.Duration
	// deaf machines' reports arrive, answers and orders to them are lost; mute ones reach
	// nobody, orders reach them.
	deaf, mute map[string]bool
	// noNotices: no controller hears of withdrawals from another.
	noNotices bool
	// atEnd is asked whether a job is called off at the end of its last task.
	atEnd func(job string) bool
	// ended, if set, hears of the ends of jobs' last tasks.
	ended func(job string)
	// bootsIn is how soon machines are up; 0: within seconds.
	bootsIn time.Duration
	steps   steps
	cuts    cuts
	met     map[string]int
}

// lateCommands holds direct commands up: the sender gets no answer, and the worker carries
// them out once, 2 to 16 s later, if token and session still match then.
type lateCommands struct {
	// share of the commands is held up, of those that hold the verb ("fence": no command at
	// all; "": any).
	share float64
	verb  string
	// after is how long; 0: drawn. atOnce: only the answer is lost.
	after  time.Duration
	atOnce bool
}

// startAfterCancel is a task that started after its job's cancellation was confirmed.
type startAfterCancel struct {
	task    string
	machine string
	after   time.Duration
}

// linkDelay is how long a message is on its way beyond the usual. The lock is held.
func (w *world) linkDelay() time.Duration {
	if w.slowLinks == 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(w.slowLinks)))
}

const fenceVerb = "fence"

// verbsOf lists the kinds of the commands of an order.
func verbsOf(body []byte) (verbs map[string]bool) {
	var orders protocol.CommandBatch
	must(protocol.Decode(body, &orders))
	verbs = map[string]bool{}
	for _, command := range orders.Commands {
		verbs[command.Op] = true
	}
	if len(orders.Commands) == 0 {
		verbs[fenceVerb] = true
	}
	return verbs
}

// heldUp says whether and for how long a message to a worker is held up. The lock is held.
func (w *world) heldUp(target string, body []byte) (after time.Duration, held bool) {
	late := w.lateCommands
	if late == nil || target != "/orders" || w.rng.Float64() >= late.share {
		return 0, false
	}
	if late.verb != "" && !verbsOf(body)[late.verb] {
		return 0, false
	}
	switch {
	case late.atOnce:
		return time.Millisecond, true
	case late.after > 0:
		return late.after, true
	}
	return 2*time.Second + time.Duration(w.rng.Int64N(int64(14*time.Second))), true
}

// commandLate brings a command that nobody waits for any more to its worker. One that
// hangs carries it out when it goes on.
func (w *world) commandLate(machine string, after time.Duration, body []byte) {
	for wait := after; ; wait = 100 * time.Millisecond {
		select {
		case <-time.After(wait):
		case <-w.ctx.Done():
			return
		}
		w.mu.Lock()
		wk := w.workers[machine]
		hangs := wk != nil && wk.Hung
		w.mu.Unlock()
		if wk == nil {
			return
		}
		if hangs {
			continue
		}
		resp := w.serveWorker(wk, "/orders", body)
		w.locked(func() {
			for verb := range verbsOf(body) {
				if resp != nil && resp.Status == 200 {
					w.meets("late " + verb + " done")
				} else {
					w.meets("late " + verb + " refused")
				}
			}
		})
		return
	}
}

type keptReport struct {
	machine string
	body    []byte
}

func (w *world) meets(what string) {
	if w.met == nil {
		w.met = map[string]int{}
	}
	w.met[what]++
}

// lateWrite says whether a transaction gets no answer, and how long after it is carried
// out. The lock is held.
func (w *world) lateWrite(host, target string, body []byte) (after time.Duration, lost bool) {
	if host != "state" || target != "/commit" || w.lateWrites == 0 || w.rng.Float64() >= w.lateWrites {
		return 0, false
	}
	if w.lateWhat != "" {
		var txn protocol.Transaction
		must(protocol.Decode(body, &txn))
		if len(txn.Then) == 0 || stepOf(txn.Then[0].Put) != w.lateWhat {
			return 0, false
		}
	}
	if w.atOnce {
		return time.Millisecond, true
	}
	return time.Duration(2000+w.rng.IntN(10_000)) * time.Millisecond, true
}

// writeLate carries a transaction out that nobody waits for any more.
func (w *world) writeLate(from string, after time.Duration, body []byte) {
	time.Sleep(after)
	resp := w.deliver(context.WithoutCancel(w.ctx), from, "state", "POST", "/commit", body)
	w.mu.Lock()
	defer w.mu.Unlock()
	var txn protocol.Transaction
	must(protocol.Decode(body, &txn))
	switch {
	case len(txn.Then) == 0:
	case resp.Status == 200:
		w.meets("late write done")
	case resp.Status == 409:
		w.meets("late write refused")
	}
}

// copyReport keeps a copy of a worker's report, for later. The lock is held.
func (w *world) copyReport(machine, label string, report []byte) {
	if w.lateReports == 0 || w.rng.Float64() >= w.lateReports {
		return
	}
	if w.forNext {
		w.kept = append(w.kept, keptReport{machine, report})
		return
	}
	lease := settings.Seconds(w.set.Params.Workers.LeaseS)
	after := 2*time.Second + time.Duration(w.rng.Int64N(int64(lease+lease/2)))
	w.group.Go(func() {
		select {
		case <-time.After(after):
		case <-w.ctx.Done():
			return
		}
		w.again(label, keptReport{machine, report})
	})
}

// again brings a copy of an old report to a controller.
func (w *world) again(label string, k keptReport) {
	w.mu.Lock()
	n := w.nodes[label]
	if n != nil {
		w.meets("old report")
	}
	w.mu.Unlock()
	if n != nil {
		n.checkin(w, k.machine, k.body)
	}
}

// replay brings every kept report to every controller.
func (w *world) replay() {
	w.mu.Lock()
	kept := w.kept
	w.kept = nil
	labels := slices.Sorted(maps.Keys(w.nodes))
	w.mu.Unlock()
	for _, k := range kept {
		for _, l := range labels {
			w.again(l, k)
		}
	}
}

// refuse lets the state service refuse a controller alone, or serve it again.
func (w *world) refuse(label string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.Refused == nil {
		w.state.Refused = map[string]bool{}
	}
	w.state.Refused[label] = on
}

// hang lets a machine stand still for some time.
func (w *world) hang(machine string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wk := w.workers[machine]
	if wk == nil || wk.Hung {
		return
	}
	wk.Hung = true
	w.group.Go(func() {
		time.Sleep(d)
		w.mu.Lock()
		defer w.mu.Unlock()
		wk.Hung = false
	})
}

// withdrawAt asks one controller to withdraw a job, once, and notes its answer.
func (w *world) withdrawAt(label, id string) bool {
	w.mu.Lock()
	w.jobs[id].asked = true
	w.mu.Unlock()
	resp := w.ask(label, "POST", "/submissions/"+id+"/withdraw", nil)
	if resp.Status != 200 {
		return false
	}
	var st protocol.JobStatus
	must(protocol.Decode(resp.Body, &st))
	w.mu.Lock()
	defer w.mu.Unlock()
	uj := w.jobs[id]
	if uj.ended != "" && st.Status != uj.ended {
		w.breakRule("went_back: %s was %s, is %s", id, uj.ended, st.Status)
	}
	uj.ended = st.Status
	if st.Status == protocol.StatusCancelled && uj.withdrawn.IsZero() {
		uj.withdrawn = time.Now()
	}
	return true
}

// runs lists where a job's tasks are, hung machines included. The lock is held.
func (w *world) runs(id string) (machines []string) {
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		for _, t := range w.workers[name].Tasks {
			if t.Job == id && t.State != protocol.TaskEnded {
				machines = append(machines, name)
			}
		}
	}
	return machines
}

// machinesOf marks the machines that jobs' tasks are on. The lock is held.
func (w *world) machinesOf(ids ...string) map[string]bool {
	marked := map[string]bool{}
	for _, id := range ids {
		for _, m := range w.runs(id) {
			marked[m] = true
		}
	}
	return marked
}

// others are the controllers but one.
func (w *world) others(label string) (list []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range slices.Sorted(maps.Keys(w.nodes)) {
		if l != label {
			list = append(list, l)
		}
	}
	return list
}

// withoutNotices is a summary that tells no withdrawals.
func withoutNotices(body []byte) []byte {
	sum := new(peer.Summary)
	must(proto.Unmarshal(body, sum))
	sum.Cancelled = nil
	body, err := proto.Marshal(sum)
	must(err)
	return body
}
