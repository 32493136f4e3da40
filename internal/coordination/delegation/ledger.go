package delegation

import "time"

// downDuration is for how long a delegate that took no commands is bypassed.
const downDuration = 5 * time.Second

// driftAllowance is the divisor by which a grant is counted longer than it is, since the
// delegate's clock may run slower than the leader's: one percent.
const driftAllowance = 100

// Ledger is a leader's record of the delegations of one partition: which controller has which
// shard, until when it may answer, and up to when all its answers are known. It ends with the
// leader's partition lease.
type Ledger struct {
	shards [ShardCount]shardGrant
	links  map[string]*delegateLink
}

// shardGrant is what the ledger knows of one shard.
type shardGrant struct {
	delegate string
	// until is the latest end of any grant of the present delegate.
	until time.Time
	// unknownUntil is until when a former delegate, or a former incarnation of the present
	// one, may have given answers that the leader will never learn of.
	unknownUntil time.Time
}

// forgetGrants counts the grants so far as those of a former delegate.
func (g *shardGrant) forgetGrants() {
	g.unknownUntil = later(g.unknownUntil, g.until)
	g.until = time.Time{}
}

// delegateLink is the exchange of renewals with one delegate.
type delegateLink struct {
	nonce  string // of the delegate's incarnation
	serial uint64 // of the last reply
	// repliedAt is when the last reply was given. Every answer of the delegate up to
	// knownUntil is known.
	repliedAt, knownUntil time.Time
	downUntil             time.Time // until when commands bypass the delegate
}

// Delegate is which controller has a shard; "": none but the leader.
func (l *Ledger) Delegate(shard int) string { return l.shards[shard].delegate }

// Assign delegates a shard, or gives it back to the leader (""). Grants of the former delegate
// run out by themselves.
func (l *Ledger) Assign(shard int, to string) {
	grant := &l.shards[shard]
	if grant.delegate == to {
		return
	}
	grant.forgetGrants()
	grant.delegate = to
}

// ShardsOf lists the shards that are delegated to a controller.
func (l *Ledger) ShardsOf(delegate string) []int {
	var list []int
	for shard := range l.shards {
		if delegate != "" && l.shards[shard].delegate == delegate {
			list = append(list, shard)
		}
	}
	return list
}

// Renew records a delegate's request to renew its grant; with the request it has sent every
// heartbeat that it answered before. nonce tells its incarnation, after is the serial of the
// last reply that it had then, and longest bounds the grant. Renew returns the shards, for how
// long after its request the delegate may answer, and the reply's serial.
//
// A delegate stores the heartbeats to be sent until a reply comes, and sends one request at a
// time. So if it had the last reply, it sent its request after that reply was given, and all
// that it answered up to then is in this request or was in one before.
func (l *Ledger) Renew(delegate, nonce string, after uint64, longest time.Duration, now time.Time) (granted []int, duration time.Duration, serial uint64) {
	link := l.linkOf(delegate, nonce)
	if link.serial != 0 && after == link.serial {
		link.knownUntil = later(link.knownUntil, link.repliedAt)
	}
	link.serial++
	link.repliedAt = now
	if duration = min(GrantDuration, longest); duration <= 0 {
		return nil, 0, link.serial
	}
	granted = l.ShardsOf(delegate)
	for _, shard := range granted {
		// By the leader's clock the request was sent before now; clocks drift a little.
		until := now.Add(duration + duration/driftAllowance)
		l.shards[shard].until = later(l.shards[shard].until, until)
	}
	return granted, duration, link.serial
}

// linkOf is the link with a delegate's incarnation. A new incarnation begins a new one: what
// the former one answered last was never sent.
func (l *Ledger) linkOf(delegate, nonce string) *delegateLink {
	if link := l.links[delegate]; link != nil && link.nonce == nonce {
		return link
	}
	for shard := range l.shards {
		if grant := &l.shards[shard]; grant.delegate == delegate {
			grant.forgetGrants()
		}
	}
	if l.links == nil {
		l.links = map[string]*delegateLink{}
	}
	link := &delegateLink{nonce: nonce}
	l.links[delegate] = link
	return link
}

// Active says whether a shard's agents should send their heartbeats to its delegate: it has a
// grant and has renewed it of late.
func (l *Ledger) Active(shard int, now time.Time) bool {
	grant := &l.shards[shard]
	link := l.links[grant.delegate]
	return link != nil && now.Sub(link.repliedAt) < GrantDuration/2 && grant.until.After(now)
}

// AnswerBounds bounds the answers that a machine of a shard may have had, if its last known
// one was at lastAnswer: every answer up to known is known here, and none of these was
// later than answered. Its lease has run out if it has between the two.
func (l *Ledger) AnswerBounds(shard int, lastAnswer, now time.Time) (known, answered time.Time) {
	grant := &l.shards[shard]
	answered = later(lastAnswer, grant.unknownUntil)
	if grant.delegate == "" || grant.until.IsZero() {
		return now, answered
	}
	knownUntil := l.links[grant.delegate].knownUntil
	if grant.until.After(now) {
		return knownUntil, answered
	}
	if knownUntil.Before(grant.until) {
		answered = later(answered, grant.until)
	}
	return now, answered
}

// MarkDown records that a delegate takes no commands; for a while they go straight to the
// agents.
func (l *Ledger) MarkDown(delegate string, now time.Time) {
	if link := l.links[delegate]; link != nil {
		link.downUntil = now.Add(downDuration)
	}
}

// FenceRoute is the controller that has a shard, even if it has not asked for its grant yet;
// "": none, or one that takes no commands. It serves commands that only raise the fencing
// token, which may go any way.
func (l *Ledger) FenceRoute(shard int, now time.Time) string {
	delegate := l.shards[shard].delegate
	if link := l.links[delegate]; link != nil && !now.After(link.downUntil) {
		return ""
	}
	return delegate
}

// CommandRoute is the delegate that forwards a shard's commands; "": they go straight to the
// agents.
func (l *Ledger) CommandRoute(shard int, now time.Time) string {
	if !l.Active(shard, now) {
		return ""
	}
	return l.FenceRoute(shard, now)
}

// LatestGrantEnd is the latest moment at which anybody may answer under a grant given here;
// zero: there was no grant.
func (l *Ledger) LatestGrantEnd() time.Time {
	last := time.Time{}
	for shard := range l.shards {
		last = later(last, later(l.shards[shard].until, l.shards[shard].unknownUntil))
	}
	return last
}

// later is the later of two moments.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
