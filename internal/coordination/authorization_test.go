package coordination

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/rights"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// Identities of three roles must not exceed their rights. A refusal does not reveal whether the job
// exists, and the audit log contains every refusal, as a record or in the count of a record.
func TestRolesLimitWhatIdentitiesMayDo(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 51, func(sim *simulatedCluster) {
		for _, s := range []*protocol.JobSpec{newJobSpecOfClass("job-1", "red", "match"), newJobSpecOfClass("job-2", "blue", "refund-batch"), newJobSpecOfClass("job-3", "blue", "price-check")} {
			sim.submit(s)
		}
		refusals := map[string]int{} // refusals by identity
		refused := func(identityName string, status int, resp transport.Response) {
			t.Helper()
			sim.expectStatus(status, resp)
			if resp.Status == 401 || resp.Status == 403 {
				refusals[identityName]++
			}
		}
		// The clerk tries to reassign another team's job, and to reassign a job of its own
		// team to another team.
		for _, label := range allControllers {
			refused("person/anna", 403, sim.requestAs("person/anna", label, "POST", "/submissions/job-2/reassign", protocol.Reassignment{As: "job-90", Team: "red"}))
			refused("person/anna", 403, sim.requestAs("person/anna", label, "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-90", Team: "green"}))
			refused("person/anna", 403, sim.requestAs("person/anna", label, "POST", "/submissions/job-77/reassign", protocol.Reassignment{As: "job-90", Team: "red"}))
			// The refund service tries to access the price-check queue.
			refused("service/refunds", 403, sim.requestAs("service/refunds", label, "GET", "/submissions/job-3", nil))
			refused("service/refunds", 403, sim.requestAs("service/refunds", label, "POST", "/submissions/job-3/withdraw", nil))
			refused("service/refunds", 403, sim.requestAs("service/refunds", label, "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-91", "blue", "price-check"))))
			// The guest requests every path that might reveal arguments.
			for _, path := range []string{"/submissions/job-1/arguments", "/submissions/job-77/arguments", "/audit/seal", "/audit/batches?chain=n0&after=0",
				"/policy/roles", "/policy/identities"} {
				refused("person/partner", 403, sim.requestAs("person/partner", label, "GET", path, nil))
			}
			refused("person/partner", 403, sim.requestAs("person/partner", label, "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-1", "red", "match"))))
			refused("person/partner", 403, sim.requestAs("person/partner", label, "POST", "/submissions/job-1/withdraw", nil))
			refused("person/partner", 403, sim.requestAs("person/partner", label, "POST", "/withdrawals", protocol.CancelAll{SubmittedBy: "person/root"}))
			refused("", 401, sim.requestAs("person/partner", label, "POST", "/checkin", protocol.Encode((&protocol.Heartbeat{Machine: "m-000000", Epoch: 1}))))
			refused("", 401, sim.requestAs("", label, "GET", "/submissions/job-1", nil))
		}
		// The responses for a job of another queue and for an unknown job are the same.
		a := sim.requestAs("service/refunds", "n0", "GET", "/submissions/job-3", nil)
		b := sim.requestAs("service/refunds", "n0", "GET", "/submissions/job-77", nil)
		refusals["service/refunds"] += 2
		if a.Status != b.Status || !bytes.Equal(a.Body, b.Body) || a.RetryAfter != b.RetryAfter {
			t.Errorf("a job of another queue gets %d %q, an unknown job gets %d %q", a.Status, a.Body, b.Status, b.Body)
		}
		// What their roles permit is allowed.
		sim.expectStatus(200, sim.requestAs("person/anna", "n1", "GET", "/submissions/job-1", nil))
		sim.expectStatus(200, sim.requestAs("service/refunds", "n1", "GET", "/submissions/job-2/arguments", nil))
		sim.expectStatus(200, sim.requestAs("person/partner", "n1", "GET", "/submissions/job-3", nil))
		sim.expectStatus(201, sim.requestAs("person/anna", "n2", "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-4", "red", "verify"))))
		sim.expectStatus(404, sim.requestAs("person/root", "n2", "GET", "/submissions/job-77", nil))
		// No response to the guest contains arguments.
		for _, id := range []string{"job-1", "job-2"} {
			if resp := sim.requestAs("person/partner", "n0", "GET", "/submissions/"+id, nil); bytes.Contains(resp.Body, []byte("img")) {
				t.Errorf("the response reveals the image of %s: %q", id, resp.Body)
			}
		}
		time.Sleep(2 * audit.AggregationInterval)
		read := sim.readAudit("n1")
		for identityName, n := range refusals {
			if got := countAuditRecords(read, func(r *audit.Record) bool { return r.Outcome == audit.Denied && r.Identity == identityName }); got != n {
				t.Errorf("%q was refused %d times, the audit log has %d refusals", identityName, n, got)
			}
		}
		if n := countAuditRecords(read, func(r *audit.Record) bool {
			return r.Verb == "view-arguments" && r.Identity == "service/refunds" && r.Job == "job-2" && r.Outcome == audit.Allowed
		}); n != 1 {
			t.Errorf("the audit log has %d records of viewing arguments, want 1", n)
		}
		for _, r := range read {
			if strings.Contains(fmt.Sprint(r), "img") || strings.Contains(fmt.Sprint(r), "eyJ") {
				t.Errorf("the audit log reveals arguments or a token: %+v", r)
			}
		}
		sim.withLock(func() { sim.jobs["job-4"] = newAcceptedJob(newJobSpecOfClass("job-4", "red", "verify")) })
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// Neither the response, nor the number of state store requests, nor the rate limit for unknown
// jobs distinguishes a job of another queue from one that does not exist.
func TestJobsOfOtherQueuesAreIndistinguishableFromUnknown(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 50, func(sim *simulatedCluster) {
		sim.submit(newJobSpecOfClass("job-3", "blue", "price-check"))
		time.Sleep(10 * time.Second) // until every controller has the job record
		seen := map[string]string{}
		for _, id := range []string{"job-3", "job-77", "job-3/", "job-x"} {
			time.Sleep(20 * time.Second) // until the rate limiter has refilled
			sim.mu.Lock()
			before := sim.state.RequestsServed
			sim.mu.Unlock()
			answers := ""
			for range 3 * auth.UnknownJobBurst {
				resp := sim.requestAs("service/refunds", "n0", "GET", "/submissions/"+id, nil)
				answers += fmt.Sprintf("%d %q %d;", resp.Status, resp.Body, resp.RetryAfter)
			}
			sim.mu.Lock()
			read := sim.state.RequestsServed - before
			sim.mu.Unlock()
			seen[id] = answers
			if id == "job-3" && (!strings.Contains(answers, "403") || !strings.Contains(answers, "429") || read < auth.UnknownJobBurst) {
				t.Errorf("%s: %d state store requests, responses %s; want status 403 until the rate limit for unknown jobs is exceeded, then 429", id, read, answers)
			}
		}
		if seen["job-3"] != seen["job-77"] {
			t.Errorf("responses for another queue's job: %s\nfor an unknown job: %s", seen["job-3"], seen["job-77"])
		}
		sim.waitForAllJobs(time.Minute)
	})
}

// A revocation takes effect on every controller within 3 s, also on one that cannot reach the
// state store.
func TestRevocationDuringANetworkPartition(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 53, func(sim *simulatedCluster) {
		sim.setRunTime(40 * time.Second)
		s := newJobSpecOfClass("job-1", "red", "match")
		sim.withLock(func() { sim.jobs[s.ID] = newAcceptedJob(s) })
		sim.expectStatus(201, sim.requestAs("person/anna", "n0", "POST", "/submissions", encodeSubmission(s)))
		time.Sleep(15 * time.Second)
		for _, label := range allControllers {
			sim.expectStatus(200, sim.requestAs("person/anna", label, "GET", "/submissions/job-1", nil))
		}
		sim.withLock(func() { sim.dropsMessage = func(from, to string) bool { return from == "n2" && to == "state" } })
		revoke := &rights.Change{Version: 1, PutIdentities: []rights.Identity{{Name: "person/anna", Roles: []string{"clerk"}, Revoked: true}}}
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", revoke))
		sim.expectStatus(403, sim.requestAs("person/anna", "n0", "GET", "/submissions/job-1", nil))
		time.Sleep(3 * time.Second)
		sim.expectStatus(403, sim.requestAs("person/anna", "n1", "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-2", "red", "match"))))
		for _, resp := range []transport.Response{
			sim.requestAs("person/anna", "n2", "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-2", "red", "match"))),
			sim.requestAs("person/anna", "n2", "GET", "/submissions/job-1", nil), sim.requestAs("person/anna", "n2", "POST", "/submissions/job-1/withdraw", nil),
			sim.requestAs("person/root", "n2", "POST", "/policy", revoke)} {
			if sim.expectStatus(503, resp).RetryAfter == 0 {
				t.Error("a 503 response has no Retry-After")
			}
		}
		sim.withLock(func() { sim.dropsMessage = nil })
		time.Sleep(5 * time.Second)
		sim.expectStatus(403, sim.requestAs("person/anna", "n2", "GET", "/submissions/job-1", nil))
		// The revoked identity's job keeps running.
		if st := sim.poll("n1", "job-1"); st != protocol.StatusRunning {
			t.Errorf("the job of the revoked clerk has status %q, want running", st)
		}
		sim.waitForAllJobs(3 * time.Minute)
		for _, label := range allControllers {
			// Every controller has applied the revocation.
			sim.expectStatus(403, sim.requestAs("person/anna", label, "GET", "/submissions/job-1", nil))
		}
	})
}

// One command cancels all jobs that an identity has submitted, and no others. It requires the
// right to administer the queue.
func TestCancellingAllJobsOfAnIdentity(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 54, func(sim *simulatedCluster) {
		sim.setRunTime(10 * time.Second)
		for i := range 40 {
			s := newJobSpecOfClass(fmt.Sprintf("job-%d", i), "red", "match")
			sim.mu.Lock()
			sim.jobs[s.ID] = newAcceptedJob(s)
			sim.jobs[s.ID].cancelRequested = i%2 == 0
			sim.mu.Unlock()
			identityName := "person/root"
			if i%2 == 0 {
				identityName = "person/anna"
			}
			for sim.requestAs(identityName, "n0", "POST", "/submissions", encodeSubmission(s)).Status != 201 {
				time.Sleep(time.Second)
			}
		}
		time.Sleep(time.Second)
		cancelled := 0
		for tries := 0; ; tries++ {
			var res protocol.CancelAllResult
			resp := sim.requestAs("person/root", "n1", "POST", "/withdrawals", protocol.CancelAll{SubmittedBy: "person/anna"})
			panicOnError(protocol.Decode(sim.expectStatus(200, resp).Body, &res))
			cancelled += res.Cancelled
			if res.Remaining == 0 || tries > 30 {
				break
			}
			time.Sleep(time.Second)
		}
		if cancelled == 0 {
			t.Error("no job was cancelled")
		}
		sim.waitForAllJobs(10 * time.Minute)
		for i := range 40 {
			id := fmt.Sprintf("job-%d", i)
			if st := sim.poll("", id); i%2 == 1 && st != protocol.StatusDone {
				t.Errorf("%s, submitted by another identity, has status %s, want done", id, st)
			}
		}
		time.Sleep(2 * audit.AggregationInterval)
		if n := countAuditRecords(sim.readAudit("n2"), func(r *audit.Record) bool {
			return r.Verb == "withdraw-all" && r.Identity == "person/root" && r.Outcome == audit.Allowed
		}); n != cancelled {
			t.Errorf("the audit log has %d cancellations, %d were made", n, cancelled)
		}
	})
}

// Two administrators revoke each other at the same moment: exactly one of them remains.
func TestAdministratorsRevokeEachOther(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 55, func(sim *simulatedCluster) {
		second := rights.Identity{Name: "person/second", Roles: []string{"admin"}}
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", &rights.Change{Version: 1, PutIdentities: []rights.Identity{second}}))
		time.Sleep(time.Second)
		var got [2]transport.Response
		var wg sync.WaitGroup
		for i, identityName := range []string{"person/root", "person/second"} {
			wg.Go(func() {
				other := []string{"person/second", "person/root"}[i]
				got[i] = sim.requestAs(identityName, []string{"n0", "n1"}[i], "POST", "/policy", &rights.Change{Version: 2,
					PutIdentities: []rights.Identity{{Name: other, Roles: []string{"admin"}, Revoked: true}}})
			})
		}
		wg.Wait()
		if a, b := got[0].Status, got[1].Status; a+b != 200+409 {
			t.Fatalf("the revocations got status %d and %d, want one 200 and one 409", a, b)
		}
		remaining, revoked := "person/root", "person/second"
		if got[0].Status != 200 {
			remaining, revoked = revoked, remaining
		}
		time.Sleep(time.Second)
		sim.expectStatus(403, sim.requestAs(revoked, "n2", "GET", "/policy/roles", nil))
		sim.expectStatus(422, sim.requestAs(remaining, "n2", "POST", "/policy", &rights.Change{Version: 3, PutIdentities: []rights.Identity{{Name: remaining, Roles: []string{"admin"}, Revoked: true}}}))
		sim.expectStatus(409, sim.requestAs(remaining, "n2", "POST", "/policy", &rights.Change{Version: 2, DropIdentities: []string{revoked}}))
		sim.expectStatus(200, sim.requestAs(remaining, "n2", "POST", "/policy", &rights.Change{Version: 3, DropIdentities: []string{revoked}}))
	})
}

// Tokens issued before a given time can be revoked while the identity stays valid.
func TestRevokedTokensAreRefused(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 56, func(sim *simulatedCluster) {
		sim.expectStatus(404, sim.requestAs("person/partner", "n0", "GET", "/submissions/job-9", nil))
		time.Sleep(2 * time.Second)
		partner := rights.Identity{Name: "person/partner", Roles: []string{"guest"}, TokensRevokedBeforeMS: time.Now().UnixMilli()}
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", &rights.Change{Version: 1, PutIdentities: []rights.Identity{partner}}))
		time.Sleep(2 * time.Second)
		sim.expectStatus(401, sim.requestAs("person/partner", "n1", "GET", "/submissions/job-9", nil))
		delete(sim.identities.tokens, "person/partner")
		sim.expectStatus(404, sim.requestAs("person/partner", "n1", "GET", "/submissions/job-9", nil))
	})
}

// BenchmarkPolicyOf10000Identities measures the memory that the policy takes in a controller.
func BenchmarkPolicyOf10000Identities(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		c := newTestController(b.Context(), &newSimulatedCluster(b, 1).settings, settings.DefaultOperator())
		panicOnError(c.EnableAuth(auth.Config{}))
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 1000 {
			r := rights.Role{Name: fmt.Sprintf("role-%03d", i), Rules: []rights.Rule{{Verbs: []string{"submit", "view"}, Team: fmt.Sprintf("team-%03d", i), Class: "*"}}}
			panicOnError(c.auth.ApplyPolicyRecord(storage.KindRole, r.Name, protocol.Event{Put: "x", Value: storage.Encode(&r)}))
		}
		for i := range 10_000 {
			id := rights.Identity{Name: fmt.Sprintf("person/clerk-%05d", i), Roles: []string{fmt.Sprintf("role-%03d", i%1000)}}
			panicOnError(c.auth.ApplyPolicyRecord(storage.KindIdentity, id.Name, protocol.Event{Put: "x", Value: storage.Encode(&id)}))
		}
		c.auth.PublishPolicy(time.Now())
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10/1000, "kB/1000identities")
		runtime.KeepAlive(c)
	}
}

// A machine or a controller may send messages only under the name in its own certificate.
func TestCertificatesAuthenticateOnlyTheirOwnName(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 49, func(sim *simulatedCluster) {
		c := sim.controllers["n0"].controller
		sendHeartbeatAs := func(cert, machine string) int {
			return c.Serve(sim.ctx, &transport.Request{Method: "POST", Path: "/checkin", Peer: sim.identities.certificate(cert),
				Body: protocol.Encode(&protocol.Heartbeat{Machine: machine, Epoch: 1})}).Status
		}
		sendSummaryAs := func(cert, from string) int {
			body, err := proto.Marshal(&peer.Summary{From: from})
			panicOnError(err)
			return c.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: peering.SummaryPath, Peer: sim.identities.certificate(cert), Body: body}).Status
		}
		for name, tc := range map[string]struct{ got, refused int }{
			"another machine's certificate":            {sendHeartbeatAs("worker/m-9", "m-1"), 403},
			"a person's certificate for a machine":     {sendHeartbeatAs("person/anna", "m-1"), 403},
			"a controller's certificate for a machine": {sendHeartbeatAs("controller/n1", "m-1"), 403},
			"another controller's certificate":         {sendSummaryAs("controller/n1", "n2"), 403},
			"a machine's certificate for a controller": {sendSummaryAs("worker/any", "n1"), 403},
			"an unknown controller":                    {sendSummaryAs("controller/n9", "n9"), 403},
			"heartbeat without a certificate":          {c.Serve(sim.ctx, &transport.Request{Method: "POST", Path: "/checkin"}).Status, 401},
			"summary without a certificate":            {c.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: peering.SummaryPath}).Status, 401},
			"machine request without a certificate":    {c.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: peerapi.MachineRequestPath}).Status, 401},
		} {
			if tc.got != tc.refused {
				t.Errorf("%s: status %d, want %d", name, tc.got, tc.refused)
			}
		}
		for name, got := range map[string]int{"its own certificate": sendHeartbeatAs("worker/m-1", "m-1"), "a shared certificate": sendHeartbeatAs("worker/any", "m-2"), "a controller's own certificate": sendSummaryAs("controller/n1", "n1")} {
			if got == 401 || got == 403 {
				t.Errorf("%s: refused with status %d", name, got)
			}
		}
		// An expired certificate is refused, also on a connection that was opened before.
		sim.identities.certs["worker/m-7"] = sim.identities.issue("worker/m-7", time.Minute)
		if got := sendHeartbeatAs("worker/m-7", "m-7"); got == 401 {
			t.Error("the certificate was refused before it expired")
		}
		time.Sleep(time.Minute)
		if got := sendHeartbeatAs("worker/m-7", "m-7"); got != 401 {
			t.Errorf("an expired certificate got status %d, want 401", got)
		}
	})
}

// The cancellation of all jobs of a submitter includes those that another controller has just accepted,
// although the answers to the watch of the controller that cancels are late.
func TestCancelAllAtAControllerThatIsBehind(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 5770, func(sim *simulatedCluster) {
		race := &reassignmentRace{sim}
		sim.withLock(func() { sim.cloud.Capacity = 0 })
		race.delayWatch("n1")
		s := newJobSpecOfClass("job-1", "red", "match")
		sim.withLock(func() {
			sim.jobs[s.ID] = newAcceptedJob(s)
			sim.jobs[s.ID].cancelRequested = true
		})
		sim.expectStatus(201, sim.requestAs("person/anna", "n0", "POST", "/submissions", encodeSubmission(s)))
		response := sim.expectStatus(200, sim.requestAs("person/root", "n1", "POST", "/withdrawals", protocol.CancelAll{SubmittedBy: "person/anna"}))
		var result protocol.CancelAllResult
		panicOnError(protocol.Decode(response.Body, &result))
		if result.Cancelled != 1 || result.Remaining != 0 {
			t.Errorf("%d jobs cancelled, %d remain; want 1 and 0", result.Cancelled, result.Remaining)
		}
		sim.withLock(func() { sim.onResponse, sim.cloud.Capacity = nil, 12 })
		sim.waitForAllJobs(time.Minute)
	})
}
