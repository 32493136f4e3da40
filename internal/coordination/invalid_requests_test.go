package coordination

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// submissionFields returns the fields of an encoded submission.
func submissionFields(s *protocol.JobSpec) map[string]any {
	var m map[string]any
	panicOnError(msgpack.Unmarshal(encodeSubmission(s), &m))
	return m
}

// encodeFields encodes a submission with the given fields.
func encodeFields(m map[string]any) []byte {
	b, err := msgpack.Marshal(m)
	panicOnError(err)
	return b
}

// invalidSubmissions returns, by description, submissions of a job that must not be accepted, and
// the status with which a controller that has the machine types refuses them.
func invalidSubmissions(id string) map[string]struct {
	body []byte
	want int
} {
	invalid := map[string]struct {
		body []byte
		want int
	}{}
	// add adds a submission. It calls change twice: with a nil map before the job is encoded, and
	// with the encoded fields.
	add := func(name string, want int, change func(s *protocol.JobSpec, m map[string]any)) {
		s := newJobSpec(id, 2, "red")
		change(s, nil)
		m := submissionFields(s)
		change(s, m)
		invalid[name] = struct {
			body []byte
			want int
		}{encodeFields(m), want}
	}
	alter := func(name, field string, value any) {
		add(name+" "+field, 400, func(_ *protocol.JobSpec, m map[string]any) {
			if m != nil {
				m[field] = value
			}
		})
	}
	nullable := []string{"shapes_of_box", "locale", "due_s"}
	amounts := []string{"vcpus", "gpus", "mem_gb", "image_gb", "guess_s", "snapshot_every_s", "snapshot_s"}
	for field := range submissionFields(newJobSpec(id, 2, "red")) {
		if !slices.Contains(nullable, field) {
			alter("null", field, nil)
			add("without "+field, 400, func(_ *protocol.JobSpec, m map[string]any) { delete(m, field) })
		}
		alter("a map for", field, map[string]any{"x": 1})
		alter("bytes for", field, []byte{1, 2})
		if slices.Contains(amounts, field) || field == "due_s" || field == "pieces" {
			alter("text for", field, "4")
			alter("negative", field, -1.0)
		} else {
			alter("a number for", field, 7)
		}
		if slices.Contains(amounts, field) || field == "due_s" {
			alter("infinite", field, math.Inf(1))
			alter("no number for", field, math.NaN())
			alter("absurd", field, 1e30)
		}
	}
	alter("no", "pieces", 0)
	alter("too many", "pieces", 100_001)
	alter("unknown", "shape", "round")
	alter("unknown", "urgency", "asap")
	alter("empty", "jobclass", "")
	alter("empty", "owner", "")
	alter("numbers in", "shapes_of_box", []int{1})
	alter("nothing in", "waits_on", []any{nil})
	unrunnable := func(name string, change func(s *protocol.JobSpec)) {
		add(name, 422, func(s *protocol.JobSpec, m map[string]any) {
			if m == nil {
				change(s)
			}
		})
	}
	unrunnable("unknown team", func(s *protocol.JobSpec) { s.Team = "nobody" })
	unrunnable("larger than any type", func(s *protocol.JobSpec) { s.Team, s.CPUs = "green", 33 })
	unrunnable("more memory than any type", func(s *protocol.JobSpec) { s.Team, s.MemGB = "green", 129 })
	unrunnable("a device that no type has", func(s *protocol.JobSpec) { s.Team, s.GPUs = "green", 1 })
	unrunnable("larger than the allowed type", func(s *protocol.JobSpec) { s.CPUs, s.Types = 9, []string{"small"} })
	unrunnable("unknown type", func(s *protocol.JobSpec) { s.Types = []string{"huge"} })
	unrunnable("unknown zone", func(s *protocol.JobSpec) { s.Zone = "z" })
	unrunnable("type not in the zone", func(s *protocol.JobSpec) { s.Types, s.Zone = []string{"big"}, "b" })
	unrunnable("one task over the limit", func(s *protocol.JobSpec) { s.Team, s.CPUs = "red", 32.5 })
	unrunnable("a service over the limit", func(s *protocol.JobSpec) { s.Service, s.Tasks = true, 9 })
	unrunnable("a gang over the limit", func(s *protocol.JobSpec) { s.Gang, s.Tasks = true, 9 })
	unrunnable("a gang apart in one zone", func(s *protocol.JobSpec) { s.Gang, s.OneZone, s.Spread = true, true, true })
	unrunnable("a service apart in a named zone", func(s *protocol.JobSpec) { s.Service, s.Zone, s.Spread = true, "a", true })
	return invalid
}

// No controller accepts a submission that is invalid or that no machine can run, even if the
// controller has no machine types yet or is cut off. A repeated submission of a known job is
// answered with the job's status, regardless of the body (rule 14).
func TestInvalidSubmissionsAreRefused(t *testing.T) {
	t.Parallel()
	runSimulation(t, 620, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.submit(newJobSpec("job-1", 1, "green"))
		// A controller that starts while the cloud is unreachable has no machine types if
		// no catalog is recorded.
		sim.withLock(func() {
			delete(sim.state.Items, storage.CatalogKey)
			sim.dropsMessage = func(from, host string) bool { return from == "n2" && host == "cloud" }
		})
		sim.killController("n2")
		sim.startController("n2")
		time.Sleep(3 * time.Second)
		types := -1
		sim.onController("n2", func(c *Controller) { types = len(c.Catalog) })
		if types != 0 {
			t.Fatalf("n2 has %d machine types, want 0", types)
		}
		check := func(name, label string, body []byte, want ...int) {
			if resp := sim.sendRequest(label, "POST", "/submissions", body); !slices.Contains(want, resp.Status) {
				t.Errorf("%s at %s: status %d, want %v", name, label, resp.Status, want)
			}
		}
		invalid, known := invalidSubmissions("job-2"), invalidSubmissions("job-1")
		for _, name := range slices.Sorted(maps.Keys(invalid)) {
			submission := invalid[name]
			check(name, "n0", submission.body, submission.want)
			check(name, "n1", submission.body, submission.want)
			// Without the machine types, the controller may answer 503 to a job that
			// fits none of them.
			check(name, "n2", submission.body, submission.want, 503)
			if submission.want == 400 {
				check(name, "n2", submission.body, 400)
			}
			if id := protocol.SubmissionID(known[name].body); id != "" {
				for _, label := range allControllers {
					check(name+" of a known job", label, known[name].body, 200)
				}
			}
		}
		// A controller that is cut off from the state store and its peers does not accept
		// invalid submissions either.
		sim.withLock(func() {
			sim.dropsMessage = func(from, host string) bool { return from == "n1" && (host == "state" || len(host) == 2) }
		})
		for _, name := range []string{"without gpus", "larger than any type", "unknown team"} {
			resp := sim.sendRequest("n1", "POST", "/submissions", invalid[name].body)
			if resp.Status == 200 || resp.Status == 201 {
				t.Errorf("submission %s accepted by a controller that is cut off: status %d", name, resp.Status)
			}
		}
		// That controller must not refuse a repeated submission of a known job as invalid.
		body := known["without gpus"].body
		if resp := sim.sendRequest("n1", "POST", "/submissions", body); resp.Status == 400 || resp.Status == 422 || resp.Status == 404 {
			t.Errorf("repeated submission refused by a controller that is cut off: status %d", resp.Status)
		}
		sim.withLock(func() { sim.dropsMessage = nil })
		time.Sleep(5 * time.Second)
		for _, label := range allControllers {
			if resp := sim.sendRequest(label, "GET", "/submissions/job-2", nil); resp.Status != 404 {
				t.Errorf("the invalid job is known at %s: status %d, want 404", label, resp.Status)
			}
		}
		sim.waitForAllJobs(time.Minute)
	})
}

// Users repeat the submission of an unfinished job, cancel a done job and send invalid submissions
// at all controllers, while the leader is killed and the state store answers late or is down.
func TestInvalidRequestsUnderFaults(t *testing.T) {
	t.Parallel()
	runSimulation(t, 621, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		invalid := invalidSubmissions("job-7")
		names := slices.Sorted(maps.Keys(invalid))
		partition := sim.partitionOf("green")
		s := newJobSpec("job-1", 12, "green")
		s.DeadlineS = 0
		sim.submit(s)
		done := newJobSpec("job-3", 1, "green")
		sim.submit(done)
		for range 60 {
			if time.Sleep(time.Second); sim.poll("", done.ID) == protocol.StatusDone {
				break
			}
		}
		outcomes := map[string]int{}
		for i := range 120 {
			label := allControllers[i%3]
			submission := invalid[names[i%len(names)]]
			switch i {
			case 20:
				leader := sim.leaderOf(partition)
				sim.group.Go(func() { sim.restartController(leader, time.Second) })
			case 40:
				sim.withLock(func() { sim.lateTransactionRate = 0.5 })
			case 60:
				sim.withLock(func() { sim.lateTransactionRate = 0 })
				sim.setOutage(true)
			case 80:
				sim.setOutage(false)
			}
			for kind, resp := range map[string]transport.Response{
				"invalid": sim.sendRequest(label, "POST", "/submissions", submission.body),
				"repeat":  sim.sendRequest(label, "POST", "/submissions", encodeSubmission(s)),
			} {
				if resp.Status == 0 {
					continue
				}
				accepted := resp.Status == 200 || resp.Status == 201
				if kind == "invalid" && accepted {
					t.Errorf("%s accepted at %s: status %d", names[i%len(names)], label, resp.Status)
				}
				if kind == "repeat" && (resp.Status == 400 || resp.Status == 422 || resp.Status == 404) {
					t.Errorf("repeated submission refused at %s: status %d", label, resp.Status)
				}
				if outcomes[kind+" answered"]++; accepted {
					outcomes[kind+" accepted"]++
				}
			}
			if resp := sim.sendRequest(label, "POST", "/submissions/"+done.ID+"/withdraw", nil); resp.Status == 200 {
				var st protocol.JobStatus
				panicOnError(protocol.Decode(resp.Body, &st))
				if st.Status != protocol.StatusDone {
					t.Errorf("the cancellation of a done job is answered with status %s, want done", st.Status)
				}
				outcomes["cancellation of a done job answered"]++
			}
			time.Sleep(150 * time.Millisecond)
		}
		if outcomes["repeat accepted"] < 20 || outcomes["invalid answered"] < 60 || outcomes["cancellation of a done job answered"] < 60 {
			t.Errorf("numbers of answered requests: %v, want at least 20 repeated submissions, 60 invalid ones and 60 cancellations", outcomes)
		}
		sim.waitForAllJobs(2 * time.Minute)
	})
}
