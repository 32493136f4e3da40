package coordination

import (
	"bytes"
	"context"
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/audit/archive"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// readAudit exports the audit log like an operator, verifies the log and returns its records.
func (sim *simulatedCluster) readAudit(label string) []archive.ChainRecord {
	sim.t.Helper()
	data := sim.exportAudit(label)
	roots := x509.NewCertPool()
	roots.AddCert(sim.identities.ca.Root())
	v, err := archive.Verify(bytes.NewReader(data), roots)
	panicOnError(err)
	for _, p := range v.Problems {
		sim.t.Errorf("verification of the audit log: %s", p)
	}
	return v.Decoded
}

// exportAudit returns the audit archive that a controller exports. It retries the request for the
// seal until it succeeds.
func (sim *simulatedCluster) exportAudit(label string) []byte {
	sim.t.Helper()
	resp := sim.requestAs("person/root", label, "GET", "/audit/seal", nil)
	for tries := 0; resp.Status != 200 && tries < 20; tries++ {
		time.Sleep(time.Second)
		resp = sim.requestAs("person/root", label, "GET", "/audit/seal", nil)
	}
	var seal audit.Seal
	panicOnError(protocol.Decode(sim.expectStatus(200, resp).Body, &seal))
	var out bytes.Buffer
	panicOnError(archive.Export(sim.ctx, &out, &seal, func(_ context.Context, chain string, after uint64) ([]audit.NumberedBatch, error) {
		resp := sim.requestAs("person/root", label, "GET", fmt.Sprintf("/audit/batches?chain=%s&after=%d", url.QueryEscape(chain), after), nil)
		if resp.Status != 200 {
			return nil, fmt.Errorf("reading audit batches: status %d", resp.Status)
		}
		var page struct {
			Batches []audit.NumberedBatch `msgpack:"batches"`
		}
		err := protocol.Decode(resp.Body, &page)
		return page.Batches, err
	}, func(uint64, uint64) {}))
	return out.Bytes()
}

// countAuditRecords counts the audited requests that match. One audit record may count several
// refusals.
func countAuditRecords(read []archive.ChainRecord, match func(r *audit.Record) bool) int {
	n := uint64(0)
	for i := range read {
		if match(&read[i].Record) {
			n += max(1, read[i].Count)
		}
	}
	return int(n)
}

// A controller is killed between its commit and its response, and the user retries: there must be
// only one job and one audit record of its submission.
func TestControllerKilledBetweenCommitAndAnswer(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 52, func(sim *simulatedCluster) {
		s := newJobSpecOfClass("job-1", "red", "match")
		killed := false
		sim.mu.Lock()
		sim.onResponse = func(from, host, target string, body []byte, resp *transport.Response) bool {
			if host != "state" || target != "/commit" || killed || from != "n1" || !bytes.Contains(body, []byte(storage.JobKey(s.ID))) {
				return false
			}
			if resp.Status != 200 {
				t.Errorf("the commit got status %d, want 200", resp.Status)
			}
			killed = true
			go sim.killController("n1")
			return true
		}
		sim.mu.Unlock()
		ctx, cancel := context.WithTimeout(sim.ctx, 5*time.Second)
		defer cancel()
		process := sim.controllers["n1"]
		resp := process.controller.Serve(ctx, &transport.Request{Method: "POST", Path: "/submissions", Body: encodeSubmission(s), Authorization: sim.identities.authorization("person/anna")})
		if resp.Status == 201 || resp.Status == 200 || !killed {
			t.Fatalf("the submission got status %d, controller killed: %v; want a kill and no success", resp.Status, killed)
		}
		// Until the watches deliver the job record to the other controllers, the job is
		// only in the state store.
		sim.expectStatus(200, sim.requestAs("person/anna", "n2", "POST", "/submissions", encodeSubmission(s)))
		sim.expectStatus(200, sim.requestAs("person/anna", "n0", "POST", "/submissions", encodeSubmission(s)))
		sim.startController("n1")
		time.Sleep(2 * audit.AggregationInterval)
		if n := countAuditRecords(sim.readAudit("n0"), func(r *audit.Record) bool { return r.Verb == "submit" && r.Job == s.ID }); n != 1 {
			t.Errorf("%d audit records of one submission, want 1", n)
		}
		sim.withLock(func() { sim.jobs[s.ID] = newAcceptedJob(s) })
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// A flood of refused requests uses only a small part of the state store's write budget, and every
// refusal is audited.
func TestRefusalsAreAuditedAtABoundedWriteRate(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 58, func(sim *simulatedCluster) {
		time.Sleep(audit.AggregationInterval)
		sim.mu.Lock()
		before := sim.state.ChangesRequested
		sim.mu.Unlock()
		duration := 20 * time.Second
		refused := 0
		for begun := time.Now(); time.Since(begun) < duration; time.Sleep(time.Millisecond) {
			sim.expectStatus(403, sim.requestAs("person/partner", "n1", "POST", fmt.Sprintf("/submissions/job-%d/withdraw", 1000+refused), nil))
			refused++
		}
		time.Sleep(2 * audit.AggregationInterval)
		sim.mu.Lock()
		changes := sim.state.ChangesRequested - before
		sim.mu.Unlock()
		if most := 2 * int(duration/time.Second); changes > most {
			t.Errorf("%d refusals caused %d state store changes in %s, want at most %d", refused, changes, duration, most)
		}
		if n := countAuditRecords(sim.readAudit("n0"), func(r *audit.Record) bool { return r.Outcome == audit.Denied && r.Verb == "withdraw" }); n != refused {
			t.Errorf("%d requests were refused, the audit log counts %d", refused, n)
		}
	})
}

// Under random faults, every accepted job has exactly one audit record of its submission, every
// record of a submission belongs to an accepted job, every cancelled job has one record of its
// cancellation, and the hash chains verify.
func TestAuditIsCompleteUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(70); seed < 74; seed++ {
		runSimulationWithIdentities(t, seed, func(sim *simulatedCluster) {
			sim.jobTasksMax = 3
			randomInt := sim.randomInt
			submitted := map[string]bool{}
			sim.setMessageFaultRate(0.05)
			for i := range 40 {
				id := fmt.Sprintf("job-%d", i)
				submitted[id] = true
				sim.submit(newJobSpecOfClass(id, allTeams[randomInt(3)], "match"))
				switch randomInt(6) {
				case 0:
					label := fmt.Sprintf("n%d", randomInt(3))
					sim.mu.Lock()
					up := sim.controllers[label] != nil && len(sim.controllers) > 1
					sim.mu.Unlock()
					if up {
						sim.killController(label)
						sim.group.Go(func() { time.Sleep(2 * time.Second); sim.startController(label) })
					}
				case 1:
					sim.cancelJob(id)
				case 2:
					sim.setOutage(true)
					time.Sleep(time.Duration(randomInt(4000)) * time.Millisecond)
					sim.setOutage(false)
				}
				time.Sleep(time.Duration(randomInt(800)) * time.Millisecond)
			}
			sim.setMessageFaultRate(0)
			time.Sleep(25 * time.Second) // until late messages have arrived and killed controllers run again
			sim.waitForAllJobs(6 * time.Minute)
			submissions, cancellations := map[string]int{}, map[string]int{}
			for _, r := range sim.readAudit("n0") {
				if r.Outcome == audit.Allowed && r.Verb == "submit" {
					submissions[r.Job]++
				}
				if r.Outcome == audit.Allowed && r.Verb == "withdraw" {
					cancellations[r.Job]++
				}
			}
			sim.mu.Lock()
			defer sim.mu.Unlock()
			for id := range submitted {
				_, exists := sim.state.Items[storage.JobKey(id)]
				if !exists || submissions[id] != 1 {
					t.Errorf("seed %d: %s: job record exists: %v, %d audit records of its submission, want 1", seed, id, exists, submissions[id])
				}
				var final storage.FinalRecord
				it, ended := sim.state.Items[storage.FinalKey(id)]
				panicOnError(storage.Decode(it.Value, &final))
				want := 0
				if ended && final.Status == protocol.StatusCancelled {
					want = 1
				}
				if cancellations[id] != want {
					t.Errorf("seed %d: %s has status %s, but %d audit records of its cancellation", seed, id, final.Status, cancellations[id])
				}
			}
			if len(submissions) != len(submitted) {
				t.Errorf("seed %d: the audit log has submissions of %d jobs, want %d", seed, len(submissions), len(submitted))
			}
			for key := range sim.state.Items {
				if strings.HasPrefix(key, audit.Prefix) && sim.state.LargestValues["a"] > int(sim.settings.Params.State.ValueKB*1024) {
					t.Fatalf("%s or another audit record exceeds the value limit", key)
				}
			}
		})
	}
}

// When a stored audit batch is altered in the state store, verification reports its chain and
// number.
func TestTamperedAuditBatchIsFound(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 59, func(sim *simulatedCluster) {
		for i := range 3 {
			sim.submit(newJobSpecOfClass(fmt.Sprintf("job-%d", i), "red", "match"))
		}
		sim.waitForAllJobs(time.Minute)
		withState := func(f func(s *state.Service)) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			f(sim.state)
		}
		label := "n0"
		findFirstBatch := func(s *state.Service) (string, protocol.Item) {
			for key, it := range s.Items {
				if chain, n, ok := audit.ParseBatchKey(key); ok && chain == label && n == 1 {
					return key, it
				}
			}
			t.Fatal("the state store has no first audit batch of the chain")
			return "", protocol.Item{}
		}
		var original protocol.Item
		withState(func(s *state.Service) {
			key, it := findFirstBatch(s)
			original = it
			var b audit.Batch
			panicOnError(storage.Decode(it.Value, &b))
			b.Lines[0] = strings.Replace(b.Lines[0], "person/root", "person/anna", 1)
			it.Value = storage.Encode(b)
			s.Items[key] = it
		})
		roots := x509.NewCertPool()
		roots.AddCert(sim.identities.ca.Root())
		v, err := archive.Verify(bytes.NewReader(sim.exportAudit("n2")), roots)
		panicOnError(err)
		if len(v.Problems) == 0 || v.Problems[0].Chain != label || v.Problems[0].Batch != 1 {
			t.Errorf("verification with an altered batch found %v, want a problem of that batch first", v.Problems)
		}
		withState(func(s *state.Service) { s.Items[original.Key] = original })
		sim.readAudit("n2")
	})
}
