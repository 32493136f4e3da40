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

// A service that vouches for a client does what that client may and no more; it
// follows and ends by its own rights what it was allowed to begin; and the audit
// says who asked for whom.
func TestVouching(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 57, func(w *world) {
		change := rights.Change{Version: 1,
			PutRoles: []rights.Role{{Name: "gate", Rules: []rights.Rule{{Verbs: []string{"vouch", "view", "withdraw"}, Team: "*", Class: "build"}}},
				{Name: "everything", Rules: []rights.Rule{{Verbs: []string{"submit", "view", "withdraw"}, Team: "*", Class: "*"}}}},
			PutIdentities: []rights.Identity{{Name: "service/gate-0", Roles: []string{"gate"}}, {Name: "service/other", Roles: []string{"everything"}}}}
		w.expect(200, w.as("person/root", "n0", "POST", "/policy", change))
		time.Sleep(time.Second)
		through := func(service, token, behalf, method, target string, body any) transport.Response {
			var raw []byte
			switch b := body.(type) {
			case nil:
			case []byte:
				raw = b
			default:
				raw = protocol.Encode(b)
			}
			path, query, _ := strings.Cut(target, "?")
			req := &transport.Request{Method: method, Path: path, Query: query, Body: raw, From: "10.9.0.3:4000", OnBehalfOf: behalf}
			if token != "" {
				req.Authorization = w.ids.authorization(token)
			} else {
				req.Peer = w.ids.certificate(service)
			}
			w.mu.Lock()
			n := w.nodes["n0"]
			w.mu.Unlock()
			return n.ctl.Serve(w.ctx, req)
		}
		job := func(id, team, class string) any {
			return submission(jobSpec(id, team, class))
		}
		const gate = "service/gate-0"
		w.expect(201, through(gate, "", "person/anna", "POST", "/submissions", job("job-1", "red", "build")))
		w.expect(200, through(gate, "", "person/anna", "GET", "/may?verb=submit&team=red&class=build", nil))
		for what, resp := range map[string]transport.Response{
			"a queue that she has no right on":            through(gate, "", "person/anna", "POST", "/submissions", job("job-2", "blue", "build")),
			"a class that the gate does not vouch for":    through(gate, "", "person/anna", "POST", "/submissions", job("job-3", "red", "match")),
			"somebody whom nobody knows":                  through(gate, "", "person/nobody", "POST", "/submissions", job("job-4", "red", "build")),
			"a worker":                                    through(gate, "", "worker/m-1", "POST", "/submissions", job("job-5", "red", "build")),
			"no name":                                     through(gate, "", "anna", "POST", "/submissions", job("job-6", "red", "build")),
			"a service without the right to vouch":        through("service/other", "", "person/anna", "POST", "/submissions", job("job-7", "red", "build")),
			"a token instead of the certificate":          through("", gate, "person/anna", "POST", "/submissions", job("job-8", "red", "build")),
			"a person who vouches":                        through("person/root", "", "person/anna", "POST", "/submissions", job("job-9", "red", "build")),
			"an administrator's change through the gate":  through(gate, "", "person/root", "POST", "/policy", rights.Change{Version: 2}),
			"an administrator's withdrawals through it":   through(gate, "", "person/root", "POST", "/withdrawals", protocol.CancelAll{By: "person/anna"}),
			"the gate itself, which may submit nothing":   through(gate, "", "", "POST", "/submissions", job("job-10", "red", "build")),
			"a right that she has on none, asked through": through(gate, "", "person/partner", "GET", "/may?verb=submit&team=red&class=build", nil),
		} {
			if resp.Status != 403 {
				t.Errorf("%s: %d", what, resp.Status)
			}
		}
		// She is revoked: nothing new begins, and what was begun is followed and ended
		// by the gate, on record for whom.
		w.expect(200, w.as("person/root", "n0", "POST", "/policy", rights.Change{Version: 2,
			PutIdentities: []rights.Identity{{Name: "person/anna", Roles: []string{"clerk"}, Revoked: true}}}))
		time.Sleep(4 * time.Second)
		w.expect(403, through(gate, "", "person/anna", "POST", "/submissions", job("job-11", "red", "build")))
		w.expect(200, through(gate, "", "person/anna", "GET", "/submissions/job-1", nil))
		w.expect(200, through(gate, "", "person/anna", "POST", "/submissions/job-1/withdraw", map[string]any{}))
		time.Sleep(10 * time.Second)
		read := w.readAudit("n0")
		for verb, n := range map[string]int{"submit": 1, "withdraw": 1} {
			if got := counted(read, func(r *audit.Record) bool {
				return r.Verb == verb && r.Job == "job-1" && r.Who == "person/anna" && r.Outcome == audit.Allowed && strings.HasPrefix(r.How, "vouched for by service/gate-0, certificate ")
			}); got != n {
				t.Errorf("%d records of %s for her, want %d", got, verb, n)
			}
		}
		if got := counted(read, func(r *audit.Record) bool {
			return r.Outcome == audit.Denied && r.Who == "service/other" && strings.Contains(r.Reason, "vouches for person/anna")
		}); got != 1 {
			t.Errorf("%d records of the service that may not vouch", got)
		}
	})
}
