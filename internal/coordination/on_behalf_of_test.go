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

// A service that vouches for a client may do what that client may and no more; it polls and
// cancels by its own rights what it was allowed to submit; and the audit log records who asked
// on whose behalf.
func TestRequestsOnBehalfOfClients(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 57, func(sim *simulatedCluster) {
		change := rights.Change{Version: 1,
			PutRoles: []rights.Role{{Name: "gate", Rules: []rights.Rule{{Verbs: []string{"vouch", "view", "withdraw"}, Team: "*", Class: "build"}}},
				{Name: "everything", Rules: []rights.Rule{{Verbs: []string{"submit", "view", "withdraw"}, Team: "*", Class: "*"}}}},
			PutIdentities: []rights.Identity{{Name: "service/gate-0", Roles: []string{"gate"}}, {Name: "service/other", Roles: []string{"everything"}}}}
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", change))
		time.Sleep(time.Second)
		requestThrough := func(service, token, behalf, method, target string, body any) transport.Response {
			req := newRequest("10.9.0.3:4000", method, target, body)
			req.OnBehalfOf = behalf
			if token != "" {
				req.Authorization = sim.identities.authorization(token)
			} else {
				req.Peer = sim.identities.certificate(service)
			}
			n := sim.processOf("n0")
			return n.controller.Serve(sim.ctx, req)
		}
		job := func(id, team, class string) any {
			return encodeSubmission(newJobSpecOfClass(id, team, class))
		}
		const gate = "service/gate-0"
		sim.expectStatus(201, requestThrough(gate, "", "person/anna", "POST", "/submissions", job("job-1", "red", "build")))
		sim.expectStatus(200, requestThrough(gate, "", "person/anna", "GET", "/may?verb=submit&team=red&class=build", nil))
		for name, resp := range map[string]transport.Response{
			"a queue on which the client has no right":              requestThrough(gate, "", "person/anna", "POST", "/submissions", job("job-2", "blue", "build")),
			"a class that the service may not vouch for":            requestThrough(gate, "", "person/anna", "POST", "/submissions", job("job-3", "red", "match")),
			"an unknown identity":                                   requestThrough(gate, "", "person/nobody", "POST", "/submissions", job("job-4", "red", "build")),
			"a worker":                                              requestThrough(gate, "", "worker/m-1", "POST", "/submissions", job("job-5", "red", "build")),
			"a malformed identity":                                  requestThrough(gate, "", "anna", "POST", "/submissions", job("job-6", "red", "build")),
			"a service without the right to vouch":                  requestThrough("service/other", "", "person/anna", "POST", "/submissions", job("job-7", "red", "build")),
			"a token instead of the certificate":                    requestThrough("", gate, "person/anna", "POST", "/submissions", job("job-8", "red", "build")),
			"a person who vouches":                                  requestThrough("person/root", "", "person/anna", "POST", "/submissions", job("job-9", "red", "build")),
			"an administrator's change through the gate":            requestThrough(gate, "", "person/root", "POST", "/policy", rights.Change{Version: 2}),
			"an administrator's bulk cancellation through the gate": requestThrough(gate, "", "person/root", "POST", "/withdrawals", protocol.CancelAll{By: "person/anna"}),
			"the gate itself, which may submit nothing":             requestThrough(gate, "", "", "POST", "/submissions", job("job-10", "red", "build")),
			"a right check for an identity without the right":       requestThrough(gate, "", "person/partner", "GET", "/may?verb=submit&team=red&class=build", nil),
		} {
			if resp.Status != 403 {
				t.Errorf("%s: %d", name, resp.Status)
			}
		}
		// The client is revoked: nothing new may be submitted for it, but the gate can still
		// poll and cancel earlier jobs, with the client's name in the audit log.
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", rights.Change{Version: 2,
			PutIdentities: []rights.Identity{{Name: "person/anna", Roles: []string{"clerk"}, Revoked: true}}}))
		time.Sleep(4 * time.Second)
		sim.expectStatus(403, requestThrough(gate, "", "person/anna", "POST", "/submissions", job("job-11", "red", "build")))
		sim.expectStatus(200, requestThrough(gate, "", "person/anna", "GET", "/submissions/job-1", nil))
		sim.expectStatus(200, requestThrough(gate, "", "person/anna", "POST", "/submissions/job-1/withdraw", map[string]any{}))
		time.Sleep(10 * time.Second)
		read := sim.readAudit("n0")
		for verb, n := range map[string]int{"submit": 1, "withdraw": 1} {
			if got := countRecords(read, func(r *audit.Record) bool {
				return r.Verb == verb && r.Job == "job-1" && r.Who == "person/anna" && r.Outcome == audit.Allowed && strings.HasPrefix(r.How, "vouched for by service/gate-0, certificate ")
			}); got != n {
				t.Errorf("%d records of %s for the client, want %d", got, verb, n)
			}
		}
		if got := countRecords(read, func(r *audit.Record) bool {
			return r.Outcome == audit.Denied && r.Who == "service/other" && strings.Contains(r.Reason, "vouches for person/anna")
		}); got != 1 {
			t.Errorf("%d records of the service that may not vouch", got)
		}
	})
}
