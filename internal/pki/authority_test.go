package pki

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"micaspindle/internal/identity"
)

func TestAuthority(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ca")
	now := time.Now()
	if _, err := Open(dir); err == nil {
		t.Error("Open succeeded for a directory without an authority")
	}
	a, err := Create(dir, "test", now, 30*24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Create(dir, "test", now, time.Hour); err == nil {
		t.Error("Create replaced an existing root certificate")
	}
	name := identity.Name{Kind: identity.Person, ID: "anna"}
	first, err := a.Issue(name, now, time.Hour, false)
	if err != nil {
		t.Fatal(err)
	}
	for request, err := range map[string]error{
		"a second certificate for a name":      errorOf(a.Issue(name, now, time.Hour, false)),
		"renewal of a missing certificate":     errorOf(a.Issue(identity.Name{Kind: identity.Person, ID: "x"}, now, time.Hour, true)),
		"a certificate that outlives its root": errorOf(a.Issue(name, now, 31*24*time.Hour, true)),
		"a certificate without a lifetime":     errorOf(a.Issue(name, now, 0, true)),
	} {
		if err == nil {
			t.Errorf("Issue accepted %s", request)
		}
	}
	if info, err := os.Stat(first.File); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode of the certificate file: %v, %v; want 0600", info.Mode(), err)
	}
	if _, err := a.Issue(name, now, 2*time.Hour, true); err != nil {
		t.Errorf("renewing a certificate: %v", err)
	}
	reopened, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	list, err := reopened.List()
	if err != nil || len(list) != 1 || list[0].Name != name || list[0].NotAfter.Sub(now) < 119*time.Minute {
		t.Errorf("List returned %+v, %v; want only the renewed certificate of %s", list, err, name)
	}
	leftovers, err := filepath.Glob(filepath.Join(dir, ".*"))
	if err != nil || len(leftovers) > 0 {
		t.Errorf("temporary files were left behind: %v, %v", leftovers, err)
	}
}

func errorOf[T any](_ T, err error) error { return err }
