package coordination

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// The deployment that no fixed bound may stand below: one controller of several holds all
// of its machines (docs/limits.md).
const (
	largeMachines = 4000
	largeEach     = 16 // running tasks of a machine
	largeTasks    = largeMachines * largeEach
	// largeCancels is how many jobs are cancelled in a second: three times what the large
	// deployments see.
	largeCancels = 36
	largeCancelS = 43 * time.Second
	// standbySeconds is in how long a standby that knows nothing is told a part.
	standbySeconds = 10
	// clientResponse is what transport's client takes as a response.
	clientResponse = 8 << 20
)

var (
	largeLimits = settings.Limits{CoreShare: 0.312, MemMB: 322, Sockets: 2289}
	// onePart and threeParts are teams whose parts the machines are in.
	onePart    = []string{"green"}
	threeParts = []string{"red", "blue", "green"}
	largeState = settings.State{RPS: 900, WriteRPS: 270, ValueKB: 8, TxnOps: 12}
)

// largeFleet makes a controller that holds every part, with all machines up and all tasks
// running, in the parts of some teams.
func largeFleet(t testing.TB, teams []string) *Controller {
	t.Helper()
	c, _ := owner(t)
	c.Observe()
	c.net = nowhere{}
	c.set.Params.MachineLimits, c.set.Params.State = largeLimits, largeState
	c.carrying.most = carriedMost(largeLimits)
	c.cancelS = largeCancelS
	c.notices.limit(largeCancelS, largeState)
	now := time.Now()
	c.synced, c.renewed, c.fresh = true, now, now
	for _, p := range c.parts {
		p.claimed, p.standby = now, "n1"
	}
	for i := range largeMachines {
		team := teams[i%len(teams)]
		p := c.parts[c.teamPart[c.teamIndex[team]]]
		m := c.up(p, largeMachine(i), "big")
		m.rec.Addr = fmt.Sprintf("10.0.%d.%d:10000", i/250, i%250)
		for k := range 20 {
			m.images[fmt.Sprintf("registry/team-%d/image-%d:v%d", k, i%50, k)] = now
		}
		j := c.take(spec(fmt.Sprintf("job-%06d", i), largeEach, team))
		for task := range largeEach {
			c.reserve(p, j, task, 1, m, now)
			a := j.live[task]
			a.state, a.startedAt, a.status = attemptSeen, now.Add(-time.Minute), protocol.TaskRunning
		}
		j.queue, j.running, j.touched = nil, largeEach, false
		for _, ch := range j.chunks { // on record
			ch.dirty, ch.urgent, ch.version = false, false, 3
		}
	}
	return c
}

func largeMachine(i int) string { return fmt.Sprintf("machine-%06d", i) }

// reportOf is what a machine's worker reports.
func reportOf(c *Controller, m *machine, sequence uint64) *protocol.Report {
	r := &protocol.Report{Machine: m.name, Addr: m.rec.Addr, Type: "big", Zone: "a", Session: 1, Sequence: sequence, Token: c.token(m)}
	for _, a := range m.attempts {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: a.wire(), Attempt: a.number, State: protocol.TaskRunning})
	}
	return r
}

// met are the bounds that were met, with how often, as the metrics say.
func met(c *Controller) []string {
	var out bytes.Buffer
	c.metrics.Write(&out, nil)
	var list []string
	for line := range strings.Lines(out.String()) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "micaspindle_bound_met_total") && !strings.HasSuffix(line, " 0") {
			list = append(list, line)
		}
	}
	return list
}

func wantMet(t *testing.T, c *Controller, bounds ...observe.Bound) {
	t.Helper()
	list := met(c)
	for _, b := range bounds {
		if !strings.Contains(strings.Join(list, "\n"), fmt.Sprintf("%q", b.String())) {
			t.Errorf("%s was not counted: %q", b, list)
		}
	}
	if len(list) != len(bounds) {
		t.Errorf("bounds met: %q, not %v", list, bounds)
	}
}

// replica is a standby's copy of a part's records, as read from the store.
func replica(c *Controller, p *part) *follower {
	var items []protocol.Item
	for id, j := range c.jobs {
		if j.part != p.index {
			continue
		}
		for _, ch := range j.chunks {
			items = append(items, protocol.Item{Key: bookkeeping.RunKey(p.index, id, ch.index), Version: 5, Value: bookkeeping.Encode(j.record(ch))})
		}
	}
	fo := newFollower(p.index, time.Now())
	fo.start(c.log.Error, items, 5, time.Now())
	return fo
}

// tellStandby tells a standby all that there is of a part, and says in how many messages.
func tellStandby(t *testing.T, c *Controller, p *part, fo *follower) (messages int) {
	t.Helper()
	for messages < 100 {
		now := time.Now()
		raw, err := proto.Marshal(c.following.tell(p, now))
		if err != nil || len(raw) > peerBodyLeast {
			t.Fatalf("a message of %d bytes (%v)", len(raw), err)
		}
		told := new(peer.Tale)
		must(proto.Unmarshal(raw, told))
		if len(told.Attempts)+len(told.Machines) == 0 {
			break
		}
		messages++
		p.telling.have = fo.tale.hear(told, fo.shadow.told, now)
	}
	return messages
}

// serveCalls stands in for the controller's loop, without its ticks, until stop.
func serveCalls(c *Controller) (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case fn := <-c.calls:
				fn()
			case <-end:
				return
			}
		}
	}()
	return func() { close(end); <-ended }
}

// What a controller keeps and tells of 4,000 machines with 64,000 running tasks passes
// whole and within the limit of a message.
func TestLimitsHoldALargeFleet(t *testing.T) {
	for _, tc := range []struct {
		name  string
		teams []string
		run   func(t *testing.T, c *Controller)
		met   []observe.Bound
	}{
		{"summary", onePart, summaryOfALargeFleet, nil},
		// A standby that knows nothing is told in several messages.
		{"replicated copy, recall and takeover of one part by the standby", onePart, replicaOfALargeFleet, []observe.Bound{observe.ReplicaMessages}},
		{"the same of three parts", threeParts, replicaOfALargeFleet, []observe.Bound{observe.ReplicaMessages}},
		{"replicated starts ahead of their records", onePart, startsAheadOfTheirRecords, nil},
		{"cancellation notices", onePart, noticesOfALargeFleet, nil},
		{"carried reports that wait", onePart, carriedReportsOfALargeFleet, nil},
		{"one controller of several is left", threeParts, oneControllerIsLeft, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := largeFleet(t, tc.teams)
			tc.run(t, c)
			wantMet(t, c, tc.met...)
		})
	}
}

func summaryOfALargeFleet(t *testing.T, c *Controller) {
	now := time.Now()
	waiting := 0
	for i := range 700 {
		s := spec(fmt.Sprintf("job-9%05d", i), largeEach, "green")
		s.DeadlineS = 0
		c.take(s)
		waiting++
	}
	noted := int(largeCancels * largeCancelS.Seconds())
	for i := range noted {
		c.setFinal(fmt.Sprintf("job-8%08d", i), protocol.StatusWithdrawn, now)
	}
	for i := range largeMachines { // as after the start of all controllers
		name := largeMachine(largeMachines + i)
		c.unknown[name] = &peer.UnknownMachine{Name: name, Addr: "10.0.0.1:10000", Type: "big", Zone: "a"}
		c.strayed[name] = now
	}
	most := MaxPeerBody(largeLimits)
	body := c.encodeSummary(c.summary(now))
	sum := new(peer.Summary)
	must(proto.Unmarshal(body, sum))
	machines, demands := 0, 0
	for _, ps := range sum.Parts {
		machines, demands = machines+len(ps.Machines), demands+len(ps.Demands)
	}
	if machines != largeMachines || demands != waiting || len(sum.Jobs) != largeMachines || len(sum.Withdrawn) != noted || len(sum.Unknown) != largeMachines {
		t.Errorf("%d machines, %d demands, %d jobs, %d cancelled, %d not on record", machines, demands, len(sum.Jobs), len(sum.Withdrawn), len(sum.Unknown))
	}
	if len(body) > most {
		t.Errorf("%d bytes of %d", len(body), most)
	}
	t.Logf("summary: %d bytes of %d", len(body), most)
}

// A summary with the longest texts and everything at its bound still holds all of it.
func TestSummaryAtItsWorstFits(t *testing.T) {
	c, _ := owner(t)
	c.Observe()
	c.set.Params.MachineLimits = largeLimits
	c.notices.limit(largeCancelS, largeState)
	longID := func(i int) string { return fmt.Sprintf("job-%032d", i) }
	longName := func(i int) string { return fmt.Sprintf("%064d", i) }
	sum := &peer.Summary{From: "n0"}
	ps := &peer.PartSummary{}
	for i := range largeMachines {
		ps.Machines = append(ps.Machines, &peer.MachineStatus{Name: longName(i), Heard: true, Idle: true, IdleS: 1, Addr: "10.100.100.100:10000"})
		sum.Strayed = append(sum.Strayed, longName(i))
	}
	for i := range demandsMost(largeMachines) {
		ps.Demands = append(ps.Demands, &peer.Demand{Cpus: 1, Gpus: 1, MemGb: 1, Types: []string{longName(i), longName(i)}, Zone: "a",
			Spot: true, Count: 1000, WaitedS: 1, EstimateS: 1, SlackS: 1})
	}
	for i := range progressMost {
		sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: longID(i), Done: 1000, Running: 1000})
	}
	for i := range c.notices.most {
		sum.Withdrawn = append(sum.Withdrawn, &peer.Withdrawn{Job: longID(i), AgeMs: 40_000})
	}
	sum.Parts = append(sum.Parts, ps)
	body := c.encodeSummary(sum)
	if len(body) > MaxPeerBody(largeLimits) || len(sum.Jobs) != progressMost {
		t.Errorf("%d bytes of %d, %d jobs", len(body), MaxPeerBody(largeLimits), len(sum.Jobs))
	}
	wantMet(t, c)
	t.Logf("summary at its worst: %d bytes of %d", len(body), MaxPeerBody(largeLimits))
}

func replicaOfALargeFleet(t *testing.T, c *Controller) {
	for _, m := range c.machines {
		m.pendingOrders = 1 // nothing is sent here
	}
	attempts, machines := 0, 0
	for _, p := range c.parts {
		fo := replica(c, p)
		if len(fo.shadow.jobs) == 0 {
			continue
		}
		messages := tellStandby(t, c, p, fo)
		if messages > standbySeconds {
			t.Errorf("part %d: %d messages, one a second", p.index, messages)
		}
		attempts, machines = attempts+fo.shadow.toldOf(), machines+len(fo.tale.machines)
		recalled, whole := fo.retold(time.Now())
		raw, err := proto.Marshal(recalled)
		if err != nil || !whole || len(raw) > recallBytes || len(recalled.Attempts) != fo.shadow.toldOf() || len(recalled.Machines) != len(fo.tale.machines) {
			t.Errorf("recalled in %d bytes, whole %v: %d attempts, %d machines (%v)", len(raw), whole, len(recalled.Attempts), len(recalled.Machines), err)
		}
		t.Logf("part %d: %d machines in %d messages, recalled in %d bytes", p.index, len(fo.tale.machines), messages, len(raw))
		c.clearPart(p) // the standby never owned it
		c.following.install(p, fo, nil, true)
	}
	if attempts != largeTasks || machines != largeMachines {
		t.Errorf("the standby knows %d starts and %d machines", attempts, machines)
	}
	live := 0
	for _, j := range c.jobs {
		for _, a := range j.live {
			if a.machine != nil && !a.told.IsZero() {
				live++
			}
		}
	}
	if live != largeTasks {
		t.Errorf("%d tasks live on after the takeover, with their starts", live)
	}
}

func startsAheadOfTheirRecords(t *testing.T, c *Controller) {
	fo := newFollower(0, time.Now())
	for id, j := range c.jobs {
		for task := range j.live {
			fo.shadow.told(taleKey{id, task, 1}, time.Now())
		}
	}
	if len(fo.shadow.began) != largeTasks || fo.shadow.dropped != 0 {
		t.Errorf("%d starts kept, %d dropped", len(fo.shadow.began), fo.shadow.dropped)
	}
}

func noticesOfALargeFleet(t *testing.T, c *Controller) {
	now := time.Now()
	noted := int(largeCancels * largeCancelS.Seconds())
	for i := range noted {
		age := largeCancelS - time.Second - time.Duration(i)*(largeCancelS-2*time.Second)/time.Duration(noted)
		c.setFinal(fmt.Sprintf("job-8%08d", i), protocol.StatusWithdrawn, now.Add(-age))
	}
	told := c.notices.latest(now, c.cancelS)
	if len(told) != noted || told[0].Job != "job-800000000" {
		t.Errorf("%d of %d told, %s first", len(told), noted, told[0].Job)
	}
}

// ownerOfCarried is the network of a carrier, on which the owner answers.
type ownerOfCarried struct {
	t       *testing.T
	reports map[string]bool
	after   []uint64
	serial  uint64
}

// Do answers as the owner of the part.
func (o *ownerOfCarried) Do(_ context.Context, _, _, _ string, body []byte) (*transport.Response, error) {
	if len(body) > peerBodyLeast {
		o.t.Errorf("a message of %d bytes", len(body))
	}
	req := new(peer.CarryRequest)
	must(proto.Unmarshal(body, req))
	for _, raw := range req.Reports {
		r := new(protocol.Report)
		must(protocol.Decode(raw, r))
		o.reports[r.Machine] = true
	}
	o.after = append(o.after, req.After)
	o.serial++
	resp := replyOf(&peer.CarryReply{GrantMs: 2000, Serial: o.serial})
	return &resp, nil
}

func carriedReportsOfALargeFleet(t *testing.T, c *Controller) {
	p := c.parts[c.teamPart[c.teamIndex["green"]]]
	p.mine, p.owner = false, "n1"
	net := &ownerOfCarried{t: t, reports: map[string]bool{}}
	c.net = net
	c.peers["n1"] = &peerState{addr: "n1:2", heard: time.Now(), summary: &peer.Summary{
		Parts: []*peer.PartSummary{{Part: uint32(p.index), Carried: []*peer.Carried{{By: c.set.Label}}}}}}
	e := c.carrying.errands[p.index]
	e.owner, e.claim, e.serial, e.until = p.owner, p.version, 0, time.Now().Add(time.Hour)
	for s := range e.shares {
		e.shares[s] = true
	}
	for _, m := range c.machines {
		r := reportOf(c, m, 1)
		if resp := c.handleReport(r, protocol.Encode(r)); resp.Status != 200 {
			t.Fatalf("%s: status %d, %s", m.name, resp.Status, resp.Body)
		}
	}
	size := e.size
	stop := serveCalls(c)
	asked := c.carrying.askAll(p, e)
	stop()
	if !asked || len(net.reports) != largeMachines || e.size != 0 {
		t.Errorf("%d reports told, %d bytes left", len(net.reports), e.size)
	}
	// Only a request with all that is left may show that everything is known.
	for i, after := range net.after {
		want := uint64(0)
		if i == len(net.after)-1 {
			want = uint64(i)
		}
		if after != want {
			t.Errorf("request %d of %d is after reply %d, not %d", i+1, len(net.after), after, want)
		}
	}
	t.Logf("carried: %d bytes of %d in %d messages", size, c.carrying.most, len(net.after))
}

func oneControllerIsLeft(t *testing.T, c *Controller) {
	for _, m := range c.machines {
		r := reportOf(c, m, 1)
		if resp := c.handleReport(r, protocol.Encode(r)); resp.Status != 200 {
			t.Fatalf("%s: status %d, %s", m.name, resp.Status, resp.Body)
		}
	}
	c.tick(time.Now())
	seen, machines := 0, 0
	for _, m := range c.machines {
		if m.heard && !m.lost {
			machines++
		}
		for _, a := range m.attempts {
			if a.live() && a.state == attemptSeen {
				seen++
			}
		}
	}
	if seen != largeTasks || machines != largeMachines {
		t.Errorf("%d tasks on %d machines", seen, machines)
	}
}

// What lies beyond a bound is counted, and said once; what is more urgent is kept.
func TestMetBoundsAreCounted(t *testing.T) {
	small := func(c *Controller) { c.set.Params.MachineLimits.MemMB = 64 }
	for _, tc := range []struct {
		name  string
		bound observe.Bound
		meet  func(t *testing.T, c *Controller)
	}{
		{"a summary too large", observe.SummaryBytes, func(t *testing.T, c *Controller) {
			small(c)
			sum := &peer.Summary{From: "n0", Jobs: make([]*peer.JobProgress, 0, 40_000)}
			for i := range 40_000 {
				sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: fmt.Sprintf("job-%032d", i), Done: 1})
			}
			sum.Parts = append(sum.Parts, &peer.PartSummary{Machines: []*peer.MachineStatus{{Name: "m-1"}}})
			told := new(peer.Summary)
			must(proto.Unmarshal(c.encodeSummary(sum), told))
			if len(told.Jobs) > 0 || len(told.Parts) != 1 {
				t.Errorf("%d jobs, %d parts told", len(told.Jobs), len(told.Parts))
			}
		}},
		{"machines not on record too many", observe.SummaryBytes, func(t *testing.T, c *Controller) {
			small(c)
			sum := &peer.Summary{From: "n0", Withdrawn: []*peer.Withdrawn{{Job: "job-1"}}}
			for i := range 40_000 {
				sum.Unknown = append(sum.Unknown, &peer.UnknownMachine{Name: fmt.Sprintf("m-%032d", i)})
			}
			told := new(peer.Summary)
			must(proto.Unmarshal(c.encodeSummary(sum), told))
			if len(told.Unknown) > 0 || len(told.Withdrawn) != 1 {
				t.Errorf("%d machines, %d cancelled told", len(told.Unknown), len(told.Withdrawn))
			}
		}},
		{"progress of jobs", observe.JobProgress, func(t *testing.T, c *Controller) {
			for i := range progressMost + 1 {
				id := fmt.Sprint("job-", i)
				c.jobs[id] = &job{spec: spec(id, 1, "green"), owned: true, running: 1}
			}
			if n := len(c.summary(time.Now()).Jobs); n != progressMost {
				t.Errorf("%d jobs told", n)
			}
		}},
		{"demands", observe.Demands, func(t *testing.T, c *Controller) {
			for i := range demandsLeast + 1 {
				c.waiting(fmt.Sprint("job-", i), 1)
			}
			if n := len(c.partSummary(c.parts[c.teamPart[c.teamIndex["green"]]], time.Now()).Demands); n != demandsLeast {
				t.Errorf("%d demands told", n)
			}
		}},
		{"cancellation notices", observe.Cancellations, func(t *testing.T, c *Controller) {
			for i := range c.notices.most + 1 {
				c.setFinal(fmt.Sprint("job-", i), protocol.StatusWithdrawn, time.Now())
			}
			if told := c.notices.latest(time.Now(), c.cancelS); len(told) != c.notices.most || told[0].Job != "job-0" {
				t.Errorf("%d told, %s first", len(told), told[0].Job)
			}
		}},
		{"carried reports", observe.CarriedReports, func(t *testing.T, c *Controller) {
			p := c.parts[0]
			m := c.up(p, "m-1", "big")
			p.mine, p.owner = false, "n1"
			e := c.carrying.errands[0]
			e.owner, e.claim, e.until, e.size = "n1", p.version, time.Now().Add(time.Hour), c.carrying.most
			e.shares[m.share] = true
			r := reportOf(c, m, 1)
			if resp := c.handleReport(r, protocol.Encode(r)); resp.Status != 503 {
				t.Errorf("status %d", resp.Status)
			}
		}},
		{"messages to a standby", observe.ReplicaMessages, func(t *testing.T, c *Controller) {
			p, m := c.parts[0], c.up(c.parts[0], "m-1", "big")
			for i := range 200 {
				for k := range taleImages {
					m.images[fmt.Sprintf("%0190d", k)] = time.Now()
				}
				m = c.up(p, fmt.Sprint("m-2", i), "big")
			}
			if told := c.following.tell(p, time.Now()); proto.Size(told) > peerBodyLeast || len(told.Machines) > 200 || told.Upto >= p.telling.clock {
				t.Errorf("%d bytes, %d machines", proto.Size(told), len(told.Machines))
			}
		}},
		{"starts told to a standby", observe.ReplicaStarts, func(t *testing.T, c *Controller) {
			fo := newFollower(0, time.Now())
			c.following.copies[0] = fo
			for i := range begunMost {
				fo.shadow.began[taleKey{"job-1", i, 1}] = time.Now()
			}
			hears(t, c, &peer.Tale{From: "n1", Claim: 1, Upto: 1, Attempts: []*peer.AttemptTale{{Job: "job-2", Attempt: 1}}})
			if len(fo.shadow.began) != begunMost {
				t.Errorf("%d starts kept", len(fo.shadow.began))
			}
		}},
		{"machines told to a standby", observe.ReplicaMachines, func(t *testing.T, c *Controller) {
			fo := newFollower(0, time.Now())
			c.following.copies[0] = fo
			fo.tale = heardTale{from: "n1", claim: 1, have: 1, machines: map[string]heardMachine{}}
			for i := range taleMost {
				fo.tale.machines[fmt.Sprint("m-", i)] = heardMachine{}
			}
			hears(t, c, &peer.Tale{From: "n1", Claim: 1, Since: 1, Upto: 2, Machines: []*peer.MachineTale{{Name: "another"}, {Name: "m-1"}}})
			if fo.tale.machines["m-1"].MachineTale == nil || len(fo.tale.machines) != taleMost {
				t.Errorf("a machine that was known is not told anew, %d kept", len(fo.tale.machines))
			}
		}},
		{"recalls", observe.RecallBytes, func(t *testing.T, c *Controller) {
			fo := newFollower(0, time.Now())
			c.following.copies[0] = fo
			fo.tale = heardTale{from: "n1", claim: 1, have: 1, machines: map[string]heardMachine{}}
			for i := range largeMachines {
				mt := &peer.MachineTale{Name: largeMachine(i), NoticeS: -1}
				for k := range taleImages {
					mt.Images = append(mt.Images, fmt.Sprintf("%0200d", k))
				}
				fo.tale.machines[mt.Name] = heardMachine{MachineTale: mt}
			}
			raw, err := proto.Marshal(&peer.RecallRequest{})
			must(err)
			stop := serveCalls(c)
			resp := c.following.recall(raw)
			stop()
			told := new(peer.Tale)
			must(proto.Unmarshal(resp.Body, told))
			if len(resp.Body) > clientResponse || len(told.Machines) != largeMachines || len(fo.tale.machines[largeMachine(0)].Images) != taleImages {
				t.Errorf("%d bytes, %d machines", len(resp.Body), len(told.Machines))
			}
		}},
		{"classes", observe.Classes, func(t *testing.T, c *Controller) {
			for i := range classesMost {
				c.classGroup(fmt.Sprint("class-", i))
			}
			if met(c) != nil || c.classGroup("another") != 0 {
				t.Error("too soon, or not at all")
			}
		}},
		{"estimates", observe.Estimates, func(t *testing.T, c *Controller) {
			for i := range classesMost + 1 {
				c.learn(fmt.Sprint("class-", i), 1, 1)
			}
			if len(c.bias) != classesMost {
				t.Errorf("%d classes are learnt", len(c.bias))
			}
			c.learn("class-0", 1, 1)
			if c.bias["class-0"].count != 2 {
				t.Error("a class that is known is not learnt on")
			}
		}},
		{"estimates that are told", observe.Estimates, func(t *testing.T, c *Controller) {
			h := heardTale{}
			for i := range classesMost + 1 {
				h.classes = append(h.classes, &peer.ClassTale{Class: fmt.Sprint("class-", i), Ratio: 1, Count: 3})
			}
			if c.following.recollect(c.parts[0], &h, time.Now()); len(c.bias) != classesMost {
				t.Errorf("%d classes are known", len(c.bias))
			}
		}},
		{"callers", observe.Callers, func(t *testing.T, c *Controller) {
			must(c.Identify(Identities{}))
			for i := range missLimit + 1 {
				c.guard.misses.Add(fmt.Sprint("person/", i), nil)
			}
			if n := c.guard.misses.Len(); n != missLimit {
				t.Errorf("%d callers are counted for", n)
			}
		}},
		{"polls", observe.WaitingPolls, func(_ *testing.T, c *Controller) { c.store.PollsFull() }},
		{"connections of peers", observe.PeerConnections, func(_ *testing.T, c *Controller) { c.PeersFull() }},
		{"connections of workers and users", observe.Connections, func(_ *testing.T, c *Controller) { c.UsersFull() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log bytes.Buffer
			c, _ := owner(t)
			c.Observe()
			c.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelWarn}))
			tc.meet(t, c)
			wantMet(t, c, tc.bound)
			c.boundMet(tc.bound, 1)
			if n := strings.Count(log.String(), "bound="+tc.bound.String()); n != 1 {
				t.Errorf("said %d times:\n%s", n, log.String())
			}
		})
	}
}

// hears hands a controller what a part's owner tells its standby.
func hears(t *testing.T, c *Controller, tale *peer.Tale) {
	t.Helper()
	raw, err := proto.Marshal(tale)
	must(err)
	stop := serveCalls(c)
	resp := c.following.hearTale(nil, raw)
	stop()
	if resp.Status != 200 {
		t.Fatalf("status %d, %s", resp.Status, resp.Body)
	}
}

// The bounds that are derived from the settings: never below what they were fixed at, and
// enough for a large fleet.
func TestBoundsFollowTheSettings(t *testing.T) {
	next := 400.0
	for _, tc := range []struct {
		name                         string
		limits                       settings.Limits
		state                        settings.State
		cancelS                      time.Duration
		peerBody, carried, cancelled int
	}{
		{"a small deployment", settings.Limits{MemMB: 20}, settings.State{WriteRPS: 10}, 25 * time.Second, 1 << 20, 768 << 10, 500},
		{"70 MB", settings.Limits{MemMB: 70}, settings.State{WriteRPS: 25}, 43 * time.Second, 1 << 20, 2_293_760, 1100},
		{"a large deployment", settings.Limits{MemMB: 322}, settings.State{WriteRPS: 90}, 43 * time.Second, 2 << 20, 10_551_296, 3960},
		{"a higher limit is announced", settings.Limits{MemMB: 322}, settings.State{WriteRPS: 90, Next: settings.NextState{WriteRPS: &next}}, 43 * time.Second, 2 << 20, 10_551_296, 17_600},
	} {
		var n cancellationNotices
		n.limit(tc.cancelS, tc.state)
		if body, carried := MaxPeerBody(tc.limits), carriedMost(tc.limits); body != tc.peerBody || carried != tc.carried || n.most != tc.cancelled {
			t.Errorf("%s: %d, %d, %d", tc.name, body, carried, n.most)
		}
	}
	for machines, want := range map[int]int{0: 200, 800: 200, 4000: 1000} {
		if got := demandsMost(machines); got != want {
			t.Errorf("%d demands of %d machines", got, machines)
		}
	}
}
