package coordination

import (
	"crypto/ed25519"
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// testIdentities issues the identities of a simulated cluster. Messages carry its certificates
// and tokens directly, without TLS.
type testIdentities struct {
	t        *testing.T
	ca       *pki.Authority
	key      ed25519.PrivateKey
	keyrings map[string]*identity.Keyring
	mu       sync.Mutex
	certs    map[string]*x509.Certificate
	tokens   map[string]string
}

// certificateLifetime is the lifetime of certificates and tokens.
const certificateLifetime = 24 * time.Hour

// newTestIdentities creates a certificate authority and the identities of the controllers.
func newTestIdentities(t *testing.T) *testIdentities {
	t.Helper()
	dir := t.TempDir()
	ca, err := pki.Create(dir, "test", time.Now(), 100*certificateLifetime)
	panicOnError(err)
	key, err := pki.TokenKey(dir)
	panicOnError(err)
	identities := &testIdentities{t: t, ca: ca, key: key, keyrings: map[string]*identity.Keyring{}, certs: map[string]*x509.Certificate{}, tokens: map[string]string{}}
	for _, label := range allControllers {
		identities.certificate("controller/" + label)
		ring, err := identity.Load(identity.Files{CredentialsFile: ca.File(identity.Name{Kind: identity.Controller, ID: label}),
			RootsFile: filepath.Join(dir, pki.RootFile), TokenKeysFile: filepath.Join(dir, pki.TokenKeysFile)})
		panicOnError(err)
		identities.keyrings[label] = ring
	}
	return identities
}

// forController returns a controller's configuration of authentication and authorization.
func (identities *testIdentities) forController(label string) auth.Config {
	ring := identities.keyrings[label]
	return auth.Config{Tokens: identity.NewTokenVerifier(ring, "test", 5*time.Millisecond), BootstrapIdentity: "person/root", ClockBound: 5 * time.Millisecond,
		Signer: func() audit.Signer {
			key, cert := ring.Signer()
			return audit.Signer{Key: key, Cert: cert, ID: identity.Fingerprint(cert)}
		}}
}

// certificate returns the certificate of an identity, or nil if the cluster has no identities.
func (identities *testIdentities) certificate(identityName string) *x509.Certificate {
	if identities == nil {
		return nil
	}
	identities.mu.Lock()
	defer identities.mu.Unlock()
	if identities.certs[identityName] == nil {
		identities.certs[identityName] = identities.issue(identityName, certificateLifetime)
	}
	return identities.certs[identityName]
}

// issue returns a new certificate for an identity.
func (identities *testIdentities) issue(identityName string, lifetime time.Duration) *x509.Certificate {
	name, err := identity.ParseName(identityName)
	panicOnError(err)
	issued, err := identities.ca.Issue(name, time.Now(), lifetime, false)
	panicOnError(err)
	data, err := os.ReadFile(issued.File)
	panicOnError(err)
	certs, err := identity.ParseCertificates(data)
	panicOnError(err)
	return certs[0]
}

// authorization returns the Authorization header of an identity, by default that of the
// administrator, or "" if the cluster has no identities.
func (identities *testIdentities) authorization(identityName string) string {
	if identities == nil {
		return ""
	}
	if identityName == "" {
		identityName = "person/root"
	}
	identities.mu.Lock()
	defer identities.mu.Unlock()
	if identities.tokens[identityName] == "" {
		name, err := identity.ParseName(identityName)
		panicOnError(err)
		token, err := identity.IssueToken(identities.key, name, "test", time.Now(), certificateLifetime)
		panicOnError(err)
		identities.tokens[identityName] = "Bearer " + token
	}
	return identities.tokens[identityName]
}

// newRequest returns a request. A body that is not a byte slice is encoded.
func newRequest(from, method, target string, body any) *transport.Request {
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		raw = protocol.Encode(b)
	}
	path, query, _ := strings.Cut(target, "?")
	return &transport.Request{Method: method, Path: path, Query: query, Body: raw, RemoteAddr: from}
}

// requestAs sends a request to a controller as an identity, or without authorization if its
// name is empty.
func (sim *simulatedCluster) requestAs(identityName, label, method, target string, body any) transport.Response {
	process := sim.processOf(label)
	req := newRequest("10.9.0.2:4000", method, target, body)
	if identityName != "" {
		req.Authorization = sim.identities.authorization(identityName)
	}
	return process.unlessKilled(process.controller.Serve(sim.ctx, req))
}

// testPolicy returns a policy with an administrator who may do everything, a clerk, a refund
// service and a guest.
func testPolicy() *rights.Change {
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

// runSimulationWithIdentities is runSimulation with authentication, and with testPolicy applied.
func runSimulationWithIdentities(t *testing.T, seed uint64, f func(sim *simulatedCluster)) {
	t.Helper()
	runConfiguredSimulation(t, seed, func(sim *simulatedCluster) {
		sim.identities = newTestIdentities(t)
		sim.settings.Params.State.TxnOps = 16
	}, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		sim.expectStatus(200, sim.requestAs("person/root", "n0", "POST", "/policy", testPolicy()))
		time.Sleep(time.Second)
		f(sim)
	})
}

// expectStatus fails the test unless the response has the status, and returns the response.
func (sim *simulatedCluster) expectStatus(status int, resp transport.Response) transport.Response {
	sim.t.Helper()
	if resp.Status != status {
		var p protocol.Problem
		_ = protocol.Decode(resp.Body, &p)
		sim.t.Errorf("response status %d, want %d; error: %s", resp.Status, status, p.Error)
	}
	return resp
}

// newJobSpecOfClass returns a job of the class with two tasks.
func newJobSpecOfClass(id, team, class string) *protocol.JobSpec {
	s := newJobSpec(id, 2, team)
	s.Class = class
	return s
}
