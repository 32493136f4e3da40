package coordination

import (
	"strings"
	"testing"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// A service that acts on behalf of a client may submit only to the queues to which the client may
// submit. The service polls and cancels the submitted jobs by its own rights. The audit log records
// the service and the client of each request.
func TestRequestsOnBehalfOfClients(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 57, func(sim *simulatedCluster) {
		change := rights.Change{Version: 1,
			PutRoles: []rights.Role{{Name: "gate", Rules: []rights.Rule{{Verbs: []string{"vouch", "view", "withdraw"}, Team: "*", Class: "build"}}},
				{Name: "everything", Rules: []rights.Rule{{Verbs: []string{"submit", "view", "withdraw"}, Team: "*", Class: "*"}}}},
			PutIdentities: []rights.Identity{{Name: "service/gate-0", Roles: []string{"gate"}}, {Name: "service/other", Roles: []string{"everything"}}}}
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", change))
		time.Sleep(time.Second)
		requestThrough := func(service, token, client, method, target string, body any) transport.Response {
			req := newRequest("10.9.0.3:4000", method, target, body)
			req.OnBehalfOf = client
			if token != "" {
				req.Authorization = sim.identities.authorization(token)
			} else {
				req.Peer = sim.identities.certificate(service)
			}
			process := sim.processOf("n0")
			return process.controller.Serve(sim.ctx, req)
		}
		job := func(id, team, class string) any {
			return encodeSubmission(newJobSpecOfClass(id, team, class))
		}
		const frontend = "service/gate-0"
		sim.expectStatus(201, requestThrough(frontend, "", "person/anna", "POST", "/submissions", job("job-1", "red", "build")))
		sim.expectStatus(200, requestThrough(frontend, "", "person/anna", "GET", "/may?verb=submit&team=red&class=build", nil))
		for name, resp := range map[string]transport.Response{
			"a queue on which the client has no right":                 requestThrough(frontend, "", "person/anna", "POST", "/submissions", job("job-2", "blue", "build")),
			"a class that the service may not vouch for":               requestThrough(frontend, "", "person/anna", "POST", "/submissions", job("job-3", "red", "match")),
			"an unknown identity":                                      requestThrough(frontend, "", "person/nobody", "POST", "/submissions", job("job-4", "red", "build")),
			"a worker":                                                 requestThrough(frontend, "", "worker/m-1", "POST", "/submissions", job("job-5", "red", "build")),
			"a malformed identity":                                     requestThrough(frontend, "", "anna", "POST", "/submissions", job("job-6", "red", "build")),
			"a service without the right to vouch":                     requestThrough("service/other", "", "person/anna", "POST", "/submissions", job("job-7", "red", "build")),
			"a token instead of the certificate":                       requestThrough("", frontend, "person/anna", "POST", "/submissions", job("job-8", "red", "build")),
			"a person who vouches":                                     requestThrough("person/root", "", "person/anna", "POST", "/submissions", job("job-9", "red", "build")),
			"an administrator's change through the service":            requestThrough(frontend, "", "person/root", "POST", "/policy", rights.Change{Version: 2}),
			"an administrator's bulk cancellation through the service": requestThrough(frontend, "", "person/root", "POST", "/withdrawals", protocol.CancelAll{SubmittedBy: "person/anna"}),
			"the service itself, which may submit nothing":             requestThrough(frontend, "", "", "POST", "/submissions", job("job-10", "red", "build")),
			"a rights check for an identity without the right":         requestThrough(frontend, "", "person/partner", "GET", "/may?verb=submit&team=red&class=build", nil),
		} {
			if resp.Status != 403 {
				t.Errorf("%s: status %d, want 403", name, resp.Status)
			}
		}
		// After the client is revoked, no new job may be submitted for it, but the service can
		// still poll and cancel earlier jobs, with the client's name in the audit log.
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", rights.Change{Version: 2,
			PutIdentities: []rights.Identity{{Name: "person/anna", Roles: []string{"clerk"}, Revoked: true}}}))
		time.Sleep(4 * time.Second)
		sim.expectStatus(403, requestThrough(frontend, "", "person/anna", "POST", "/submissions", job("job-11", "red", "build")))
		sim.expectStatus(200, requestThrough(frontend, "", "person/anna", "GET", "/submissions/job-1", nil))
		sim.expectStatus(200, requestThrough(frontend, "", "person/anna", "POST", "/submissions/job-1/withdraw", map[string]any{}))
		time.Sleep(10 * time.Second)
		read := sim.readAudit("n0")
		for verb, n := range map[string]int{"submit": 1, "withdraw": 1} {
			if got := countAuditRecords(read, func(r *audit.Record) bool {
				return r.Verb == verb && r.Job == "job-1" && r.Identity == "person/anna" && r.Outcome == audit.Allowed && strings.HasPrefix(r.Credential, "vouched for by service/gate-0, certificate ")
			}); got != n {
				t.Errorf("%d audit records of verb %s for the client, want %d", got, verb, n)
			}
		}
		if got := countAuditRecords(read, func(r *audit.Record) bool {
			return r.Outcome == audit.Denied && r.Identity == "service/other" && strings.Contains(r.Reason, "vouches for person/anna")
		}); got != 1 {
			t.Errorf("%d audit records of the service without the right to vouch, want 1", got)
		}
	})
}
