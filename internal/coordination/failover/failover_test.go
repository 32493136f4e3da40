package failover

import (
	"slices"
	"testing"
	"time"
)

func TestChooseStandby(t *testing.T) {
	all := []Candidate{{"n0", "a", 9, 1}, {"n1", "a", 1, 1}, {"n2", "b", 5, 1}, {"n3", "b", 5, 2}, {"n4", "b", 2, 1}}
	for name, c := range map[string]struct {
		leader, zone string
		all          []Candidate
		want         string
	}{
		"least loaded in another zone":        {"n0", "a", all, "n4"},
		"not the leader":                      {"n4", "b", all, "n1"},
		"fewest partitions of equally loaded": {"n0", "a", all[:4], "n2"},
		"same zone without another":           {"n0", "a", all[:2], "n1"},
		"no candidate":                        {"n0", "a", all[:1], ""},
		"leader in an unknown zone":           {"n9", "", all, "n1"},
	} {
		if got := ChooseStandby(c.leader, c.zone, c.all); got != c.want {
			t.Errorf("%s: standby %q, want %q", name, got, c.want)
		}
		reversed := slices.Clone(c.all)
		slices.Reverse(reversed)
		if got := ChooseStandby(c.leader, c.zone, reversed); got != c.want {
			t.Errorf("%s: with the candidates in reverse order: standby %q, want %q", name, got, c.want)
		}
	}
}

func TestKeepStandby(t *testing.T) {
	all := []Candidate{{"n1", "b", 100, 1}, {"n2", "b", 300, 1}, {"n3", "a", 10, 1}, {"n4", "b", 240, 1}}
	for current, want := range map[string]string{
		"":   "n1", // the best candidate
		"n4": "n4", // leads more machines, but within the tolerance
		"n2": "n1", // leads more machines than the tolerance allows
		"n3": "n1", // in the leader's zone
		"n9": "n1", // no candidate
		"n0": "n1", // the leader itself
	} {
		if got := KeepStandby(current, "n0", "a", all); got != want {
			t.Errorf("current standby %q: chose %q, want %q", current, got, want)
		}
	}
	if got := KeepStandby("n3", "n0", "a", all[2:3]); got != "n3" {
		t.Errorf("current standby n3 is the only candidate: chose %q, want n3", got)
	}
	if got := KeepStandby("n1", "n0", "a", nil); got != "" {
		t.Errorf("no candidate: chose %q, want none", got)
	}
}

// A leader counts as dead only if its summaries are missing and machines are diverted: missing
// summaries alone may result from failed connections between controllers, diverted machines from
// failed connections of agents.
func TestDead(t *testing.T) {
	const interval = 500 * time.Millisecond
	for _, c := range []struct {
		silent              time.Duration
		reporting, diverted int
		want                bool
	}{
		{1200 * time.Millisecond, 100, 3, true},
		{1000 * time.Millisecond, 100, 50, false}, // the leader may have been stalled for a second
		{time.Minute, 100, 0, false},
		{time.Minute, 100, 2, false},
		{time.Minute, 2, 2, true},
		{time.Minute, 1, 1, false}, // too few machines: its lease has to expire
		{time.Minute, 0, 0, false},
	} {
		if got := (Evidence{c.silent, interval, c.reporting, c.diverted}).Dead(); got != c.want {
			t.Errorf("%v since the last summary, %d machines reporting, %d diverted: Dead() = %v, want %v", c.silent, c.reporting, c.diverted, got, c.want)
		}
	}
}

func TestAnswerBounds(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	all := []FormerLeader{{"n0", "x", 4, at(20), BoundByLeaseEnd}, {"n1", "y", 7, at(23), BoundByLeaseEnd}}
	for name, c := range map[string]struct {
		ended map[string]time.Time
		want  time.Time
	}{
		"the latest of all former leaders":                 {nil, at(23)},
		"an incarnation ended earlier":                     {map[string]time.Time{"n1/y": at(3)}, at(20)},
		"an incarnation ended after its bound":             {map[string]time.Time{"n1/y": at(40)}, at(23)},
		"all incarnations ended":                           {map[string]time.Time{"n1/y": at(3), "n0/x": at(2)}, at(3)},
		"another incarnation of the same controller ended": {map[string]time.Time{"n1/z": at(3)}, at(23)},
	} {
		if got := Latest(Bounds(all, func(label, nonce string) time.Time { return c.ended[label+"/"+nonce] })...).Until; !got.Equal(c.want) {
			t.Errorf("%s: the latest bound is %v, want %v", name, got, c.want)
		}
	}
	never := func(string, string) time.Time { return time.Time{} }
	for _, r := range []FormerLeader{{Label: "n1", Nonce: "y", LeaseRevision: 6}, {Label: "n1", Nonce: "z", LeaseRevision: 7}, {Label: "n0", Nonce: "y", LeaseRevision: 7}} {
		if RecordRelease(all, r.Label, r.Nonce, r.LeaseRevision, at(1)); !Latest(Bounds(all, never)...).Until.Equal(at(23)) {
			t.Errorf("RecordRelease for %+v, which is no former leader, lowered AnswersUntil of a former leader", r)
		}
	}
	if RecordRelease(all, "n1", "y", 7, at(1)); !Latest(Bounds(all, never)...).Until.Equal(at(20)) {
		t.Error("RecordRelease did not lower AnswersUntil of the former leader that released its lease")
	}
	if got := Latest(Bounds(nil, nil)...).Until; !got.IsZero() {
		t.Errorf("no former leaders: the latest bound is %v, want the zero time", got)
	}
}

func TestMissing(t *testing.T) {
	good := TakeoverCheck{LeaseRevision: 7, NewestLease: 7, SinceRenewal: time.Second, TTL: 3 * time.Second, RunRecords: 7, MachineRecords: 8, FinalStates: 9, QuotasCounted: true}
	if m := good.Missing(); len(m) != 0 {
		t.Errorf("all preconditions met: Missing() = %v, want none", m)
	}
	for want, change := range map[string]func(*TakeoverCheck){
		"the newest lease":                              func(c *TakeoverCheck) { c.NewestLease = 8 },
		"a fresh lease":                                 func(c *TakeoverCheck) { c.SinceRenewal = 3 * time.Second },
		"run records up to the lease revision":          func(c *TakeoverCheck) { c.RunRecords = 6 },
		"machine records up to the lease revision":      func(c *TakeoverCheck) { c.MachineRecords = 6 },
		"final states of jobs up to the lease revision": func(c *TakeoverCheck) { c.FinalStates = 6 },
		"quotas from all live attempts":                 func(c *TakeoverCheck) { c.QuotasCounted = false },
	} {
		c := good
		change(&c)
		if m := c.Missing(); !slices.Equal(m, []string{want}) {
			t.Errorf("one precondition not met: Missing() = %v, want only %q", m, want)
		}
	}
	if m := (TakeoverCheck{}).Missing(); !slices.Contains(m, "the newest lease") {
		t.Errorf("no lease: Missing() = %v, want \"the newest lease\" among them", m)
	}
}
