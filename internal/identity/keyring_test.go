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

// The end of a certificate is warned of 30, 7 and 1 days ahead, once each.
func TestExpiryIsWarnedOf(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	const day = 24 * time.Hour
	k := &Keyring{now: func() time.Time { return now }, warned: map[string]int{}}
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
		if n := strings.Count(out.String(), "certificate ends soon"); n != step.want {
			t.Errorf("day %d: %d warnings, want %d", step.days, n, step.want)
		}
	}
	// A certificate that is already about to end is warned of at once.
	k.current.Store(&snapshot{certificates: []*x509.Certificate{{Raw: []byte("new"), NotAfter: now.Add(time.Hour)}}})
	k.warnOfExpiry(log)
	if n := strings.Count(out.String(), "within_days=1"); n != 2 {
		t.Errorf("%d warnings of the last day, want 2", n)
	}
}

// A file that is renewed twice within a beat of the file system's clock keeps its time and
// perhaps its size; the second renewal is seen all the same.
func TestRenewalsWithinABeatOfTheClockAreSeen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.pem")
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	k := &Keyring{files: Files{Own: path}}
	stamps := map[string]bool{}
	for _, text := range []string{"first", "other"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
		stamps[k.digestFiles()] = true
	}
	if len(stamps) != 2 || !stamps[k.digestFiles()] {
		t.Errorf("%d stamps of two contents", len(stamps))
	}
}
