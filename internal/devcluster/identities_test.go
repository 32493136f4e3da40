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

// startAuthenticatedCluster starts a cluster of real processes with authentication.
func startAuthenticatedCluster(t *testing.T, ctx context.Context) *Cluster {
	t.Helper()
	dir := t.TempDir()
	identities, err := PrepareIdentities(dir, 3)
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

// clientFor returns a client with the token of the named identity.
func (c *Cluster) clientFor(t *testing.T, name string) *client.Client {
	t.Helper()
	cl, err := c.Client(name)
	if err != nil {
		t.Fatal(err)
	}
	return cl
}

func wantRefusal(t *testing.T, err error, status int) {
	t.Helper()
	var refusal *client.Refusal
	if !errors.As(err, &refusal) || refusal.Status != status {
		t.Errorf("response to the request: got error %v, want a refusal with status %d", err, status)
	}
}

// exportAudit exports the audit log, verifies it, and returns its records.
func (c *Cluster) exportAudit(t *testing.T, ctx context.Context) []archive.ChainRecord {
	t.Helper()
	administrator := c.clientFor(t, Administrator)
	var seal audit.Seal
	if err := administrator.Do(ctx, "GET", "/audit/seal", nil, &seal); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err := archive.Export(ctx, &out, &seal, func(ctx context.Context, chain string, after uint64) ([]audit.NumberedBatch, error) {
		var page struct {
			Batches []audit.NumberedBatch `msgpack:"batches"`
		}
		err := administrator.Do(ctx, "GET", "/audit/batches?chain="+url.QueryEscape(chain)+"&after="+strconv.FormatUint(after, 10), nil, &page)
		return page.Batches, err
	}, func(uint64, uint64) {})
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(c.Identities().CA.Root())
	verification, err := archive.Verify(&out, roots)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range verification.Problems {
		t.Errorf("verification of the audit log found the problem %q, want none", p)
	}
	return verification.Decoded
}

func countRecords(records []archive.ChainRecord, match func(r *audit.Record) bool) (n int) {
	for i := range records {
		if match(&records[i].Record) {
			n += int(max(1, records[i].Count))
		}
	}
	return n
}

// Over TLS, identities of three roles are refused every operation that they have no right to, as are
// clients without valid credentials. Each refusal is in the audit log, and the controllers' logs
// contain no arguments or tokens.
func TestRolesOverTLS(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c := startAuthenticatedCluster(t, ctx)
	administrator, anna, refunds, partner := c.clientFor(t, Administrator), c.clientFor(t, "person/anna"), c.clientFor(t, "service/refunds"), c.clientFor(t, "person/partner")
	secret := "image-nobody-else-may-see"
	submit := func(cl *client.Client, id, class, team string) error {
		s := NewSubmission(id, class, team, "standard", 2, 1, 1, 1)
		s.Image = &secret
		_, err := cl.Submit(ctx, &s)
		return err
	}
	for i, team := range []string{"placements-desk", "payments", "payments"} {
		if err := submit(administrator, fmt.Sprintf("job-%d", i+1), []string{"placement-match", "refund-batch", "price-check"}[i], team); err != nil {
			t.Fatal(err)
		}
	}
	denials := map[string]int{}
	wantDenied := func(name string, err error) {
		t.Helper()
		wantRefusal(t, err, 403)
		denials[name]++
	}
	wantDenied("person/anna", anna.Do(ctx, "POST", "/submissions/job-2/reassign", protocol.Reassignment{As: "job-92", Team: "placements-desk"}, nil))
	wantDenied("person/anna", anna.Do(ctx, "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-91", Team: "payments"}, nil))
	wantDenied("person/anna", submit(anna, "job-93", "x", "venues"))
	for _, id := range []string{"job-1", "job-3", "job-99"} {
		_, err := refunds.Status(ctx, id)
		wantDenied("service/refunds", err)
		_, err = refunds.Cancel(ctx, id)
		wantDenied("service/refunds", err)
	}
	for _, path := range []string{"/submissions/job-1/arguments", "/submissions/job-99/arguments", "/policy/roles", "/audit/seal", "/audit/batches?chain=spindle-0&after=0"} {
		wantDenied("person/partner", partner.Do(ctx, "GET", path, nil, nil))
	}
	wantDenied("person/partner", submit(partner, "job-1", "placement-match", "placements-desk"))
	// A guest sees the status of a job without its arguments; logs contain no arguments or tokens.
	httpClient := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: c.Identities().workerTLS()}}
	token, err := os.ReadFile(c.Identities().TokenFile("person/partner"))
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, "GET", "https://"+c.Addrs()[0]+"/submissions/job-1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	resp, err := httpClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != 200 || bytes.Contains(body, []byte(secret)) {
		t.Errorf("the status for a guest: got %d %q, want 200 and no arguments", resp.StatusCode, body)
	}
	for _, node := range c.Nodes() {
		log, err := os.ReadFile(node.LogFile)
		if err != nil {
			t.Fatal(err)
		}
		for content, text := range map[string]string{"an argument": secret, "a token": strings.TrimSpace(string(token))} {
			if bytes.Contains(log, []byte(text)) {
				t.Errorf("the log of %s contains %s of a request, want neither arguments nor tokens in it", node.Label, content)
			}
		}
	}
	var args protocol.Arguments
	if err := refunds.Do(ctx, "GET", "/submissions/job-2/arguments", nil, &args); err != nil || args.Image != secret || args.SubmittedBy != Administrator {
		t.Errorf("arguments of job-2: got %+v, error %v; want image %q submitted by %s", args, err, secret, Administrator)
	}
	// The controllers refuse a client without credentials, a client with an invalid token, a machine
	// that polls a job, and a user that sends a heartbeat.
	noCredentials := client.New(c.Addrs(), c.Identities().tlsWithoutCertificate(), "")
	_, err = noCredentials.Status(ctx, "job-1")
	wantRefusal(t, err, 401)
	badToken := client.New(c.Addrs(), c.Identities().tlsWithoutCertificate(), strings.TrimSpace(string(token))+"x")
	_, err = badToken.Status(ctx, "job-1")
	wantRefusal(t, err, 401)
	machine := client.New(c.Addrs(), c.Identities().workerTLS(), "")
	_, err = machine.Status(ctx, "job-1")
	wantRefusal(t, err, 403)
	wantRefusal(t, partner.Do(ctx, "POST", "/checkin", &protocol.Heartbeat{Machine: "m-1", Epoch: 1}, nil), 401)
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		for st := (protocol.JobStatus{}); !st.Ended(); time.Sleep(100 * time.Millisecond) {
			if st, err = administrator.Status(ctx, id); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(audit.AggregationInterval + time.Second)
	records := c.exportAudit(t, ctx)
	for name, n := range denials {
		if got := countRecords(records, func(r *audit.Record) bool { return r.Identity == name && r.Outcome == audit.Denied }); got != n {
			t.Errorf("%s was refused %d times, but the audit log has %d refusals", name, n, got)
		}
	}
	if n := countRecords(records, func(r *audit.Record) bool { return r.Identity == "" && r.Outcome == audit.Denied }); n != 3 {
		t.Errorf("the audit log has %d refusals of unauthenticated clients, want 3", n)
	}
}

// tlsWithoutCertificate returns the TLS configuration of a client without a certificate.
func (h *Identities) tlsWithoutCertificate() *tls.Config {
	config := h.workerTLS()
	config.GetClientCertificate = nil
	return config
}

// Each job has exactly one audit record of its acceptance although controllers are killed at random
// moments while users submit with retries.
func TestKillsUnderLoadWithAudit(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 120*time.Second)
	defer cancel()
	c := startAuthenticatedCluster(t, ctx)
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 3))
	t.Logf("seed %d", seed)
	var wg sync.WaitGroup
	const users, jobsPerUser = 12, 15
	for user := range users {
		anna := c.clientFor(t, "person/anna")
		wg.Go(func() {
			for n := range jobsPerUser {
				s := NewSubmission(fmt.Sprintf("job-%d", 1000*(user+1)+n), "placement-match", "placements-desk", "standard", 1, 1, 1, 0.2)
				if _, err := anna.Submit(ctx, &s); err != nil {
					t.Errorf("submit %s: %v", *s.ID, err)
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
			c.KillNode(node)
			select {
			case <-stop:
			case <-time.After(time.Duration(100+rng.IntN(400)) * time.Millisecond):
			}
			if err := c.StartNode(node); err != nil {
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
	acceptances := map[string]int{}
	for _, r := range c.exportAudit(t, ctx) {
		if r.Verb == "submit" && r.Outcome == audit.Allowed {
			acceptances[r.Job]++
		}
	}
	kills := 0
	for _, node := range c.Nodes() {
		kills += node.Kills
	}
	t.Logf("%d kills", kills)
	for user := range users {
		for n := range jobsPerUser {
			if id := fmt.Sprintf("job-%d", 1000*(user+1)+n); acceptances[id] != 1 {
				t.Errorf("%s has %d audit records of its acceptance, want 1", id, acceptances[id])
			}
		}
	}
	if len(acceptances) != users*jobsPerUser {
		t.Errorf("the audit log has acceptances of %d jobs, want those of the %d submitted jobs", len(acceptances), users*jobsPerUser)
	}
}

// Running controllers load a renewed certificate, each of them refuses a revoked identity within
// seconds, and the policy survives a restart of all controllers.
func TestRotationRevocationAndRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c := startAuthenticatedCluster(t, ctx)
	administrator, anna := c.clientFor(t, Administrator), c.clientFor(t, "person/anna")
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
				t.Fatalf("%s did not load its renewed certificate", node.Label)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	var page rights.Page
	if err := administrator.Do(ctx, "GET", "/policy/identities", nil, &page); err != nil {
		t.Fatal(err)
	}
	change := rights.Change{Version: page.Version}
	for _, entry := range page.Identities {
		if entry.Name == "person/anna" {
			entry.Revoked = true
			change.PutIdentities = append(change.PutIdentities, entry)
		}
	}
	revoked := time.Now()
	if err := administrator.Do(ctx, "POST", "/policy", &change, nil); err != nil {
		t.Fatal(err)
	}
	for _, node := range c.Nodes() {
		for {
			err := anna.ForController(node.Addr).Do(ctx, "GET", "/whoami", nil, nil)
			var refusal *client.Refusal
			if errors.As(err, &refusal) && refusal.Status == 403 {
				break
			}
			if time.Since(revoked) > 3*time.Second {
				t.Fatalf("%s does not refuse the revoked person/anna after 3 s, error %v", node.Label, err)
			}
		}
	}
	for _, node := range c.Nodes() {
		c.KillNode(node)
	}
	for _, node := range c.Nodes() {
		if err := c.StartNode(node); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	wantRefusal(t, anna.Do(ctx, "GET", "/whoami", nil, nil), 403)
	if err := administrator.Do(ctx, "GET", "/whoami", nil, nil); err != nil {
		t.Errorf("request of the administrator after the restart: got error %v, want none", err)
	}
}

// A front end's access checks follow the controllers' policy: refusals are in the audit log, a
// revocation takes effect, and without controllers no client is authorized.
func TestFrontEndAsksControllers(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c := startAuthenticatedCluster(t, ctx)
	identities := c.Identities()
	access, err := reapi.NewControllerAccess(client.New(c.Addrs(), identities.tlsWithoutCertificate(), ""), "refund-batch")
	if err != nil {
		t.Fatal(err)
	}
	token := func(name string) string {
		data, err := os.ReadFile(identities.TokenFile(name))
		if err != nil {
			t.Fatal(err)
		}
		return "Bearer " + strings.TrimSpace(string(data))
	}
	wantCode := func(caller, verb, team string, want codes.Code) {
		t.Helper()
		credential := caller
		if strings.Contains(caller, "/") {
			credential = token(caller)
		}
		if _, err := access.Allows(ctx, credential, verb, team); status.Code(err) != want {
			t.Errorf("access of %s to %s jobs of %s: got %v, want code %s", caller, verb, team, err, want)
		}
	}
	wantCode("service/refunds", "submit", "payments", codes.OK)
	wantCode("service/refunds", "view-arguments", "payments", codes.OK)
	wantCode("service/refunds", "submit", "venues", codes.PermissionDenied)
	wantCode("person/partner", "view-arguments", "payments", codes.PermissionDenied)
	wantCode("Bearer nonsense", "submit", "payments", codes.Unauthenticated)
	wantCode("Basic x", "submit", "payments", codes.Unauthenticated)
	wantCode("", "submit", "payments", codes.Unauthenticated)
	var page rights.Page
	administrator := c.clientFor(t, Administrator)
	if err := administrator.Do(ctx, "GET", "/policy/identities", nil, &page); err != nil {
		t.Fatal(err)
	}
	revocation := rights.Change{Version: page.Version, PutIdentities: []rights.Identity{{Name: "service/refunds", Roles: []string{"refunds"}, Revoked: true}}}
	if err := administrator.Do(ctx, "POST", "/policy", &revocation, nil); err != nil {
		t.Fatal(err)
	}
	revoked := time.Now()
	for {
		_, err := access.Allows(ctx, token("service/refunds"), "submit", "payments")
		if status.Code(err) == codes.PermissionDenied {
			break
		}
		if time.Since(revoked) > 4*time.Second {
			t.Fatalf("service/refunds is not refused %s after its revocation, error %v", time.Since(revoked), err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(audit.AggregationInterval + time.Second)
	records := c.exportAudit(t, ctx)
	if n := countRecords(records, func(r *audit.Record) bool {
		return r.Identity == "service/refunds" && r.Outcome == audit.Denied && r.Team == "venues"
	}); n != 1 {
		t.Errorf("the audit log has %d refusals of service/refunds, want 1", n)
	}
	if n := countRecords(records, func(r *audit.Record) bool { return r.Identity == "person/partner" && r.Outcome == audit.Denied }); n != 1 {
		t.Errorf("the audit log has %d refusals of person/partner, want 1", n)
	}
	// Without controllers no client is authorized.
	for _, node := range c.Nodes() {
		c.KillNode(node)
	}
	time.Sleep(1100 * time.Millisecond)
	wantCode(Administrator, "submit", "payments", codes.Unavailable)
}
