package devcluster

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/audit"
	"micaspindle/internal/audit/archive"
	"micaspindle/internal/client"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi"
	"micaspindle/internal/rights"
)

// hostedCluster starts a cluster of real processes with authentication.
func hostedCluster(t *testing.T, ctx context.Context) *Cluster {
	t.Helper()
	dir := t.TempDir()
	identities, err := Prepare(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: dir, LogLevel: "info", WriteRPS: 100, RPS: 600, Identities: identities})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.WritePolicy(ctx, ""); err != nil {
		t.Fatal(err)
	}
	return c
}

// as returns a client with the token of an identity.
func (c *Cluster) as(t *testing.T, who string) *client.Client {
	t.Helper()
	cl, err := c.Client(who)
	if err != nil {
		t.Fatal(err)
	}
	return cl
}

func refused(t *testing.T, err error, status int) {
	t.Helper()
	var r *client.Refusal
	if !errors.As(err, &r) || r.Status != status {
		t.Errorf("got %v, want a refusal with %d", err, status)
	}
}

// exported returns the audit log, verified.
func (c *Cluster) exported(t *testing.T, ctx context.Context) []archive.ReadRecord {
	t.Helper()
	root := c.as(t, Administrator)
	var seal audit.Seal
	if err := root.Do(ctx, "GET", "/audit/seal", nil, &seal); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err := archive.Export(ctx, &out, &seal, func(ctx context.Context, chain string, after uint64) ([]audit.NumberedBatch, error) {
		var page struct {
			Batches []audit.NumberedBatch `msgpack:"batches"`
		}
		err := root.Do(ctx, "GET", "/audit/batches?chain="+url.QueryEscape(chain)+"&after="+strconv.FormatUint(after, 10), nil, &page)
		return page.Batches, err
	}, func(uint64, uint64) {})
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(c.Identities().CA.Root())
	v, err := archive.Verify(&out, roots)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range v.Problems {
		t.Errorf("audit: %s", p)
	}
	return v.Read
}

func tally(read []archive.ReadRecord, match func(r *audit.Record) bool) (n int) {
	for i := range read {
		if match(&read[i].Record) {
			n += int(max(1, read[i].Count))
		}
	}
	return n
}

// Three roles against real processes over TLS: a clerk, the refund team and a guest partner
// attempt operations that they have no right to.
func TestRolesOverTLS(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c := hostedCluster(t, ctx)
	root, anna, refunds, partner := c.as(t, Administrator), c.as(t, "person/anna"), c.as(t, "service/refunds"), c.as(t, "person/partner")
	secret := "image-nobody-else-may-see"
	submit := func(cl *client.Client, id, class, team string) error {
		s := NewSubmission(id, class, team, "standard", 2, 1, 1, 1)
		s.Image = &secret
		_, err := cl.Submit(ctx, &s)
		return err
	}
	for i, team := range []string{"placements-desk", "payments", "payments"} {
		if err := submit(root, fmt.Sprintf("job-%d", i+1), []string{"placement-match", "refund-batch", "price-check"}[i], team); err != nil {
			t.Fatal(err)
		}
	}
	denials := map[string]int{}
	try := func(who string, err error) {
		t.Helper()
		refused(t, err, 403)
		denials[who]++
	}
	try("person/anna", anna.Do(ctx, "POST", "/submissions/job-2/reassign", protocol.Reassignment{As: "job-92", Team: "placements-desk"}, nil))
	try("person/anna", anna.Do(ctx, "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-91", Team: "payments"}, nil))
	try("person/anna", submit(anna, "job-93", "x", "venues"))
	for _, id := range []string{"job-1", "job-3", "job-99"} {
		_, err := refunds.Status(ctx, id)
		try("service/refunds", err)
		_, err = refunds.Cancel(ctx, id)
		try("service/refunds", err)
	}
	for _, path := range []string{"/submissions/job-1/arguments", "/submissions/job-99/arguments", "/policy/roles", "/audit/seal", "/audit/batches?chain=spindle-0&after=0"} {
		try("person/partner", partner.Do(ctx, "GET", path, nil, nil))
	}
	try("person/partner", submit(partner, "job-1", "placement-match", "placements-desk"))
	// The guest sees states without arguments; logs and audit hold no arguments either.
	raw := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: c.Identities().workerTLS()}}
	token, err := os.ReadFile(c.Identities().TokenFile("person/partner"))
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, "GET", "https://"+c.Addrs()[0]+"/submissions/job-1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	resp, err := raw.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != 200 || bytes.Contains(body, []byte(secret)) {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	for _, node := range c.Nodes() {
		log, err := os.ReadFile(node.LogFile)
		if err != nil {
			t.Fatal(err)
		}
		for what, text := range map[string]string{"an argument": secret, "a token": strings.TrimSpace(string(token))} {
			if bytes.Contains(log, []byte(text)) {
				t.Errorf("the log of %s tells %s", node.Label, what)
			}
		}
	}
	var args protocol.Arguments
	if err := refunds.Do(ctx, "GET", "/submissions/job-2/arguments", nil, &args); err != nil || args.Image != secret || args.By != Administrator {
		t.Errorf("%+v %v", args, err)
	}
	// A client without a credential, one with a bad token, a machine that acts as a user,
	// and a user that acts as a machine.
	none := client.New(c.Addrs(), c.Identities().withoutOwn(), "")
	_, err = none.Status(ctx, "job-1")
	refused(t, err, 401)
	bad := client.New(c.Addrs(), c.Identities().withoutOwn(), strings.TrimSpace(string(token))+"x")
	_, err = bad.Status(ctx, "job-1")
	refused(t, err, 401)
	machine := client.New(c.Addrs(), c.Identities().workerTLS(), "")
	_, err = machine.Status(ctx, "job-1")
	refused(t, err, 403)
	refused(t, partner.Do(ctx, "POST", "/checkin", &protocol.Heartbeat{Machine: "m-1", Epoch: 1}, nil), 401)
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		for st := (protocol.JobStatus{}); !st.Ended(); time.Sleep(100 * time.Millisecond) {
			if st, err = root.Status(ctx, id); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(audit.GatherInterval + time.Second)
	read := c.exported(t, ctx)
	for who, n := range denials {
		if got := tally(read, func(r *audit.Record) bool { return r.Who == who && r.Outcome == audit.Denied }); got != n {
			t.Errorf("%s was refused %d times, the audit has %d", who, n, got)
		}
	}
	if n := tally(read, func(r *audit.Record) bool { return r.Who == "" && r.Outcome == audit.Denied }); n != 3 {
		t.Errorf("3 without a good credential, the audit has %d", n)
	}
}

// withoutOwn returns the TLS configuration of a client without a certificate.
func (h *Identities) withoutOwn() *tls.Config {
	config := h.workerTLS()
	config.GetClientCertificate = nil
	return config
}

// Controllers are killed at any moment while users submit with retries: each job exists
// once, with one audit record of its acceptance.
func TestKillsUnderLoadWithAudit(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 120*time.Second)
	defer cancel()
	c := hostedCluster(t, ctx)
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 3))
	t.Logf("seed %d", seed)
	var wg sync.WaitGroup
	const users, each = 12, 15
	for u := range users {
		anna := c.as(t, "person/anna")
		wg.Go(func() {
			for k := range each {
				s := NewSubmission(fmt.Sprintf("job-%d", 1000*(u+1)+k), "placement-match", "placements-desk", "standard", 1, 1, 1, 0.2)
				if _, err := anna.Submit(ctx, &s); err != nil {
					t.Errorf("%s: %v", *s.ID, err)
				}
			}
		})
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for kills := 0; ; kills++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(200+rng.IntN(600)) * time.Millisecond):
			}
			node := c.Nodes()[kills%3]
			c.Kill(node)
			select {
			case <-stop:
			case <-time.After(time.Duration(100+rng.IntN(400)) * time.Millisecond):
			}
			if err := c.Restart(node); err != nil {
				t.Error(err)
			}
		}
	}()
	wg.Wait()
	close(stop)
	<-done
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	accepts := map[string]int{}
	for _, r := range c.exported(t, ctx) {
		if r.Verb == "submit" && r.Outcome == audit.Allowed {
			accepts[r.Job]++
		}
	}
	kills := 0
	for _, node := range c.Nodes() {
		kills += node.Kills
	}
	t.Logf("%d kills", kills)
	for u := range users {
		for k := range each {
			if id := fmt.Sprintf("job-%d", 1000*(u+1)+k); accepts[id] != 1 {
				t.Errorf("%s has %d records of its acceptance", id, accepts[id])
			}
		}
	}
	if len(accepts) != users*each {
		t.Errorf("%d jobs have records, %d were submitted", len(accepts), users*each)
	}
}

// Running controllers load a renewed certificate, a revoked clerk is refused by each of them
// at once, and a policy survives the end of all controllers.
func TestRotationRevocationAndRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c := hostedCluster(t, ctx)
	root, anna := c.as(t, Administrator), c.as(t, "person/anna")
	for _, node := range c.Nodes() {
		name := identity.Name{Kind: identity.Controller, ID: node.Label}
		if _, err := c.Identities().CA.Issue(name, time.Now(), certificateLifetime, true); err != nil {
			t.Fatal(err)
		}
	}
	for _, node := range c.Nodes() {
		for {
			log, err := os.ReadFile(node.LogFile)
			if err != nil {
				t.Fatal(err)
			}
			if bytes.Contains(log, []byte("certificates read again")) {
				break
			}
			if ctx.Err() != nil {
				t.Fatalf("%s never took its new certificate", node.Label)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	var page rights.Page
	if err := root.Do(ctx, "GET", "/policy/identities", nil, &page); err != nil {
		t.Fatal(err)
	}
	ch := rights.Change{Version: page.Version}
	for _, id := range page.Identities {
		if id.Name == "person/anna" {
			id.Revoked = true
			ch.PutIdentities = append(ch.PutIdentities, id)
		}
	}
	revoked := time.Now()
	if err := root.Do(ctx, "POST", "/policy", &ch, nil); err != nil {
		t.Fatal(err)
	}
	for _, node := range c.Nodes() {
		for {
			err := anna.ForController(node.Addr).Do(ctx, "GET", "/whoami", nil, nil)
			var r *client.Refusal
			if errors.As(err, &r) && r.Status == 403 {
				break
			}
			if time.Since(revoked) > 3*time.Second {
				t.Fatalf("%s still takes her after 3 s: %v", node.Label, err)
			}
		}
	}
	for _, node := range c.Nodes() {
		c.Kill(node)
	}
	for _, node := range c.Nodes() {
		if err := c.Restart(node); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	refused(t, anna.Do(ctx, "GET", "/whoami", nil, nil), 403)
	if err := root.Do(ctx, "GET", "/whoami", nil, nil); err != nil {
		t.Error(err)
	}
}

// The front end asks the controllers for rights: allowed clients are served, refusals are in
// the controllers' audit, and a revocation takes effect at the front end too.
func TestFrontEndAsksControllers(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c := hostedCluster(t, ctx)
	identities := c.Identities()
	asker, err := reapi.NewControllerAccess(client.New(c.Addrs(), identities.withoutOwn(), ""), "refund-batch")
	if err != nil {
		t.Fatal(err)
	}
	token := func(who string) string {
		data, err := os.ReadFile(identities.TokenFile(who))
		if err != nil {
			t.Fatal(err)
		}
		return "Bearer " + strings.TrimSpace(string(data))
	}
	ask := func(who, verb, team string, want codes.Code) {
		t.Helper()
		cred := who
		if strings.Contains(who, "/") {
			cred = token(who)
		}
		if _, err := asker.Allows(ctx, cred, verb, team); status.Code(err) != want {
			t.Errorf("%s %s on %s: %v, want %s", who, verb, team, err, want)
		}
	}
	ask("service/refunds", "submit", "payments", codes.OK)
	ask("service/refunds", "view-arguments", "payments", codes.OK)
	ask("service/refunds", "submit", "venues", codes.PermissionDenied)
	ask("person/partner", "view-arguments", "payments", codes.PermissionDenied)
	ask("Bearer nonsense", "submit", "payments", codes.Unauthenticated)
	ask("Basic x", "submit", "payments", codes.Unauthenticated)
	ask("", "submit", "payments", codes.Unauthenticated)
	var page rights.Page
	root := c.as(t, Administrator)
	if err := root.Do(ctx, "GET", "/policy/identities", nil, &page); err != nil {
		t.Fatal(err)
	}
	revoke := rights.Change{Version: page.Version, PutIdentities: []rights.Identity{{Name: "service/refunds", Roles: []string{"refunds"}, Revoked: true}}}
	if err := root.Do(ctx, "POST", "/policy", &revoke, nil); err != nil {
		t.Fatal(err)
	}
	revoked := time.Now()
	for {
		_, err := asker.Allows(ctx, token("service/refunds"), "submit", "payments")
		if status.Code(err) == codes.PermissionDenied {
			break
		}
		if time.Since(revoked) > 4*time.Second {
			t.Fatalf("still allowed after %s: %v", time.Since(revoked), err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(audit.GatherInterval + time.Second)
	read := c.exported(t, ctx)
	if n := tally(read, func(r *audit.Record) bool {
		return r.Who == "service/refunds" && r.Outcome == audit.Denied && r.Team == "venues"
	}); n != 1 {
		t.Errorf("one refusal at the front end, the audit has %d", n)
	}
	if n := tally(read, func(r *audit.Record) bool { return r.Who == "person/partner" && r.Outcome == audit.Denied }); n != 1 {
		t.Errorf("one refusal of the guest, the audit has %d", n)
	}
	// Without controllers nobody is authorized.
	for _, node := range c.Nodes() {
		c.Kill(node)
	}
	time.Sleep(1100 * time.Millisecond)
	ask(Administrator, "submit", "payments", codes.Unavailable)
}
