package rights

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// testPolicy returns a policy with an administrator, a clerk of one team, a refund service, a guest
// and a revoked identity.
func testPolicy() *Document {
	return &Document{
		Roles: []Role{
			{Name: "admin", Rules: []Rule{{Verbs: []string{"administer"}, Team: "*", Class: "*"}}},
			{Name: "clerk", Rules: []Rule{{Verbs: []string{"submit", "view", "withdraw", "reassign"}, Team: "placements-oshakati", Class: "*"}}},
			{Name: "refund", Rules: []Rule{{Verbs: []string{"submit", "view", "view-arguments", "withdraw"}, Team: "payments", Class: "refund-*"}}},
			{Name: "guest", Rules: []Rule{{Verbs: []string{"view"}, Team: "*", Class: "*"}}},
		},
		Identities: []Identity{
			{Name: "person/root", Roles: []string{"admin"}},
			{Name: "person/anna", Roles: []string{"clerk"}},
			{Name: "service/refunds", Roles: []string{"refund"}},
			{Name: "person/partner", Roles: []string{"guest"}},
			{Name: "person/gone", Roles: []string{"admin", "clerk"}, Revoked: true},
		},
	}
}

func TestDefaultDeny(t *testing.T) {
	d := testPolicy()
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	p := Compile(d)
	for _, tc := range []struct {
		who   string
		verb  Verb
		queue Queue
		want  bool
	}{
		{"person/anna", Submit, Queue{"placements-oshakati", "placement-match"}, true},
		{"person/anna", Reassign, Queue{"placements-windhoek", "placement-match"}, false},
		{"person/anna", ViewArguments, Queue{"placements-oshakati", "placement-match"}, false},
		{"service/refunds", Submit, Queue{"payments", "refund-batch"}, true},
		{"service/refunds", Submit, Queue{"payments", "price-check"}, false},
		{"service/refunds", View, Queue{"pricing", "refund-batch"}, false},
		{"person/partner", View, Queue{"payments", "refund-batch"}, true},
		{"person/partner", ViewArguments, Queue{"payments", "refund-batch"}, false},
		{"person/gone", Submit, Queue{"placements-oshakati", "placement-match"}, false},
		{"person/nobody", View, Queue{"payments", "refund-batch"}, false},
		{"", View, Queue{}, false},
	} {
		for range 2 { // the second result is cached
			if got := p.Allows(tc.who, tc.verb, tc.queue); got != tc.want {
				t.Errorf("Allows(%q, %s, %v) = %v, want %v", tc.who, tc.verb, tc.queue, got, tc.want)
			}
		}
	}
	if p.HoldsAny("person/gone", Submit) || !p.HoldsAny("person/anna", Submit) || p.HoldsAny("person/anna", Administer) {
		t.Error("HoldsAny is wrong: want Submit false for the revoked person/gone, and for person/anna Submit true and Administer false")
	}
	if p.AllowsEverywhere("person/gone", Administer) || !p.AllowsEverywhere("person/root", Administer) || !p.AllowsEverywhere("person/partner", View) {
		t.Error("AllowsEverywhere is wrong: want Administer false for the revoked person/gone and true for person/root, and View true for person/partner")
	}
}

// Requests for many made-up queues neither exhaust memory nor change decisions.
func TestQueueCacheIsBounded(t *testing.T) {
	p := Compile(testPolicy())
	for i := range 2 * maxCachedQueues {
		q := Queue{"payments", fmt.Sprintf("refund-%d", i)}
		if !p.Allows("service/refunds", Submit, q) || p.Allows("person/anna", View, q) {
			t.Fatal("Allows returned a wrong result for a queue while the cache was filling up or full")
		}
	}
	if len(p.queueCache) > maxCachedQueues {
		t.Errorf("%d queues are cached, want at most %d", len(p.queueCache), maxCachedQueues)
	}
}

func TestChanges(t *testing.T) {
	admin2 := Identity{Name: "person/second", Roles: []string{"admin"}}
	for _, tc := range []struct {
		name string
		ch   Change
		want string // a part of the error; if empty, the change is valid
	}{
		{"revoke the last administrator", Change{PutIdentities: []Identity{{Name: "person/root", Roles: []string{"admin"}, Revoked: true}}}, "nobody would be left"},
		{"drop the last administrator", Change{DropIdentities: []string{"person/root"}}, "nobody would be left"},
		{"remove the last administrator's role", Change{PutIdentities: []Identity{{Name: "person/root"}}}, "nobody would be left"},
		{"remove the administrator role's rule", Change{PutRoles: []Role{{Name: "admin", Rules: []Rule{{Verbs: []string{"administer"}, Team: "payments", Class: "*"}}}}}, "nobody would be left"},
		{"revoke an administrator and add another", Change{PutIdentities: []Identity{admin2, {Name: "person/root", Roles: []string{"admin"}, Revoked: true}}}, ""},
		{"drop a role in use", Change{DropRoles: []string{"clerk"}}, "no role clerk"},
		{"drop a role and remove it from its holders", Change{DropRoles: []string{"clerk"}, PutIdentities: []Identity{{Name: "person/anna"}, {Name: "person/gone"}}}, ""},
		{"drop a role that does not exist", Change{DropRoles: []string{"x"}}, "no role"},
		{"drop an identity that does not exist", Change{DropIdentities: []string{"person/x"}}, "no identity"},
		{"empty change", Change{}, "nothing"},
		{"put an identity twice", Change{PutIdentities: []Identity{admin2, admin2}}, "twice"},
		{"put a worker", Change{PutIdentities: []Identity{{Name: "worker/m-1"}}}, "persons and services"},
		{"invalid verb", Change{PutRoles: []Role{{Name: "x", Rules: []Rule{{Verbs: []string{"delete"}, Team: "*", Class: "*"}}}}}, "no verb"},
		{"invalid pattern", Change{PutRoles: []Role{{Name: "x", Rules: []Rule{{Verbs: []string{"view"}, Team: "[", Class: "*"}}}}}, "no pattern"},
		{"no verbs", Change{PutRoles: []Role{{Name: "x", Rules: []Rule{{Team: "*", Class: "*"}}}}}, "allows nothing"},
		{"too many rules", Change{PutRoles: []Role{{Name: "x", Rules: make([]Rule, MaxRulesPerRole+1)}}}, "split it"},
	} {
		before := testPolicy()
		next, err := Apply(before, &tc.ch)
		switch {
		case tc.want == "" && err != nil:
			t.Errorf("%s: Apply failed: %v", tc.name, err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
			t.Errorf("%s: got error %v, want one that contains %q", tc.name, err, tc.want)
		case tc.want == "" && !Compile(next).HasAdministrator():
			t.Errorf("%s: the resulting policy has no administrator", tc.name)
		}
	}
	_, err := Apply(testPolicy(), &Change{DropIdentities: []string{"person/root"}})
	if !errors.Is(err, ErrNoAdministrator) {
		t.Errorf("dropping the last administrator: got error %v, want ErrNoAdministrator", err)
	}
}

func TestTokensIssuedBeforeRevocationAreInvalid(t *testing.T) {
	d := testPolicy()
	at := time.UnixMilli(1_000_000_000_000)
	d.Identities[1].TokensRevokedBeforeMS = at.UnixMilli()
	p := Compile(d)
	if !p.IsTokenRevoked("person/anna", at.Add(-time.Second)) || p.IsTokenRevoked("person/anna", at) || p.IsTokenRevoked("person/root", at.Add(-time.Hour)) {
		t.Error("only tokens that were issued to person/anna before the revocation must be revoked")
	}
}

// largePolicy returns a policy with 1,000 rules in 100 roles and n identities.
func largePolicy(n int) *Document {
	d := &Document{}
	for r := range 100 {
		role := Role{Name: fmt.Sprintf("role-%02d", r)}
		for i := range 10 {
			role.Rules = append(role.Rules, Rule{Verbs: []string{"submit", "view"}, Team: fmt.Sprintf("team-%02d", r), Class: fmt.Sprintf("class-%d-*", i)})
		}
		d.Roles = append(d.Roles, role)
	}
	for i := range n {
		d.Identities = append(d.Identities, Identity{Name: fmt.Sprintf("person/clerk-%05d", i),
			Roles: []string{fmt.Sprintf("role-%02d", i%100), fmt.Sprintf("role-%02d", (i+7)%100)}})
	}
	return d
}

func TestAllowsDoesNotAllocate(t *testing.T) {
	p := Compile(largePolicy(1000))
	q := Queue{"team-07", "class-3-x"}
	p.Allows("person/clerk-00007", Submit, q)
	if n := testing.AllocsPerRun(100, func() { p.Allows("person/clerk-00007", Submit, q) }); n > 0 {
		t.Errorf("Allows made %v allocations for a cached queue, want 0", n)
	}
}

// Command: go test -run XXX -bench . ./internal/rights
func BenchmarkAllows(b *testing.B) {
	p := Compile(largePolicy(10_000))
	queues := make([]Queue, 1000)
	names := make([]string, 1000)
	for i := range queues {
		queues[i] = Queue{fmt.Sprintf("team-%02d", i%100), fmt.Sprintf("class-%d-x", i/100)}
		names[i] = fmt.Sprintf("person/clerk-%05d", i*9)
		p.Allows(names[i], Submit, queues[i])
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 1) % 1000
		p.Allows(names[i], Submit, queues[i])
	}
}

func BenchmarkCompile10000(b *testing.B) {
	d := largePolicy(10_000)
	for b.Loop() {
		Compile(d)
	}
}

func BenchmarkMemoryPer1000(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := largePolicy(10_000)
		p := Compile(d)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10, "B/1000identities")
		runtime.KeepAlive(p)
		runtime.KeepAlive(d)
	}
}
