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

// The wish's three roles try what they must not do; each refusal is the same
// whether the job exists or not, and each is in the audit, once or counted.
func TestRolesLimitWhatIdentitiesMayDo(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 51, func(sim *simulatedCluster) {
		for _, s := range []*protocol.JobSpec{newJobSpecOfClass("job-1", "red", "match"), newJobSpecOfClass("job-2", "blue", "refund-batch"), newJobSpecOfClass("job-3", "blue", "price-check")} {
			sim.submit(s)
		}
		asked := map[string]int{} // by identity, refusals
		refused := func(who string, status int, resp transport.Response) {
			t.Helper()
			sim.expectStatus(status, resp)
			if resp.Status == 401 || resp.Status == 403 {
				asked[who]++
			}
		}
		// The clerk moves another region's job, or one of its own there.
		for _, label := range []string{"n0", "n1", "n2"} {
			refused("person/anna", 403, sim.requestAs("person/anna", label, "POST", "/submissions/job-2/reassign", protocol.Reassignment{As: "job-90", Team: "red"}))
			refused("person/anna", 403, sim.requestAs("person/anna", label, "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-90", Team: "green"}))
			refused("person/anna", 403, sim.requestAs("person/anna", label, "POST", "/submissions/job-77/reassign", protocol.Reassignment{As: "job-90", Team: "red"}))
			// The refund team touches the price-check queue.
			refused("service/refunds", 403, sim.requestAs("service/refunds", label, "GET", "/submissions/job-3", nil))
			refused("service/refunds", 403, sim.requestAs("service/refunds", label, "POST", "/submissions/job-3/withdraw", nil))
			refused("service/refunds", 403, sim.requestAs("service/refunds", label, "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-91", "blue", "price-check"))))
			// A guest partner looks for arguments wherever there might be some.
			for _, path := range []string{"/submissions/job-1/arguments", "/submissions/job-77/arguments", "/audit/seal", "/audit/batches?chain=n0&after=0",
				"/policy/roles", "/policy/identities"} {
				refused("person/partner", 403, sim.requestAs("person/partner", label, "GET", path, nil))
			}
			refused("person/partner", 403, sim.requestAs("person/partner", label, "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-1", "red", "match"))))
			refused("person/partner", 403, sim.requestAs("person/partner", label, "POST", "/submissions/job-1/withdraw", nil))
			refused("person/partner", 403, sim.requestAs("person/partner", label, "POST", "/withdrawals", protocol.Sweep{By: "person/root"}))
			refused("", 401, sim.requestAs("person/partner", label, "POST", "/checkin", protocol.Encode((&protocol.Heartbeat{Machine: "m-000000", Epoch: 1}))))
			refused("", 401, sim.requestAs("", label, "GET", "/submissions/job-1", nil))
		}
		// What a job and one that does not exist are answered does not differ.
		a := sim.requestAs("service/refunds", "n0", "GET", "/submissions/job-3", nil)
		b := sim.requestAs("service/refunds", "n0", "GET", "/submissions/job-77", nil)
		asked["service/refunds"] += 2
		if a.Status != b.Status || !bytes.Equal(a.Body, b.Body) || a.RetryAfter != b.RetryAfter {
			t.Errorf("a job of another queue gets %d %q, no job %d %q", a.Status, a.Body, b.Status, b.Body)
		}
		// What they may do, they may.
		sim.expectStatus(200, sim.requestAs("person/anna", "n1", "GET", "/submissions/job-1", nil))
		sim.expectStatus(200, sim.requestAs("service/refunds", "n1", "GET", "/submissions/job-2/arguments", nil))
		sim.expectStatus(200, sim.requestAs("person/partner", "n1", "GET", "/submissions/job-3", nil))
		sim.expectStatus(201, sim.requestAs("person/anna", "n2", "POST", "/submissions", encodeSubmission(newJobSpecOfClass("job-4", "red", "verify"))))
		sim.expectStatus(404, sim.requestAs("person/root", "n2", "GET", "/submissions/job-77", nil))
		// Nothing that a guest is told holds arguments.
		for _, id := range []string{"job-1", "job-2"} {
			if resp := sim.requestAs("person/partner", "n0", "GET", "/submissions/"+id, nil); bytes.Contains(resp.Body, []byte("img")) {
				t.Errorf("the image of %s is told: %q", id, resp.Body)
			}
		}
		time.Sleep(2 * audit.GatherFor)
		read := sim.readAudit("n1")
		for who, n := range asked {
			if got := countRecords(read, func(r *audit.Record) bool { return r.Outcome == audit.Denied && r.Who == who }); got != n {
				t.Errorf("%q was refused %d times, the audit has %d", who, n, got)
			}
		}
		if n := countRecords(read, func(r *audit.Record) bool {
			return r.Verb == "view-arguments" && r.Who == "service/refunds" && r.Job == "job-2" && r.Outcome == audit.Allowed
		}); n != 1 {
			t.Errorf("looking at arguments is recorded %d times", n)
		}
		for _, r := range read {
			if strings.Contains(fmt.Sprint(r), "img") || strings.Contains(fmt.Sprint(r), "eyJ") {
				t.Errorf("the audit tells arguments or a token: %+v", r)
			}
		}
		sim.mu.Lock()
		sim.jobs["job-4"] = &submittedJob{spec: newJobSpecOfClass("job-4", "red", "verify"), tasksDone: map[int]bool{}, acceptedAt: time.Now()}
		sim.mu.Unlock()
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// Neither the answer, nor how much the state service is asked, nor the budget for
// unknown jobs tells a job of another queue from one that does not exist.
func TestJobsOfOtherQueuesAreIndistinguishableFromUnknown(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 50, func(sim *simulatedCluster) {
		sim.submit(newJobSpecOfClass("job-3", "blue", "price-check"))
		time.Sleep(10 * time.Second) // every controller knows it
		seen := map[string]string{}
		for _, id := range []string{"job-3", "job-77", "job-3/", "job-x"} {
			time.Sleep(20 * time.Second) // the budget is whole again
			sim.mu.Lock()
			before := sim.state.Served
			sim.mu.Unlock()
			answers := ""
			for range 3 * auth.UnknownJobBurst {
				resp := sim.requestAs("service/refunds", "n0", "GET", "/submissions/"+id, nil)
				answers += fmt.Sprintf("%d %q %d;", resp.Status, resp.Body, resp.RetryAfter)
			}
			sim.mu.Lock()
			read := sim.state.Served - before
			sim.mu.Unlock()
			seen[id] = answers
			if id == "job-3" && (!strings.Contains(answers, "403") || !strings.Contains(answers, "429") || read < auth.UnknownJobBurst) {
				t.Errorf("%s: %d reads, %s", id, read, answers)
			}
		}
		if seen["job-3"] != seen["job-77"] {
			t.Errorf("another queue's job: %s\nno job: %s", seen["job-3"], seen["job-77"])
		}
		sim.waitForAllJobs(time.Minute)
	})
}

// A revocation holds on every controller within 3 s, also on one that can't be
// told.
func TestRevocationDuringANetworkPartition(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 53, func(sim *simulatedCluster) {
		sim.mu.Lock()
		sim.runTime = func(string, int, string) time.Duration { return 40 * time.Second }
		sim.mu.Unlock()
		mine := newJobSpecOfClass("job-1", "red", "match")
		sim.mu.Lock()
		sim.jobs[mine.ID] = &submittedJob{spec: mine, tasksDone: map[int]bool{}, acceptedAt: time.Now()}
		sim.mu.Unlock()
		sim.expectStatus(201, sim.requestAs("person/anna", "n0", "POST", "/submissions", encodeSubmission(mine)))
		time.Sleep(15 * time.Second)
		for _, label := range []string{"n0", "n1", "n2"} {
			sim.expectStatus(200, sim.requestAs("person/anna", label, "GET", "/submissions/job-1", nil))
		}
		sim.mu.Lock()
		sim.cut = func(from, to string) bool { return from == "n2" && to == "state" }
		sim.mu.Unlock()
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
				t.Error("no Retry-After")
			}
		}
		sim.mu.Lock()
		sim.cut = nil
		sim.mu.Unlock()
		time.Sleep(5 * time.Second)
		sim.expectStatus(403, sim.requestAs("person/anna", "n2", "GET", "/submissions/job-1", nil))
		// Her job goes on for its queue.
		if st := sim.poll("n1", "job-1"); st != protocol.StatusRunning {
			t.Errorf("the revoked clerk's job is %q", st)
		}
		sim.waitForAllJobs(3 * time.Minute)
		for _, label := range []string{"n0", "n1", "n2"} {
			// The others had the revocation at once, so that refusals are on all.
			sim.expectStatus(403, sim.requestAs("person/anna", label, "GET", "/submissions/job-1", nil))
		}
	})
}

// One command withdraws everything that somebody has submitted, and nothing
// else; it is allowed where the operator administers the queue.
func TestCancellingAllJobsOfAnIdentity(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 54, func(sim *simulatedCluster) {
		sim.mu.Lock()
		sim.runTime = func(string, int, string) time.Duration { return 10 * time.Second }
		sim.mu.Unlock()
		for i := range 40 {
			s := newJobSpecOfClass(fmt.Sprintf("job-%d", i), "red", "match")
			sim.mu.Lock()
			sim.jobs[s.ID] = &submittedJob{spec: s, tasksDone: map[int]bool{}, acceptedAt: time.Now(), cancelRequested: i%2 == 0}
			sim.mu.Unlock()
			who := "person/root"
			if i%2 == 0 {
				who = "person/anna"
			}
			for sim.requestAs(who, "n0", "POST", "/submissions", encodeSubmission(s)).Status != 201 {
				time.Sleep(time.Second)
			}
		}
		time.Sleep(time.Second)
		withdrawn := 0
		for tries := 0; ; tries++ {
			var res protocol.SweepResult
			resp := sim.requestAs("person/root", "n1", "POST", "/withdrawals", protocol.Sweep{By: "person/anna"})
			panicOnError(protocol.Decode(sim.expectStatus(200, resp).Body, &res))
			withdrawn += res.Withdrawn
			if res.Left == 0 || tries > 30 {
				break
			}
			time.Sleep(time.Second)
		}
		if withdrawn == 0 {
			t.Error("nothing was withdrawn")
		}
		sim.waitForAllJobs(10 * time.Minute)
		for i := range 40 {
			id := fmt.Sprintf("job-%d", i)
			if st := sim.poll("", id); i%2 == 1 && st != protocol.StatusDone {
				t.Errorf("%s of somebody else is %s", id, st)
			}
		}
		time.Sleep(2 * audit.GatherFor)
		if n := countRecords(sim.readAudit("n2"), func(r *audit.Record) bool {
			return r.Verb == "withdraw-all" && r.Who == "person/root" && r.Outcome == audit.Allowed
		}); n != withdrawn {
			t.Errorf("%d withdrawals are recorded, %d were made", n, withdrawn)
		}
	})
}

// Two administrators revoke each other at the same moment: one of them stays.
func TestAdministratorsRevokeEachOther(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 55, func(sim *simulatedCluster) {
		second := rights.Identity{Name: "person/second", Roles: []string{"admin"}}
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", &rights.Change{Version: 1, PutIdentities: []rights.Identity{second}}))
		time.Sleep(time.Second)
		var got [2]transport.Response
		var wg sync.WaitGroup
		for i, who := range []string{"person/root", "person/second"} {
			wg.Go(func() {
				other := []string{"person/second", "person/root"}[i]
				got[i] = sim.requestAs(who, []string{"n0", "n1"}[i], "POST", "/policy", &rights.Change{Version: 2,
					PutIdentities: []rights.Identity{{Name: other, Roles: []string{"admin"}, Revoked: true}}})
			})
		}
		wg.Wait()
		if a, b := got[0].Status, got[1].Status; a+b != 200+409 {
			t.Fatalf("answers %d and %d", a, b)
		}
		left, other := "person/root", "person/second"
		if got[0].Status != 200 {
			left, other = other, left
		}
		time.Sleep(time.Second)
		sim.expectStatus(403, sim.requestAs(other, "n2", "GET", "/policy/roles", nil))
		sim.expectStatus(422, sim.requestAs(left, "n2", "POST", "/policy", &rights.Change{Version: 3, PutIdentities: []rights.Identity{{Name: left, Roles: []string{"admin"}, Revoked: true}}}))
		sim.expectStatus(409, sim.requestAs(left, "n2", "POST", "/policy", &rights.Change{Version: 2, DropIdentities: []string{other}}))
		sim.expectStatus(200, sim.requestAs(left, "n2", "POST", "/policy", &rights.Change{Version: 3, DropIdentities: []string{other}}))
	})
}

// Tokens that were issued before a moment can be voided, with the identity left
// as it is.
func TestRevokedTokensAreRefused(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 56, func(sim *simulatedCluster) {
		sim.expectStatus(404, sim.requestAs("person/partner", "n0", "GET", "/submissions/job-9", nil))
		time.Sleep(2 * time.Second)
		void := rights.Identity{Name: "person/partner", Roles: []string{"guest"}, TokensFromMS: time.Now().UnixMilli()}
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", &rights.Change{Version: 1, PutIdentities: []rights.Identity{void}}))
		time.Sleep(2 * time.Second)
		sim.expectStatus(401, sim.requestAs("person/partner", "n1", "GET", "/submissions/job-9", nil))
		delete(sim.identities.tokens, "person/partner")
		sim.expectStatus(404, sim.requestAs("person/partner", "n1", "GET", "/submissions/job-9", nil))
	})
}

// Command: go test -run XXX -bench Policy ./internal/coordination
func BenchmarkPolicyOf10000Identities(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		c := newTestController(b.Context(), &newSimulatedCluster(b, 1).settings, settings.DefaultOperator())
		panicOnError(c.Identify(auth.Identities{}))
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

// Machines and controllers speak for themselves only.
func TestCertificatesAuthenticateOnlyTheirOwnName(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 49, func(sim *simulatedCluster) {
		n := sim.controllers["n0"].controller
		report := func(cert, machine string) int {
			return n.Serve(sim.ctx, &transport.Request{Method: "POST", Path: "/checkin", Peer: sim.identities.certificate(cert),
				Body: protocol.Encode(&protocol.Heartbeat{Machine: machine, Epoch: 1})}).Status
		}
		summary := func(cert, from string) int {
			body, err := proto.Marshal(&peer.Summary{From: from})
			panicOnError(err)
			return n.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: peering.SummaryPath, Peer: sim.identities.certificate(cert), Body: body}).Status
		}
		for what, tc := range map[string]struct{ got, refused int }{
			"another machine":        {report("worker/m-9", "m-1"), 403},
			"a person as a machine":  {report("person/anna", "m-1"), 403},
			"a controller as one":    {report("controller/n1", "m-1"), 403},
			"another controller":     {summary("controller/n1", "n2"), 403},
			"a machine as a peer":    {summary("worker/any", "n1"), 403},
			"a stranger as a peer":   {summary("controller/n9", "n9"), 403},
			"nobody's report":        {n.Serve(sim.ctx, &transport.Request{Method: "POST", Path: "/checkin"}).Status, 401},
			"nobody's summary":       {n.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: peering.SummaryPath}).Status, 401},
			"nobody's fleet request": {n.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: peerapi.MachineRequestPath}).Status, 401},
		} {
			if tc.got != tc.refused {
				t.Errorf("%s: %d, want %d", what, tc.got, tc.refused)
			}
		}
		for what, got := range map[string]int{"its own": report("worker/m-1", "m-1"), "a shared certificate": report("worker/any", "m-2"), "a peer": summary("controller/n1", "n1")} {
			if got == 401 || got == 403 {
				t.Errorf("%s: refused with %d", what, got)
			}
		}
		// A certificate that has ended counts no more, however old the connection.
		sim.identities.certs["worker/m-7"] = sim.identities.issue("worker/m-7", time.Minute)
		if got := report("worker/m-7", "m-7"); got == 401 {
			t.Error("refused before its end")
		}
		time.Sleep(time.Minute)
		if got := report("worker/m-7", "m-7"); got != 401 {
			t.Errorf("an ended certificate: %d", got)
		}
	})
}
