package policyfile

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
)

const validPolicy = `
roles:
  - name: admin
    rules: [{allow: [administer], team: "*", class: "*"}]
  - name: clerk
    rules: [{allow: [submit, view], team: "placements-*", class: "*"}]
identities:
  - {name: person/root, roles: [admin]}
  - {name: person/anna, roles: [clerk]}
`

func TestParse(t *testing.T) {
	d, err := Parse([]byte(validPolicy))
	if err != nil || len(d.Roles) != 2 || len(d.Identities) != 2 || d.Roles[1].Rules[0].Team != "placements-*" {
		t.Fatalf("Parse of a valid policy returned %+v, %v", d, err)
	}
	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown field":               {"roles: [clerk]}", "roles: [clerk], admin: true}", "identities.1: additional properties"},
		"unknown verb":                {"submit, view", "submit, delete", "roles.1.rules.0.allow.1: value must be one of"},
		"rule without a verb":         {"[submit, view]", "[]", "roles.1.rules.0.allow"},
		"unknown role":                {"roles: [clerk]", "roles: [clark]", "there is no role clark"},
		"identity without a kind":     {"person/anna", "anna", "identities.1.name: "},
		"identity of a worker":        {"person/anna", "worker/anna", "identities.1.name: "},
		"invalid pattern":             {"placements-*", "placements-[", "is no pattern"},
		"rule without a team":         {`team: "placements-*", `, "", "missing property 'team'"},
		"duplicate role":              {"name: clerk\n", "name: admin\n", "twice"},
		"duplicate identity":          {"person/anna", "person/root", "twice"},
		"no administrator":            {"roles: [admin]", "roles: [clerk]", "nobody would be left"},
		"administrator revoked":       {"roles: [admin]}", "roles: [admin], revoked: true}", "nobody would be left"},
		"string instead of a boolean": {"roles: [clerk]}", "roles: [clerk], revoked: soon}", "identities.1.revoked: got string, want boolean"},
		"not YAML":                    {"roles:", "roles: [", "not YAML"},
		"empty file":                  {validPolicy, "", "got null, want object"},
		"array instead of an object":  {validPolicy, "[]", "got array, want object"},
		"recursive anchor":            {validPolicy, "a: &a [*a]", ""},
	} {
		text := strings.Replace(validPolicy, tc.old, tc.new, 1)
		if text == validPolicy {
			t.Fatalf("%s: the text to replace is not in the valid policy", name)
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, tc.want)
		}
	}
}

// The example policy in deploy is valid.
func TestExample(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "policy.example.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(data); err != nil {
		t.Error(err)
	}
}

func apply(t *testing.T, from *rights.Document, plan []rights.Change, size int) *rights.Document {
	t.Helper()
	for i := range plan {
		next, err := rights.Apply(from, &plan[i])
		if err != nil {
			t.Fatalf("change %d is invalid: %v", i, err)
		}
		if plan[i].Size() > size {
			t.Fatalf("change %d has %d records, want at most %d", i, plan[i].Size(), size)
		}
		from = next
	}
	return from
}

// Plan finds changes between any two policies that each leave an administrator, even if roles are
// renamed or two roles swap their rules.
func TestPlan(t *testing.T) {
	role := func(name string, verbs ...string) rights.Role {
		return rights.Role{Name: name, Rules: []rights.Rule{{Verbs: verbs, Team: "*", Class: "*"}}}
	}
	id := func(name string, roles ...string) rights.Identity { return rights.Identity{Name: name, Roles: roles} }
	docs := []*rights.Document{
		{Roles: []rights.Role{role("a", "administer"), role("b", "view")}, Identities: []rights.Identity{id("person/x", "a"), id("person/y", "b")}},
		{Roles: []rights.Role{role("a", "view"), role("b", "administer")}, Identities: []rights.Identity{id("person/x", "a"), id("person/y", "b")}},
		{Roles: []rights.Role{role("c", "administer")}, Identities: []rights.Identity{id("person/z", "c")}},
		{Roles: []rights.Role{role("a", "view"), role("d", "administer")}, Identities: []rights.Identity{id("person/x", "d"), id("person/y", "a")}},
	}
	large := &rights.Document{Roles: []rights.Role{role("a", "administer"), role("b", "view")}}
	for i := range 500 {
		large.Identities = append(large.Identities, id(fmt.Sprintf("person/p%04d", i), []string{"b", "a"}[i/499]))
	}
	docs = append(docs, large)
	for i, from := range append([]*rights.Document{{}}, docs...) {
		for j, to := range docs {
			for _, size := range []int{1, 2, 12} {
				plan, err := Plan(from, to, size)
				if err != nil {
					// With one record per change, it is impossible to add the first
					// administrator or to swap the rules of two roles.
					if size == 1 {
						continue
					}
					t.Errorf("Plan from policy %d to %d with %d records per change: %v", i, j, size, err)
					continue
				}
				got, want := apply(t, from, plan, size), sorted(to)
				if !reflect.DeepEqual(got.Roles, want.Roles) || !reflect.DeepEqual(got.Identities, want.Identities) {
					t.Errorf("Plan from policy %d to %d with %d records per change results in %+v, want %+v", i, j, size, got, want)
				}
			}
		}
	}
	withRevokedTokens := &rights.Document{Roles: docs[0].Roles, Identities: []rights.Identity{id("person/x", "a"), {Name: "person/y", Roles: []string{"b"}, TokensRevokedBeforeMS: 7}}}
	plan, err := Plan(withRevokedTokens, docs[1], 12)
	if err != nil || apply(t, withRevokedTokens, plan, 12).Identities[1].TokensRevokedBeforeMS != 7 {
		t.Errorf("Plan failed or made revoked tokens valid again: %v", err)
	}
}

// sorted returns a copy of the policy that is sorted by name.
func sorted(d *rights.Document) *rights.Document {
	// Apply sorts the policy; putting an unchanged identity has no other effect.
	out, err := rights.Apply(d, &rights.Change{PutIdentities: d.Identities[:1]})
	if err != nil {
		panic(err)
	}
	return out
}

// Policies that Parse accepts pass the controllers' check and can be compiled.
func FuzzPolicyFile(f *testing.F) {
	f.Add([]byte(validPolicy))
	f.Add([]byte("roles: []\nidentities: []\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err != nil {
			return
		}
		if err := d.Check(); err != nil {
			t.Fatalf("Parse accepted a policy that fails Check: %v", err)
		}
		p := rights.Compile(d)
		for _, id := range d.Identities {
			p.Allows(id.Name, rights.View, rights.Queue{Team: "a", Class: "b"})
		}
	})
}

// No change that a controller receives makes it panic, and accepted changes leave an administrator.
func FuzzChange(f *testing.F) {
	from, err := Parse([]byte(validPolicy))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(protocol.Encode(&rights.Change{PutIdentities: []rights.Identity{{Name: "person/b", Roles: []string{"clerk"}}}}))
	f.Add(protocol.Encode(&rights.Change{DropRoles: []string{"clerk"}, DropIdentities: []string{"person/anna"}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		var ch rights.Change
		if protocol.Decode(body, &ch) != nil {
			return
		}
		if next, err := rights.Apply(from, &ch); err == nil && !rights.Compile(next).HasAdministrator() {
			t.Fatalf("Apply accepted %+v, which leaves no administrator", ch)
		}
	})
}
