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

// builtProgram is the executable, which tests run as scripts do, with a directory for its files.
type builtProgram struct {
	t         *testing.T
	path      string
	directory string
}

// build builds micaspindlectl.
func build(t *testing.T) *builtProgram {
	t.Helper()
	directory := t.TempDir()
	p := &builtProgram{t: t, path: filepath.Join(directory, "micaspindlectl"), directory: directory}
	if out, err := exec.Command("go", "build", "-o", p.path, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return p
}

// pathOf returns the path of a file in the program's directory.
func (p *builtProgram) pathOf(name string) string { return filepath.Join(p.directory, name) }

// write writes a file into the program's directory and returns its path.
func (p *builtProgram) write(name, text string) string {
	if err := os.WriteFile(p.pathOf(name), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return p.pathOf(name)
}

// run runs the program and reports an error unless it exits with the code and prints the wanted
// text. It returns the standard output.
func (p *builtProgram) run(code int, want string, args ...string) string {
	p.t.Helper()
	cmd := exec.Command(p.path, args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SPINDLE_PKI=" + p.pathOf("pki")}
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		p.t.Fatal(err)
	}
	if got != code || !strings.Contains(out.String()+errs.String(), want) {
		p.t.Errorf("run with arguments %v: exit code %d, want %d and an output that contains %q; output:\n%s%s", args, got, code, want, out.String(), errs.String())
	}
	return out.String()
}

// Scripts rely on the exit codes and the JSON output, and users on errors that describe how to
// correct the command.
func TestCommandLine(t *testing.T) {
	p := build(t)
	p.run(2, "no addresses", "delegations")
	p.run(5, "", "delegations", "--operations", "127.0.0.1:1")
	p.run(2, "no front ends", "cache")
	p.run(2, "no controllers", "cancel", "job-1")
	p.run(2, "no controllers", "cancel-all", "--by", "person/anna")
	p.run(2, "no controllers", "policy", "revoke-tokens", "person/anna")
	checkFormerNames(p)
	checkAuthority(p)
	checkTokens(p)
	p.run(0, "", "pki", "rotate-token-key")
	checkPolicyFiles(p)
	checkCredentials(p)
	checkExports(p)
	p.run(2, "pieces is out of range", "submit", "--team", "a", "--class", "b", "--tasks", "0", "--controllers", "127.0.0.1:9")
	p.run(2, "unexpected argument frobnicate", "frobnicate")
	p.run(0, "Examples", "submit", "--help")
}

// checkFormerNames runs commands by their former names, which scripts may still use.
func checkFormerNames(p *builtProgram) {
	p.run(2, "no controllers", "withdraw", "job-1")
	p.run(2, "no controllers", "withdraw-all", "--by", "person/anna")
	p.run(2, "no controllers", "policy", "void-tokens", "person/anna")
	p.run(5, "no controller answered", "cache", "--gates", "127.0.0.1:1", "--patience", "1s")
	p.run(2, "no addresses", "shares")
	p.run(5, "", "shares", "--operations", "127.0.0.1:1")
}

// checkAuthority creates a certificate authority and certificates.
func checkAuthority(p *builtProgram) {
	p.run(2, "holds no root", "pki", "issue", "person/anna")
	p.run(0, "for every machine", "pki", "init")
	p.run(2, "nothing was changed", "pki", "init")
	p.run(2, "no kind of identity", "pki", "issue", "clerk/anna")
	p.run(0, "person/anna", "pki", "issue", "person/anna", "controller/spindle-0")
	p.run(2, "renew it instead", "pki", "issue", "person/anna")
	p.run(0, "person/anna", "pki", "renew", "person/anna", "--days", "30")
	var listed []issuedView
	if err := json.Unmarshal([]byte(p.run(0, "", "pki", "list", "-o", "json")), &listed); err != nil || len(listed) != 2 || listed[0].Name != "person/anna" {
		p.t.Errorf("list of certificates: %+v, error %v; want 2, the first of person/anna", listed, err)
	}
}

// checkTokens issues tokens of the authority. Later checks use the file anna.token.
func checkTokens(p *builtProgram) {
	p.run(2, "a week", "token", "person/anna", "--cluster", "c", "--for", "1000h")
	p.run(2, "not for a worker", "token", "worker/any", "--cluster", "c")
	p.run(0, "good until", "token", "person/anna", "--cluster", "c", "--out", p.pathOf("anna.token"))
	if info, err := os.Stat(p.pathOf("anna.token")); err != nil || info.Mode().Perm() != 0o600 {
		p.t.Errorf("token file: %v, error %v; want mode 0600", info, err)
	}
	p.run(0, "good until", "token", "person/anna", "--cluster", "c", "--out", p.pathOf("anna.token"))
}

// checkPolicyFiles validates policy files.
func checkPolicyFiles(p *builtProgram) {
	p.run(0, "is good: 5 roles, 5 identities", "policy", "check", filepath.Join("..", "..", "deploy", "policy.example.yaml"))
	p.run(2, "roles.0.rules.0.allow.0", "policy", "check", p.write("bad.yaml", "roles: [{name: a, rules: [{allow: [x], team: a, class: b}]}]\nidentities: []\n"))
	p.run(0, "draft/2020-12", "policy", "schema")
}

// checkCredentials uses invalid credentials, and addresses at which no controller listens.
func checkCredentials(p *builtProgram) {
	roots := p.pathOf("pki/root.pem")
	p.run(2, "no controllers", "status", "job-1")
	p.run(2, "never sent in the clear", "status", "job-1", "--controllers", "127.0.0.1:9", "--token-file", p.pathOf("anna.token"))
	p.run(2, "does not hold one token", "whoami", "--controllers", "127.0.0.1:9", "--roots", roots, "--token-file", p.write("two.token", "a\nb\n"))
	p.run(2, "holds no certificates", "whoami", "--controllers", "127.0.0.1:9", "--roots", p.pathOf("anna.token"))
	p.run(2, "does not hold a certificate with its private key", "whoami", "--controllers", "127.0.0.1:9", "--roots", roots, "--cert", roots)
	p.run(5, "no controller answered", "whoami", "--controllers", "127.0.0.1:9", "--roots", roots, "--patience", "1s")
}

// checkExports verifies a file that is not an export, and exports to a file that exists.
func checkExports(p *builtProgram) {
	roots := p.pathOf("pki/root.pem")
	p.run(2, "--roots is needed", "audit", "verify", p.write("export", "x"))
	p.run(1, "is not what was written", "audit", "verify", p.pathOf("export"), "--roots", roots)
	p.run(2, "never replaces another", "audit", "export", p.pathOf("export"), "--controllers", "127.0.0.1:9", "--roots", roots)
}
