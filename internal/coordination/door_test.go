package coordination

import (
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"

	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/audit"
	"micaspindle/internal/audit/archive"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/rights"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// clerks is the identities of a simulated world: an authority whose
// certificates and tokens the world's messages carry, in the clear.
type clerks struct {
	t        *testing.T
	ca       *pki.Authority
	key      ed25519.PrivateKey
	keyrings map[string]*identity.Keyring
	mu       sync.Mutex
	certs    map[string]*x509.Certificate
	tokens   map[string]string
}

const everybody = 24 * time.Hour

func newClerks(t *testing.T) *clerks {
	dir := t.TempDir()
	ca, err := pki.Create(dir, "test", time.Now(), 100*everybody)
	must(err)
	key, err := pki.TokenKey(dir)
	must(err)
	k := &clerks{t: t, ca: ca, key: key, keyrings: map[string]*identity.Keyring{}, certs: map[string]*x509.Certificate{}, tokens: map[string]string{}}
	for _, label := range []string{"n0", "n1", "n2"} {
		k.certificate("controller/" + label)
		ring, err := identity.Load(identity.Files{Own: ca.File(identity.Name{Kind: identity.Controller, ID: label}),
			Roots: filepath.Join(dir, pki.RootFile), TokenKeys: filepath.Join(dir, pki.TokenKeysFile)})
		must(err)
		k.keyrings[label] = ring
	}
	return k
}

func (k *clerks) identities(label string) auth.Identities {
	ring := k.keyrings[label]
	return auth.Identities{Tokens: identity.NewTokens(ring, "test", 5*time.Millisecond), Bootstrap: "person/root", ClockBound: 5 * time.Millisecond,
		Signer: func() audit.Signer {
			key, cert := ring.Signer()
			return audit.Signer{Key: key, Cert: cert, ID: identity.Fingerprint(cert)}
		}}
}

// certificate is what somebody shows; nil where nobody asks.
func (k *clerks) certificate(who string) *x509.Certificate {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.certs[who] == nil {
		k.certs[who] = k.issue(who, everybody)
	}
	return k.certs[who]
}

func (k *clerks) issue(who string, life time.Duration) *x509.Certificate {
	name, err := identity.ParseName(who)
	must(err)
	issued, err := k.ca.Issue(name, time.Now(), life, false)
	must(err)
	data, err := os.ReadFile(issued.File)
	must(err)
	certs, err := identity.ParseCertificates(data)
	must(err)
	return certs[0]
}

// authorization is the header of somebody's requests; the world's own user is
// the administrator.
func (k *clerks) authorization(who string) string {
	if k == nil {
		return ""
	}
	if who == "" {
		who = "person/root"
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tokens[who] == "" {
		name, err := identity.ParseName(who)
		must(err)
		token, err := identity.IssueToken(k.key, name, "test", time.Now(), everybody)
		must(err)
		k.tokens[who] = "Bearer " + token
	}
	return k.tokens[who]
}

// as sends somebody's request to a controller.
func (w *world) as(who, label, method, target string, body any) transport.Response {
	w.mu.Lock()
	n := w.nodes[label]
	w.mu.Unlock()
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		raw = protocol.Encode(b)
	}
	path, query, _ := strings.Cut(target, "?")
	req := &transport.Request{Method: method, Path: path, Query: query, Body: raw, From: "10.9.0.2:4000"}
	if who != "" {
		req.Authorization = w.ids.authorization(who)
	}
	return n.ctl.Serve(w.ctx, req)
}

// theWish is the policy of the wish: a clerk of one office, the refund team and
// a guest partner, beside the administrator who may do everything.
func theWish() *rights.Change {
	all := []string{"submit", "view", "view-arguments", "withdraw", "reassign", "administer"}
	return &rights.Change{
		PutRoles: []rights.Role{
			{Name: "admin", Rules: []rights.Rule{{Verbs: all, Team: "*", Class: "*"}}},
			{Name: "clerk", Rules: []rights.Rule{{Verbs: []string{"submit", "view", "withdraw", "reassign"}, Team: "red", Class: "*"}}},
			{Name: "refund", Rules: []rights.Rule{{Verbs: all[:4], Team: "blue", Class: "refund-*"}}},
			{Name: "guest", Rules: []rights.Rule{{Verbs: []string{"view"}, Team: "*", Class: "*"}}},
		},
		PutIdentities: []rights.Identity{{Name: "person/root", Roles: []string{"admin"}}, {Name: "person/anna", Roles: []string{"clerk"}},
			{Name: "service/refunds", Roles: []string{"refund"}}, {Name: "person/partner", Roles: []string{"guest"}}},
	}
}

// simulateIdentities is simulate with identities, the wish's policy in force.
func simulateIdentities(t *testing.T, seed uint64, f func(w *world)) {
	t.Helper()
	simulatePrepared(t, seed, func(w *world) {
		w.ids = newClerks(t)
		w.set.Params.State.TxnOps = 16
	}, func(w *world) {
		time.Sleep(3 * time.Second)
		w.expect(200, w.as("person/root", "n0", "POST", "/policy", theWish()))
		time.Sleep(time.Second)
		f(w)
	})
}

func (w *world) expect(status int, resp transport.Response) transport.Response {
	w.t.Helper()
	if resp.Status != status {
		var p protocol.Problem
		_ = protocol.Decode(resp.Body, &p)
		w.t.Errorf("status %d, want %d: %s", resp.Status, status, p.Error)
	}
	return resp
}

// readAudit exports the audit as an operator does, verifies it and returns what
// it holds.
func (w *world) readAudit(label string) []archive.ReadRecord {
	w.t.Helper()
	data := w.exportAudit(label)
	roots := x509.NewCertPool()
	roots.AddCert(w.ids.ca.Root())
	v, err := archive.Verify(bytes.NewReader(data), roots)
	must(err)
	for _, p := range v.Problems {
		w.t.Errorf("audit: %s", p)
	}
	return v.Read
}

func (w *world) exportAudit(label string) []byte {
	w.t.Helper()
	resp := w.as("person/root", label, "GET", "/audit/seal", nil)
	for tries := 0; resp.Status != 200 && tries < 20; tries++ {
		time.Sleep(time.Second)
		resp = w.as("person/root", label, "GET", "/audit/seal", nil)
	}
	var seal audit.Seal
	must(protocol.Decode(w.expect(200, resp).Body, &seal))
	var out bytes.Buffer
	must(archive.Export(w.ctx, &out, &seal, func(_ context.Context, chain string, after uint64) ([]audit.NumberedBatch, error) {
		resp := w.as("person/root", label, "GET", fmt.Sprintf("/audit/batches?chain=%s&after=%d", url.QueryEscape(chain), after), nil)
		if resp.Status != 200 {
			return nil, errors.New("no answer")
		}
		var page struct {
			Batches []audit.NumberedBatch `msgpack:"batches"`
		}
		err := protocol.Decode(resp.Body, &page)
		return page.Batches, err
	}, func(uint64, uint64) {}))
	return out.Bytes()
}

// counted adds up the records that match.
func counted(read []archive.ReadRecord, match func(r *audit.Record) bool) int {
	n := uint64(0)
	for i := range read {
		if match(&read[i].Record) {
			n += max(1, read[i].Count)
		}
	}
	return int(n)
}

func jobSpec(id, team, class string) *protocol.JobSpec {
	s := spec(id, 2, team)
	s.Class = class
	return s
}

// The wish's three roles try what they must not do; each refusal is the same
// whether the job exists or not, and each is in the audit, once or counted.
func TestRolesOfTheWish(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 51, func(w *world) {
		for _, s := range []*protocol.JobSpec{jobSpec("job-1", "red", "match"), jobSpec("job-2", "blue", "refund-batch"), jobSpec("job-3", "blue", "price-check")} {
			w.submit(s)
		}
		asked := map[string]int{} // by identity, refusals
		refused := func(who string, status int, resp transport.Response) {
			t.Helper()
			w.expect(status, resp)
			if resp.Status == 401 || resp.Status == 403 {
				asked[who]++
			}
		}
		// The clerk moves another region's job, or one of its own there.
		for _, label := range []string{"n0", "n1", "n2"} {
			refused("person/anna", 403, w.as("person/anna", label, "POST", "/submissions/job-2/reassign", protocol.Reassignment{As: "job-90", Team: "red"}))
			refused("person/anna", 403, w.as("person/anna", label, "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-90", Team: "green"}))
			refused("person/anna", 403, w.as("person/anna", label, "POST", "/submissions/job-77/reassign", protocol.Reassignment{As: "job-90", Team: "red"}))
			// The refund team touches the price-check queue.
			refused("service/refunds", 403, w.as("service/refunds", label, "GET", "/submissions/job-3", nil))
			refused("service/refunds", 403, w.as("service/refunds", label, "POST", "/submissions/job-3/withdraw", nil))
			refused("service/refunds", 403, w.as("service/refunds", label, "POST", "/submissions", submission(jobSpec("job-91", "blue", "price-check"))))
			// A guest partner looks for arguments wherever there might be some.
			for _, path := range []string{"/submissions/job-1/arguments", "/submissions/job-77/arguments", "/audit/seal", "/audit/batches?chain=n0&after=0",
				"/policy/roles", "/policy/identities"} {
				refused("person/partner", 403, w.as("person/partner", label, "GET", path, nil))
			}
			refused("person/partner", 403, w.as("person/partner", label, "POST", "/submissions", submission(jobSpec("job-1", "red", "match"))))
			refused("person/partner", 403, w.as("person/partner", label, "POST", "/submissions/job-1/withdraw", nil))
			refused("person/partner", 403, w.as("person/partner", label, "POST", "/withdrawals", protocol.CancelAll{By: "person/root"}))
			refused("", 401, w.as("person/partner", label, "POST", "/checkin", protocol.Encode((&protocol.Heartbeat{Machine: "m-000000", Epoch: 1}))))
			refused("", 401, w.as("", label, "GET", "/submissions/job-1", nil))
		}
		// What a job and one that does not exist are answered does not differ.
		a := w.as("service/refunds", "n0", "GET", "/submissions/job-3", nil)
		b := w.as("service/refunds", "n0", "GET", "/submissions/job-77", nil)
		asked["service/refunds"] += 2
		if a.Status != b.Status || !bytes.Equal(a.Body, b.Body) || a.RetryAfter != b.RetryAfter {
			t.Errorf("a job of another queue gets %d %q, no job %d %q", a.Status, a.Body, b.Status, b.Body)
		}
		// What they may do, they may.
		w.expect(200, w.as("person/anna", "n1", "GET", "/submissions/job-1", nil))
		w.expect(200, w.as("service/refunds", "n1", "GET", "/submissions/job-2/arguments", nil))
		w.expect(200, w.as("person/partner", "n1", "GET", "/submissions/job-3", nil))
		w.expect(201, w.as("person/anna", "n2", "POST", "/submissions", submission(jobSpec("job-4", "red", "verify"))))
		w.expect(404, w.as("person/root", "n2", "GET", "/submissions/job-77", nil))
		// Nothing that a guest is told holds arguments.
		for _, id := range []string{"job-1", "job-2"} {
			if resp := w.as("person/partner", "n0", "GET", "/submissions/"+id, nil); bytes.Contains(resp.Body, []byte("img")) {
				t.Errorf("the image of %s is told: %q", id, resp.Body)
			}
		}
		time.Sleep(2 * audit.GatherInterval)
		read := w.readAudit("n1")
		for who, n := range asked {
			if got := counted(read, func(r *audit.Record) bool { return r.Outcome == audit.Denied && r.Who == who }); got != n {
				t.Errorf("%q was refused %d times, the audit has %d", who, n, got)
			}
		}
		if n := counted(read, func(r *audit.Record) bool {
			return r.Verb == "view-arguments" && r.Who == "service/refunds" && r.Job == "job-2" && r.Outcome == audit.Allowed
		}); n != 1 {
			t.Errorf("looking at arguments is recorded %d times", n)
		}
		for _, r := range read {
			if strings.Contains(fmt.Sprint(r), "img") || strings.Contains(fmt.Sprint(r), "eyJ") {
				t.Errorf("the audit tells arguments or a token: %+v", r)
			}
		}
		w.mu.Lock()
		w.jobs["job-4"] = &userJob{spec: jobSpec("job-4", "red", "verify"), tasksDone: map[int]bool{}, accepted: time.Now()}
		w.mu.Unlock()
		w.finish(3 * time.Minute)
	})
}

// Neither the answer, nor how much the state service is asked, nor the budget for
// unknown jobs tells a job of another queue from one that does not exist.
func TestForeignJobsLookLikeNone(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 50, func(w *world) {
		w.submit(jobSpec("job-3", "blue", "price-check"))
		time.Sleep(10 * time.Second) // every controller knows it
		seen := map[string]string{}
		for _, id := range []string{"job-3", "job-77", "job-3/", "job-x"} {
			time.Sleep(20 * time.Second) // the budget is whole again
			w.mu.Lock()
			before := w.state.Served
			w.mu.Unlock()
			answers := ""
			for range 3 * auth.UnknownJobBurst {
				resp := w.as("service/refunds", "n0", "GET", "/submissions/"+id, nil)
				answers += fmt.Sprintf("%d %q %d;", resp.Status, resp.Body, resp.RetryAfter)
			}
			w.mu.Lock()
			read := w.state.Served - before
			w.mu.Unlock()
			seen[id] = answers
			if id == "job-3" && (!strings.Contains(answers, "403") || !strings.Contains(answers, "429") || read < auth.UnknownJobBurst) {
				t.Errorf("%s: %d reads, %s", id, read, answers)
			}
		}
		if seen["job-3"] != seen["job-77"] {
			t.Errorf("another queue's job: %s\nno job: %s", seen["job-3"], seen["job-77"])
		}
		w.finish(time.Minute)
	})
}

// A controller that ends between its commit and its answer leaves the user to
// ask again: there is one job and one record of its acceptance.
func TestKilledBetweenCommitAndAnswer(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 52, func(w *world) {
		s := jobSpec("job-1", "red", "match")
		killed := false
		w.mu.Lock()
		w.answered = func(from, host, target string, body []byte, resp *transport.Response) bool {
			if host != "state" || target != "/commit" || killed || from != "n1" || !bytes.Contains(body, []byte(storage.JobKey(s.ID))) {
				return false
			}
			if resp.Status != 200 {
				t.Errorf("the commit got %d", resp.Status)
			}
			killed = true
			go w.kill("n1")
			return true
		}
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		n := w.nodes["n1"]
		resp := n.ctl.Serve(ctx, &transport.Request{Method: "POST", Path: "/submissions", Body: submission(s), Authorization: w.ids.authorization("person/anna")})
		if resp.Status == 201 || resp.Status == 200 || !killed {
			t.Fatalf("answered %d, killed %v", resp.Status, killed)
		}
		// Until the others' watches bring it, the record is all that tells.
		w.expect(200, w.as("person/anna", "n2", "POST", "/submissions", submission(s)))
		w.expect(200, w.as("person/anna", "n0", "POST", "/submissions", submission(s)))
		w.start("n1")
		time.Sleep(2 * audit.GatherInterval)
		if n := counted(w.readAudit("n0"), func(r *audit.Record) bool { return r.Verb == "submit" && r.Job == s.ID }); n != 1 {
			t.Errorf("%d records of one acceptance", n)
		}
		w.mu.Lock()
		w.jobs[s.ID] = &userJob{spec: s, tasksDone: map[int]bool{}, accepted: time.Now()}
		w.mu.Unlock()
		w.finish(3 * time.Minute)
	})
}

// A revocation holds on every controller within 3 s, also on one that can't be
// told.
func TestRevocationDuringAPartition(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 53, func(w *world) {
		w.mu.Lock()
		w.runTime = func(string, int, string) time.Duration { return 40 * time.Second }
		w.mu.Unlock()
		mine := jobSpec("job-1", "red", "match")
		w.mu.Lock()
		w.jobs[mine.ID] = &userJob{spec: mine, tasksDone: map[int]bool{}, accepted: time.Now()}
		w.mu.Unlock()
		w.expect(201, w.as("person/anna", "n0", "POST", "/submissions", submission(mine)))
		time.Sleep(15 * time.Second)
		for _, label := range []string{"n0", "n1", "n2"} {
			w.expect(200, w.as("person/anna", label, "GET", "/submissions/job-1", nil))
		}
		w.mu.Lock()
		w.cut = func(from, to string) bool { return from == "n2" && to == "state" }
		w.mu.Unlock()
		revoke := &rights.Change{Version: 1, PutIdentities: []rights.Identity{{Name: "person/anna", Roles: []string{"clerk"}, Revoked: true}}}
		w.expect(200, w.as("person/root", "n0", "POST", "/policy", revoke))
		w.expect(403, w.as("person/anna", "n0", "GET", "/submissions/job-1", nil))
		time.Sleep(3 * time.Second)
		w.expect(403, w.as("person/anna", "n1", "POST", "/submissions", submission(jobSpec("job-2", "red", "match"))))
		for _, resp := range []transport.Response{
			w.as("person/anna", "n2", "POST", "/submissions", submission(jobSpec("job-2", "red", "match"))),
			w.as("person/anna", "n2", "GET", "/submissions/job-1", nil), w.as("person/anna", "n2", "POST", "/submissions/job-1/withdraw", nil),
			w.as("person/root", "n2", "POST", "/policy", revoke)} {
			if w.expect(503, resp).RetryAfter == 0 {
				t.Error("no Retry-After")
			}
		}
		w.mu.Lock()
		w.cut = nil
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		w.expect(403, w.as("person/anna", "n2", "GET", "/submissions/job-1", nil))
		// Her job goes on for its queue.
		if st := w.poll("n1", "job-1"); st != protocol.StatusRunning {
			t.Errorf("the revoked clerk's job is %q", st)
		}
		w.finish(3 * time.Minute)
		for _, label := range []string{"n0", "n1", "n2"} {
			// The others had the revocation at once, so that refusals are on all.
			w.expect(403, w.as("person/anna", label, "GET", "/submissions/job-1", nil))
		}
	})
}

// One command withdraws everything that somebody has submitted, and nothing
// else; it is allowed where the operator administers the queue.
func TestSweepOfSomebodysJobs(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 54, func(w *world) {
		w.mu.Lock()
		w.runTime = func(string, int, string) time.Duration { return 10 * time.Second }
		w.mu.Unlock()
		for i := range 40 {
			s := jobSpec(fmt.Sprintf("job-%d", i), "red", "match")
			w.mu.Lock()
			w.jobs[s.ID] = &userJob{spec: s, tasksDone: map[int]bool{}, accepted: time.Now(), asked: i%2 == 0}
			w.mu.Unlock()
			who := "person/root"
			if i%2 == 0 {
				who = "person/anna"
			}
			for w.as(who, "n0", "POST", "/submissions", submission(s)).Status != 201 {
				time.Sleep(time.Second)
			}
		}
		time.Sleep(time.Second)
		withdrawn := 0
		for tries := 0; ; tries++ {
			var res protocol.CancelAllResult
			resp := w.as("person/root", "n1", "POST", "/withdrawals", protocol.CancelAll{By: "person/anna"})
			must(protocol.Decode(w.expect(200, resp).Body, &res))
			withdrawn += res.Cancelled
			if res.Remaining == 0 || tries > 30 {
				break
			}
			time.Sleep(time.Second)
		}
		if withdrawn == 0 {
			t.Error("nothing was withdrawn")
		}
		w.finish(10 * time.Minute)
		for i := range 40 {
			id := fmt.Sprintf("job-%d", i)
			if st := w.poll("", id); i%2 == 1 && st != protocol.StatusDone {
				t.Errorf("%s of somebody else is %s", id, st)
			}
		}
		time.Sleep(2 * audit.GatherInterval)
		if n := counted(w.readAudit("n2"), func(r *audit.Record) bool {
			return r.Verb == "withdraw-all" && r.Who == "person/root" && r.Outcome == audit.Allowed
		}); n != withdrawn {
			t.Errorf("%d withdrawals are recorded, %d were made", n, withdrawn)
		}
	})
}

// Two administrators revoke each other at the same moment: one of them stays.
func TestAdministratorsRevokeEachOther(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 55, func(w *world) {
		second := rights.Identity{Name: "person/second", Roles: []string{"admin"}}
		w.expect(200, w.as("person/root", "n0", "POST", "/policy", &rights.Change{Version: 1, PutIdentities: []rights.Identity{second}}))
		time.Sleep(time.Second)
		var got [2]transport.Response
		var wg sync.WaitGroup
		for i, who := range []string{"person/root", "person/second"} {
			wg.Go(func() {
				other := []string{"person/second", "person/root"}[i]
				got[i] = w.as(who, []string{"n0", "n1"}[i], "POST", "/policy", &rights.Change{Version: 2,
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
		w.expect(403, w.as(other, "n2", "GET", "/policy/roles", nil))
		w.expect(422, w.as(left, "n2", "POST", "/policy", &rights.Change{Version: 3, PutIdentities: []rights.Identity{{Name: left, Roles: []string{"admin"}, Revoked: true}}}))
		w.expect(409, w.as(left, "n2", "POST", "/policy", &rights.Change{Version: 2, DropIdentities: []string{other}}))
		w.expect(200, w.as(left, "n2", "POST", "/policy", &rights.Change{Version: 3, DropIdentities: []string{other}}))
	})
}

// Tokens that were issued before a moment can be voided, with the identity left
// as it is.
func TestVoidedTokens(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 56, func(w *world) {
		w.expect(404, w.as("person/partner", "n0", "GET", "/submissions/job-9", nil))
		time.Sleep(2 * time.Second)
		void := rights.Identity{Name: "person/partner", Roles: []string{"guest"}, TokensFromMS: time.Now().UnixMilli()}
		w.expect(200, w.as("person/root", "n0", "POST", "/policy", &rights.Change{Version: 1, PutIdentities: []rights.Identity{void}}))
		time.Sleep(2 * time.Second)
		w.expect(401, w.as("person/partner", "n1", "GET", "/submissions/job-9", nil))
		delete(w.ids.tokens, "person/partner")
		w.expect(404, w.as("person/partner", "n1", "GET", "/submissions/job-9", nil))
	})
}

// A job that has not started goes on under another id in another queue, in one
// step; one that has started stays.
func TestReassignment(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 57, func(w *world) {
		w.mu.Lock()
		w.cloud.Capacity = 0
		w.runTime = func(string, int, string) time.Duration { return 8 * time.Second }
		w.mu.Unlock()
		add := func(s *protocol.JobSpec) {
			w.submit(s)
			w.mu.Lock()
			w.jobs[s.ID].asked = true
			w.mu.Unlock()
		}
		add(jobSpec("job-1", "red", "match"))
		add(jobSpec("job-2", "red", "match"))
		add(jobSpec("job-3", "red", "match"))
		wait := jobSpec("job-4", "red", "letters")
		wait.Dependencies = []string{"job-3"}
		add(wait)
		time.Sleep(time.Second)
		move := func(id, as, team string) transport.Response {
			return w.as("person/root", "n1", "POST", "/submissions/"+id+"/reassign", protocol.Reassignment{As: as, Team: team})
		}
		moved := jobSpec("job-11", "blue", "match")
		w.mu.Lock()
		w.jobs["job-11"] = &userJob{spec: moved, tasksDone: map[int]bool{}, accepted: time.Now()}
		w.mu.Unlock()
		w.expect(200, move("job-1", "job-11", "blue"))
		w.expect(200, move("job-1", "job-11", "blue")) // asked again, also elsewhere
		w.expect(200, w.as("person/root", "n2", "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-11", Team: "blue"}))
		w.expect(409, move("job-1", "job-12", "blue"))
		w.expect(409, move("job-2", "job-11", "blue"))
		w.expect(422, move("job-2", "job-12", "nobody"))
		w.expect(422, move("job-3", "job-13", "blue")) // another waits for it
		w.expect(400, move("job-2", "job-2", "blue"))
		w.expect(400, move("job-2", "x", "blue"))
		w.expect(404, move("job-77", "job-14", "blue"))
		w.mu.Lock()
		w.cloud.Capacity = 12
		w.mu.Unlock()
		for w.poll("", "job-2") != protocol.StatusRunning {
			time.Sleep(100 * time.Millisecond)
		}
		w.expect(409, move("job-2", "job-12", "blue"))
		if st := w.poll("n0", "job-1"); st != protocol.StatusCancelled {
			t.Errorf("the job that was moved is %s", st)
		}
		w.finish(3 * time.Minute)
		if st := w.poll("n0", "job-11"); st != protocol.StatusDone {
			t.Errorf("its successor is %s", st)
		}
		if n := counted(w.readAudit("n0"), func(r *audit.Record) bool { return r.Verb == "reassign" && r.Outcome == audit.Allowed }); n != 1 {
			t.Errorf("%d records of one reassignment", n)
		}
	})
}

// A reassignment that crosses the job's first start: one of them wins, and no
// task of a moved job ever starts. Started checks the queue's limits and places.
func TestReassignmentCrossesTheFirstStart(t *testing.T) {
	t.Parallel()
	for seed := uint64(60); seed < 64; seed++ {
		simulateIdentities(t, seed, func(w *world) {
			w.mu.Lock()
			rng := rand.New(rand.NewPCG(seed, 1))
			w.runTime = func(string, int, string) time.Duration { return 2 * time.Second }
			w.mu.Unlock()
			first := jobSpec("job-1000", "red", "match") // brings machines up
			w.submit(first)
			w.finish(time.Minute)
			won, lost := 0, 0
			for i := range 20 {
				s := jobSpec(fmt.Sprintf("job-%d", i), "red", "match")
				w.submit(s)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				as := fmt.Sprintf("job-%d", 100+i)
				w.mu.Lock()
				w.jobs[s.ID].asked = true
				w.jobs[as] = &userJob{spec: jobSpec(as, "blue", "match"), tasksDone: map[int]bool{}, accepted: time.Now()}
				w.mu.Unlock()
				resp := w.as("person/root", fmt.Sprintf("n%d", i%3), "POST", "/submissions/"+s.ID+"/reassign", protocol.Reassignment{As: as, Team: "blue"})
				w.mu.Lock()
				switch resp.Status {
				case 200:
					won++
					if len(w.jobs[s.ID].tasksDone) > 0 {
						t.Errorf("%s was moved after a task of it was done", s.ID)
					}
				case 409:
					lost++
					delete(w.jobs, as)
				default:
					t.Errorf("reassignment got %d", resp.Status)
					delete(w.jobs, as)
				}
				w.mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
			w.finish(3 * time.Minute)
			t.Logf("seed %d: %d moved, %d had started", seed, won, lost)
		})
	}
}

// A flood of refusals takes hardly any of the state service's budget, and none
// of them is lost.
func TestFloodOfRefusals(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 58, func(w *world) {
		time.Sleep(audit.GatherInterval)
		w.mu.Lock()
		before := w.state.Changes
		w.mu.Unlock()
		flood := 20 * time.Second
		refused := 0
		for begun := time.Now(); time.Since(begun) < flood; time.Sleep(time.Millisecond) {
			w.expect(403, w.as("person/partner", "n1", "POST", fmt.Sprintf("/submissions/job-%d/withdraw", 1000+refused), nil))
			refused++
		}
		time.Sleep(2 * audit.GatherInterval)
		w.mu.Lock()
		changes := w.state.Changes - before
		w.mu.Unlock()
		if most := 2 * int(flood/time.Second); changes > most {
			t.Errorf("%d refusals made %d changes in %s, want at most %d", refused, changes, flood, most)
		}
		if n := counted(w.readAudit("n0"), func(r *audit.Record) bool { return r.Outcome == audit.Denied && r.Verb == "withdraw" }); n != refused {
			t.Errorf("%d refusals, the audit counts %d", refused, n)
		}
	})
}

// Storms with identities: whatever is lost, late or killed, every accepted job
// has one record of its acceptance, every such record has its job, and the
// chains hold.
func TestAuditThroughStorms(t *testing.T) {
	t.Parallel()
	for seed := uint64(70); seed < 74; seed++ {
		simulateIdentities(t, seed, func(w *world) {
			w.stormTasks = 3
			dice := func(n int) int { w.mu.Lock(); defer w.mu.Unlock(); return w.rng.IntN(n) }
			submitted := map[string]bool{}
			w.mu.Lock()
			w.trouble = 0.05
			w.mu.Unlock()
			for i := range 40 {
				id := fmt.Sprintf("job-%d", i)
				submitted[id] = true
				w.submit(jobSpec(id, []string{"red", "blue", "green"}[dice(3)], "match"))
				switch dice(6) {
				case 0:
					label := fmt.Sprintf("n%d", dice(3))
					w.mu.Lock()
					up := w.nodes[label] != nil && len(w.nodes) > 1
					w.mu.Unlock()
					if up {
						w.kill(label)
						w.group.Go(func() { time.Sleep(2 * time.Second); w.start(label) })
					}
				case 1:
					w.withdraw(id)
				case 2:
					w.outage(true)
					time.Sleep(time.Duration(dice(4000)) * time.Millisecond)
					w.outage(false)
				}
				time.Sleep(time.Duration(dice(800)) * time.Millisecond)
			}
			w.mu.Lock()
			w.trouble = 0
			w.mu.Unlock()
			time.Sleep(25 * time.Second) // what is late has come, and who was killed is back
			w.finish(6 * time.Minute)
			accepts, withdrawals := map[string]int{}, map[string]int{}
			for _, r := range w.readAudit("n0") {
				if r.Outcome == audit.Allowed && r.Verb == "submit" {
					accepts[r.Job]++
				}
				if r.Outcome == audit.Allowed && r.Verb == "withdraw" {
					withdrawals[r.Job]++
				}
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			for id := range submitted {
				_, exists := w.state.Items[storage.JobKey(id)]
				if !exists || accepts[id] != 1 {
					t.Errorf("seed %d: %s: record of the job %v, of its acceptance %d", seed, id, exists, accepts[id])
				}
				var f storage.Final
				it, over := w.state.Items[storage.FinalKey(id)]
				must(storage.Decode(it.Value, &f))
				want := 0
				if over && f.Status == protocol.StatusCancelled {
					want = 1
				}
				if withdrawals[id] != want {
					t.Errorf("seed %d: %s is %s, with %d records of a withdrawal", seed, id, f.Status, withdrawals[id])
				}
			}
			if len(accepts) != len(submitted) {
				t.Errorf("seed %d: %d acceptances of %d jobs", seed, len(accepts), len(submitted))
			}
			for key := range w.state.Items {
				if strings.HasPrefix(key, audit.Prefix) && w.state.Largest["a"] > int(w.set.Params.State.ValueKB*1024) {
					t.Fatalf("%s is too large", key)
				}
			}
		})
	}
}

// Somebody at the state service changes a batch that is stored: the verifier
// names the place.
func TestTamperedStore(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 59, func(w *world) {
		for i := range 3 {
			w.submit(jobSpec(fmt.Sprintf("job-%d", i), "red", "match"))
		}
		w.finish(time.Minute)
		tamper := func(f func(s *state.Service)) {
			w.mu.Lock()
			defer w.mu.Unlock()
			f(w.state)
		}
		label := "n0"
		find := func(s *state.Service) (string, protocol.Item) {
			for key, it := range s.Items {
				if chain, n, ok := audit.ParseBatchKey(key); ok && chain == label && n == 1 {
					return key, it
				}
			}
			t.Fatal("no batch")
			return "", protocol.Item{}
		}
		var before protocol.Item
		tamper(func(s *state.Service) {
			key, it := find(s)
			before = it
			var b audit.Batch
			must(storage.Decode(it.Value, &b))
			b.Lines[0] = strings.Replace(b.Lines[0], "person/root", "person/anna", 1)
			it.Value = storage.Encode(b)
			s.Items[key] = it
		})
		roots := x509.NewCertPool()
		roots.AddCert(w.ids.ca.Root())
		v, err := archive.Verify(bytes.NewReader(w.exportAudit("n2")), roots)
		must(err)
		if len(v.Problems) == 0 || v.Problems[0].Chain != label || v.Problems[0].Batch != 1 {
			t.Errorf("an altered batch: %v", v.Problems)
		}
		tamper(func(s *state.Service) { s.Items[before.Key] = before })
		w.readAudit("n2")
	})
}

// Command: go test -run XXX -bench Policy ./internal/coordination
func BenchmarkPolicyOf10000Identities(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		c := newTestController(b.Context(), &newWorld(b, 1).set, settings.DefaultOperator())
		must(c.EnableAuth(auth.Identities{}))
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 1000 {
			r := rights.Role{Name: fmt.Sprintf("role-%03d", i), Rules: []rights.Rule{{Verbs: []string{"submit", "view"}, Team: fmt.Sprintf("team-%03d", i), Class: "*"}}}
			must(c.auth.ApplyPolicyRecord(storage.KindRole, r.Name, protocol.Event{Put: "x", Value: storage.Encode(&r)}))
		}
		for i := range 10_000 {
			id := rights.Identity{Name: fmt.Sprintf("person/clerk-%05d", i), Roles: []string{fmt.Sprintf("role-%03d", i%1000)}}
			must(c.auth.ApplyPolicyRecord(storage.KindIdentity, id.Name, protocol.Event{Put: "x", Value: storage.Encode(&id)}))
		}
		c.auth.PublishPolicy(time.Now())
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10/1000, "kB/1000identities")
		runtime.KeepAlive(c)
	}
}

// Machines and controllers speak for themselves only.
func TestMachinesAndControllersSpeakForThemselves(t *testing.T) {
	t.Parallel()
	simulateIdentities(t, 49, func(w *world) {
		n := w.nodes["n0"].ctl
		report := func(cert, machine string) int {
			return n.Serve(w.ctx, &transport.Request{Method: "POST", Path: "/checkin", Peer: w.ids.certificate(cert),
				Body: protocol.Encode(&protocol.Heartbeat{Machine: machine, Epoch: 1})}).Status
		}
		summary := func(cert, from string) int {
			body, err := proto.Marshal(&peer.Summary{From: from})
			must(err)
			return n.ServePeers(w.ctx, &transport.Request{Method: "POST", Path: peering.SummaryPath, Peer: w.ids.certificate(cert), Body: body}).Status
		}
		for what, tc := range map[string]struct{ got, refused int }{
			"another machine":        {report("worker/m-9", "m-1"), 403},
			"a person as a machine":  {report("person/anna", "m-1"), 403},
			"a controller as one":    {report("controller/n1", "m-1"), 403},
			"another controller":     {summary("controller/n1", "n2"), 403},
			"a machine as a peer":    {summary("worker/any", "n1"), 403},
			"a stranger as a peer":   {summary("controller/n9", "n9"), 403},
			"nobody's report":        {n.Serve(w.ctx, &transport.Request{Method: "POST", Path: "/checkin"}).Status, 401},
			"nobody's summary":       {n.ServePeers(w.ctx, &transport.Request{Method: "POST", Path: peering.SummaryPath}).Status, 401},
			"nobody's fleet request": {n.ServePeers(w.ctx, &transport.Request{Method: "POST", Path: peerapi.MachineRequestPath}).Status, 401},
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
		w.ids.certs["worker/m-7"] = w.ids.issue("worker/m-7", time.Minute)
		if got := report("worker/m-7", "m-7"); got == 401 {
			t.Error("refused before its end")
		}
		time.Sleep(time.Minute)
		if got := report("worker/m-7", "m-7"); got != 401 {
			t.Errorf("an ended certificate: %d", got)
		}
	})
}
