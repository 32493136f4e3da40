package identity_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
)

func parseName(t testing.TB, name string) identity.Name {
	t.Helper()
	n, err := identity.ParseName(name)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// newAuthority creates a certificate authority and the keyring of a controller whose certificate has
// the given lifetime.
func newAuthority(t testing.TB, lifetime time.Duration) (dir string, ca *pki.Authority, keyring *identity.Keyring, files identity.Files) {
	t.Helper()
	dir = t.TempDir()
	ca, err := pki.Create(dir, "test", time.Now(), 365*24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	issued, err := ca.Issue(parseName(t, "controller/n0"), time.Now(), lifetime, false)
	if err != nil {
		t.Fatal(err)
	}
	files = identity.Files{CredentialsFile: issued.File, RootsFile: filepath.Join(dir, pki.RootFile), TokenKeysFile: filepath.Join(dir, pki.TokenKeysFile)}
	if keyring, err = identity.Load(files); err != nil {
		t.Fatal(err)
	}
	return dir, ca, keyring, files
}

func TestNames(t *testing.T) {
	for text, valid := range map[string]bool{
		"person/anna": true, "service/price-check.v2@almaty": true, "worker/any": true, "controller/spindle-0": true,
		"anna": false, "person/": false, "admin/anna": false, "person/a b": false, "person/a/b": false, "person/ä": false,
		"person/" + strings.Repeat("a", 101): false, "": false, "person/\n": false,
	} {
		n, err := identity.ParseName(text)
		if (err == nil) != valid || valid && n.String() != text {
			t.Errorf("ParseName(%q) = %v, %v; want valid: %v", text, n, err, valid)
		}
	}
	certificateWith := func(uris ...string) *x509.Certificate {
		c := &x509.Certificate{}
		for _, u := range uris {
			parsed, err := url.Parse(u)
			if err != nil {
				t.Fatal(err)
			}
			c.URIs = append(c.URIs, parsed)
		}
		return c
	}
	for _, tc := range []struct {
		cert *x509.Certificate
		want string
	}{
		{certificateWith("spindle://person/anna"), "person/anna"},
		{certificateWith("https://x.example/y", "spindle://worker/any"), "worker/any"},
		{certificateWith("spindle://person/anna", "spindle://person/root"), ""},
		{certificateWith(), ""},
		{certificateWith("spindle://person/a/b"), ""},
		{certificateWith("https://person/anna"), ""},
	} {
		n, err := identity.FromCertificate(tc.cert)
		if (err == nil) != (tc.want != "") || err == nil && n.String() != tc.want {
			t.Errorf("name in the certificate with URIs %v: %v, %v; want %q", tc.cert.URIs, n, err, tc.want)
		}
	}
}

func TestTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, _, keyring, _ := newAuthority(t, 24*time.Hour)
		key, err := pki.TokenKey(dir)
		if err != nil {
			t.Fatal(err)
		}
		bound := 50 * time.Millisecond
		tokens := identity.NewTokenVerifier(keyring, "ombili", bound)
		anna := parseName(t, "person/anna")
		raw, err := identity.IssueToken(key, anna, "ombili", time.Now(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		issued := time.Now()
		for range 2 { // the second result is cached
			tok, err := tokens.Verify(raw)
			if err != nil || tok.Name != anna || tok.ID == "" || !tok.Expires.Equal(issued.Add(time.Minute)) {
				t.Fatalf("checking a valid token returned %+v, %v", tok, err)
			}
		}
		// A token, cached or not, is rejected from the time at which it may have expired if the
		// clock has its maximum error.
		fresh := identity.NewTokenVerifier(keyring, "ombili", bound)
		time.Sleep(time.Minute - bound - time.Millisecond)
		if _, err := fresh.Verify(raw); err != nil {
			t.Errorf("token was rejected before its expiry: %v", err)
		}
		time.Sleep(time.Millisecond)
		for _, tk := range []*identity.TokenVerifier{tokens, fresh, identity.NewTokenVerifier(keyring, "ombili", bound)} {
			if _, err := tk.Verify(raw); err == nil {
				t.Error("a token that may have expired was accepted")
			}
		}
		// The issuer's clock may be ahead by its maximum error.
		ahead, err := identity.IssueToken(key, anna, "ombili", time.Now().Add(bound).Truncate(time.Second), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tokens.Verify(ahead); err != nil {
			t.Errorf("token of an issuer whose clock is ahead was rejected: %v", err)
		}
		later, _ := identity.IssueToken(key, anna, "ombili", time.Now().Add(time.Hour), time.Minute)
		other, _ := identity.IssueToken(key, anna, "bilet", time.Now(), time.Minute)
		_, unknownKey, _ := ed25519.GenerateKey(rand.Reader)
		byUnknownKey, _ := identity.IssueToken(unknownKey, anna, "ombili", time.Now(), time.Minute)
		sign := func(edit func(*jwt.RegisteredClaims), method jwt.SigningMethod, signingKey any) string {
			now := time.Now()
			c := jwt.RegisteredClaims{Issuer: "micaspindle", Subject: "person/anna", Audience: jwt.ClaimStrings{"ombili"}, ID: "x",
				IssuedAt: jwt.NewNumericDate(now), NotBefore: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(time.Minute))}
			edit(&c)
			tok := jwt.NewWithClaims(method, c)
			tok.Header["kid"] = identity.KeyID(key.Public().(ed25519.PublicKey))
			signed, err := tok.SignedString(signingKey)
			if err != nil {
				t.Fatal(err)
			}
			return signed
		}
		unchanged := func(*jwt.RegisteredClaims) {}
		if _, err := tokens.Verify(sign(unchanged, jwt.SigningMethodEdDSA, key)); err != nil {
			t.Fatalf("the token that the invalid tokens are derived from was rejected: %v", err)
		}
		parts := strings.Split(raw, ".")
		for name, invalid := range map[string]string{
			"not valid yet": later, "another cluster": other, "unknown key": byUnknownKey, "empty": "", "too long": strings.Repeat("a", 5000),
			"no signature":                         parts[0] + "." + parts[1] + ".",
			"unsigned":                             sign(unchanged, jwt.SigningMethodNone, jwt.UnsafeAllowNoneSignatureType),
			"signed by the public key as a secret": sign(unchanged, jwt.SigningMethodHS256, []byte(key.Public().(ed25519.PublicKey))),
			"no expiry":                            sign(func(c *jwt.RegisteredClaims) { c.ExpiresAt = nil }, jwt.SigningMethodEdDSA, key),
			"lifetime too long":                    sign(func(c *jwt.RegisteredClaims) { c.ExpiresAt = jwt.NewNumericDate(time.Now().Add(9 * 24 * time.Hour)) }, jwt.SigningMethodEdDSA, key),
			"no time of issue":                     sign(func(c *jwt.RegisteredClaims) { c.IssuedAt = nil }, jwt.SigningMethodEdDSA, key),
			"no id":                                sign(func(c *jwt.RegisteredClaims) { c.ID = "" }, jwt.SigningMethodEdDSA, key),
			"another issuer":                       sign(func(c *jwt.RegisteredClaims) { c.Issuer = "x" }, jwt.SigningMethodEdDSA, key),
			"for a worker":                         sign(func(c *jwt.RegisteredClaims) { c.Subject = "worker/any" }, jwt.SigningMethodEdDSA, key),
			"for a controller":                     sign(func(c *jwt.RegisteredClaims) { c.Subject = "controller/n0" }, jwt.SigningMethodEdDSA, key),
			"for nobody":                           sign(func(c *jwt.RegisteredClaims) { c.Subject = "" }, jwt.SigningMethodEdDSA, key),
		} {
			_, err := tokens.Verify(invalid)
			if !errors.Is(err, identity.ErrInvalidToken) {
				t.Errorf("invalid token (%s): got error %v, want ErrInvalidToken", name, err)
			} else if len(invalid) > 20 && strings.Contains(err.Error(), invalid[len(invalid)-10:]) {
				t.Errorf("invalid token (%s): the error contains a part of the token: %v", name, err)
			}
		}
		if _, err := identity.IssueToken(key, parseName(t, "worker/any"), "ombili", time.Now(), time.Minute); err == nil {
			t.Error("a token for a worker was issued")
		}
		if _, err := identity.IssueToken(key, anna, "ombili", time.Now(), 8*24*time.Hour); err == nil {
			t.Error("a token with too long a lifetime was issued")
		}
	})
}

// Token keys and certificates are reloaded while the process runs. A token, cached or not, stays valid
// for one key rotation and becomes invalid with the second.
func TestKeyRotation(t *testing.T) {
	dir, ca, keyring, files := newAuthority(t, 24*time.Hour)
	var log bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		keyring.Watch(ctx, slog.New(slog.NewTextHandler(&log, nil)))
	}()
	tokens := identity.NewTokenVerifier(keyring, "c", 0)
	issue := func() string {
		key, err := pki.TokenKey(dir)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := identity.IssueToken(key, parseName(t, "person/anna"), "c", time.Now(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	await := func(failure string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(failure)
			}
		}
	}
	accepts := func(raw string) bool { _, err := tokens.Verify(raw); return err == nil }
	first := issue()
	if !accepts(first) {
		t.Fatal("the token of the first key was rejected")
	}
	if err := pki.RotateTokenKey(dir); err != nil {
		t.Fatal(err)
	}
	second := issue()
	await("the token of the new key was still rejected after 20 s", func() bool { return accepts(second) })
	if !accepts(first) {
		t.Error("a token of the previous key was rejected")
	}
	if err := pki.RotateTokenKey(dir); err != nil {
		t.Fatal(err)
	}
	await("a token of the oldest key was still accepted after 20 s", func() bool { return !accepts(first) })
	if !accepts(second) {
		t.Error("a token of the previous key was rejected after the second rotation")
	}
	// A new certificate is used; an invalid file leaves the previous one in use.
	_, before := keyring.Signer()
	if _, err := ca.Issue(parseName(t, "controller/n0"), time.Now(), 48*time.Hour, true); err != nil {
		t.Fatal(err)
	}
	await("the new certificate was still not used after 20 s", func() bool { _, now := keyring.Signer(); return !now.Equal(before) })
	_, before = keyring.Signer()
	content, err := os.ReadFile(files.CredentialsFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.CredentialsFile, content[:len(content)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2500 * time.Millisecond)
	if _, now := keyring.Signer(); !now.Equal(before) {
		t.Error("a truncated file replaced the certificate")
	}
	cancel()
	<-done
	if !strings.Contains(log.String(), "the previous ones stay in use") {
		t.Errorf("the failed reload was not logged: %s", log.String())
	}
	secret := string(content[bytes.Index(content, []byte("PRIVATE KEY")):])
	for _, line := range strings.Split(secret, "\n")[1:2] {
		if strings.Contains(log.String(), line) {
			t.Error("the private key was logged")
		}
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	dir, ca, _, valid := newAuthority(t, time.Hour)
	own, err := os.ReadFile(valid.CredentialsFile)
	if err != nil {
		t.Fatal(err)
	}
	other, err := ca.Issue(parseName(t, "person/anna"), time.Now(), time.Hour, false)
	if err != nil {
		t.Fatal(err)
	}
	anna, err := os.ReadFile(other.File)
	if err != nil {
		t.Fatal(err)
	}
	certOnly, _ := pem.Decode(own)
	_, annasKey := pem.Decode(anna)
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	mismatched := write("mismatched", append(pem.EncodeToMemory(certOnly), annasKey...))
	for name, files := range map[string]identity.Files{
		"own certificate missing":          {CredentialsFile: dir + "/x", RootsFile: valid.RootsFile},
		"roots missing":                    {CredentialsFile: valid.CredentialsFile, RootsFile: dir + "/x"},
		"root as own certificate":          {CredentialsFile: valid.RootsFile, RootsFile: valid.RootsFile},
		"private key of another":           {CredentialsFile: mismatched, RootsFile: valid.RootsFile},
		"roots empty":                      {CredentialsFile: valid.CredentialsFile, RootsFile: write("empty", nil)},
		"private key among the token keys": {CredentialsFile: valid.CredentialsFile, RootsFile: valid.RootsFile, TokenKeysFile: valid.CredentialsFile},
		"token keys empty":                 {CredentialsFile: valid.CredentialsFile, RootsFile: valid.RootsFile, TokenKeysFile: write("none", nil)},
		"token keys missing":               {CredentialsFile: valid.CredentialsFile, RootsFile: valid.RootsFile, TokenKeysFile: dir + "/x"},
	} {
		if _, err := identity.Load(files); err == nil {
			t.Errorf("Load accepted invalid files: %s", name)
		}
	}
}

// Only tokens that were signed with a known key are accepted.
func FuzzToken(f *testing.F) {
	dir, _, keyring, _ := newAuthority(f, time.Hour)
	key, err := pki.TokenKey(dir)
	if err != nil {
		f.Fatal(err)
	}
	valid, err := identity.IssueToken(key, parseName(f, "person/anna"), "c", time.Now(), time.Hour)
	if err != nil {
		f.Fatal(err)
	}
	tokens := identity.NewTokenVerifier(keyring, "c", 0)
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add("a.b.c")
	f.Add("eyJhbGciOiJub25lIn0..")
	f.Fuzz(func(t *testing.T, raw string) {
		if _, err := tokens.Verify(raw); err == nil && raw != valid {
			t.Errorf("forged token %q was accepted", raw)
		}
	})
}
