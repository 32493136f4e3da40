package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What scripts rely on: exit codes, JSON, and errors that say what to mend.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "micaspindlectl")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	in := func(name string) string { return filepath.Join(dir, name) }
	write := func(name, text string) string {
		if err := os.WriteFile(in(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return in(name)
	}
	run := func(code int, want string, args ...string) string {
		t.Helper()
		cmd := exec.Command(program, args...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SPINDLE_PKI=" + in("pki")}
		var out, errs bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		got := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			got = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if got != code || !strings.Contains(out.String()+errs.String(), want) {
			t.Errorf("%v: exit %d, want %d with %q:\n%s%s", args, got, code, want, out.String(), errs.String())
		}
		return out.String()
	}
	run(2, "no addresses", "delegations")
	run(5, "", "delegations", "--operations", "127.0.0.1:1")
	run(2, "no front ends", "cache")
	run(2, "no controllers", "cancel", "job-1")
	run(2, "no controllers", "cancel-all", "--by", "person/anna")
	run(2, "no controllers", "policy", "revoke-tokens", "person/anna")
	// The former names of commands and flags, which scripts may still use.
	run(2, "no controllers", "withdraw", "job-1")
	run(2, "no controllers", "withdraw-all", "--by", "person/anna")
	run(2, "no controllers", "policy", "void-tokens", "person/anna")
	run(5, "no controller answered", "cache", "--gates", "127.0.0.1:1", "--patience", "1s")
	run(2, "no addresses", "shares")
	run(5, "", "shares", "--operations", "127.0.0.1:1")
	run(2, "holds no root", "pki", "issue", "person/anna")
	run(0, "for every machine", "pki", "init")
	run(2, "nothing was changed", "pki", "init")
	run(2, "no kind of identity", "pki", "issue", "clerk/anna")
	run(0, "person/anna", "pki", "issue", "person/anna", "controller/spindle-0")
	run(2, "renew it instead", "pki", "issue", "person/anna")
	run(0, "person/anna", "pki", "renew", "person/anna", "--days", "30")
	var listed []issuedView
	if err := json.Unmarshal([]byte(run(0, "", "pki", "list", "-o", "json")), &listed); err != nil || len(listed) != 2 || listed[0].Name != "person/anna" {
		t.Errorf("%+v %v", listed, err)
	}
	run(2, "a week", "token", "person/anna", "--cluster", "c", "--for", "1000h")
	run(2, "not for a worker", "token", "worker/any", "--cluster", "c")
	run(0, "good until", "token", "person/anna", "--cluster", "c", "--out", in("anna.token"))
	if info, err := os.Stat(in("anna.token")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v %v", info, err)
	}
	run(0, "good until", "token", "person/anna", "--cluster", "c", "--out", in("anna.token"))
	run(0, "", "pki", "rotate-token-key")
	run(0, "is good: 5 roles, 5 identities", "policy", "check", filepath.Join("..", "..", "deploy", "policy.example.yaml"))
	run(2, "roles.0.rules.0.allow.0", "policy", "check", write("bad.yaml", "roles: [{name: a, rules: [{allow: [x], team: a, class: b}]}]\nidentities: []\n"))
	run(0, "draft/2020-12", "policy", "schema")

	roots := in("pki/root.pem")
	run(2, "no controllers", "status", "job-1")
	run(2, "never sent in the clear", "status", "job-1", "--controllers", "127.0.0.1:9", "--token-file", in("anna.token"))
	run(2, "does not hold one token", "whoami", "--controllers", "127.0.0.1:9", "--roots", roots, "--token-file", write("two.token", "a\nb\n"))
	run(2, "holds no certificates", "whoami", "--controllers", "127.0.0.1:9", "--roots", in("anna.token"))
	run(2, "does not hold a certificate with its private key", "whoami", "--controllers", "127.0.0.1:9", "--roots", roots, "--cert", roots)
	run(5, "no controller answered", "whoami", "--controllers", "127.0.0.1:9", "--roots", roots, "--patience", "1s")
	run(2, "pieces is out of range", "submit", "--team", "a", "--class", "b", "--tasks", "0", "--controllers", "127.0.0.1:9")
	run(2, "--roots is needed", "audit", "verify", write("export", "x"))
	run(1, "is not what was written", "audit", "verify", in("export"), "--roots", roots)
	run(2, "never replaces another", "audit", "export", in("export"), "--controllers", "127.0.0.1:9", "--roots", roots)
	run(2, "unexpected argument frobnicate", "frobnicate")
	run(0, "Examples", "submit", "--help")
}
