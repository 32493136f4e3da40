package identity

import (
	"bytes"
	"crypto/x509"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The expiry of a certificate is logged 30, 7 and 1 days before, once each.
func TestExpiryWarnings(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	const day = 24 * time.Hour
	k := &Keyring{now: func() time.Time { return now }, expiryWarnings: map[string]int{}}
	k.current.Store(&snapshot{certificates: []*x509.Certificate{{Raw: []byte("own"), NotAfter: now.Add(40 * day)}, {Raw: []byte("root"), NotAfter: now.Add(400 * day)}}})
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	for _, step := range []struct {
		days time.Duration
		want int
	}{{1, 0}, {10, 1}, {15, 1}, {33, 2}, {34, 2}, {39, 3}, {41, 3}} {
		now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).Add(step.days * day)
		for range 2 {
			k.warnOfExpiry(log)
		}
		if n := strings.Count(out.String(), "certificate expires soon"); n != step.want {
			t.Errorf("by day %d: %d warnings of expiry were logged, want %d", step.days, n, step.want)
		}
	}
	// A new certificate that expires within a day gets only the warning of the last day.
	k.current.Store(&snapshot{certificates: []*x509.Certificate{{Raw: []byte("new"), NotAfter: now.Add(time.Hour)}}})
	k.warnOfExpiry(log)
	if n := strings.Count(out.String(), "within_days=1"); n != 2 {
		t.Errorf("%d warnings of the last day were logged for two certificates, want 2", n)
	}
}

// A file that is written twice within the resolution of the file system's clock may keep its
// modification time and size. The second change must be detected too.
func TestChangedFileWithUnchangedModTimeIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.pem")
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	k := &Keyring{files: Files{CredentialsFile: path}}
	digests := map[string]bool{}
	for _, text := range []string{"first", "other"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
		digests[k.digestFiles()] = true
	}
	if len(digests) != 2 || !digests[k.digestFiles()] {
		t.Errorf("%d distinct digests of two contents, want 2, and the same digest again for an unchanged file", len(digests))
	}
}
