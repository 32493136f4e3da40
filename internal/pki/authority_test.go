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
		t.Error("an authority that is not there was opened")
	}
	a, err := Create(dir, "test", now, 30*24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Create(dir, "test", now, time.Hour); err == nil {
		t.Error("a root was replaced")
	}
	name := identity.Name{Kind: identity.Person, ID: "anna"}
	first, err := a.Issue(name, now, time.Hour, false)
	if err != nil {
		t.Fatal(err)
	}
	for what, err := range map[string]error{
		"issued twice":      second(a.Issue(name, now, time.Hour, false)),
		"renewed nobody":    second(a.Issue(identity.Name{Kind: identity.Person, ID: "x"}, now, time.Hour, true)),
		"outlives its root": second(a.Issue(name, now, 31*24*time.Hour, true)),
		"lives for nothing": second(a.Issue(name, now, 0, true)),
	} {
		if err == nil {
			t.Error(what)
		}
	}
	if info, err := os.Stat(first.File); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v %v", info.Mode(), err)
	}
	if _, err := a.Issue(name, now, 2*time.Hour, true); err != nil {
		t.Error(err)
	}
	again, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	list, err := again.List()
	if err != nil || len(list) != 1 || list[0].Name != name || list[0].Until.Sub(now) < 119*time.Minute {
		t.Errorf("%+v %v", list, err)
	}
	left, err := filepath.Glob(filepath.Join(dir, ".*"))
	if err != nil || len(left) > 0 {
		t.Errorf("left behind: %v %v", left, err)
	}
}

func second[T any](_ T, err error) error { return err }
