package delegation

import "time"

// downDuration is the time for which commands bypass a delegate that failed to forward one.
const downDuration = 5 * time.Second

// driftDivisor determines the margin that the leader adds to a grant's duration, since the
// delegate's clock may run slower: the duration divided by driftDivisor, or one percent.
const driftDivisor = 100

// Ledger is a leader's record of the delegations of one partition: the delegate of each shard, the
// latest end of the delegate's grants, and the time before which the leader has received all
// heartbeats that the delegate answered. A ledger is valid for one term of the partition lease.
type Ledger struct {
	shards [ShardCount]shardGrant
	links  map[string]*delegateLink
}

// shardGrant is the delegation of one shard.
type shardGrant struct {
	delegate string
	// until is the latest end of any grant to the current delegate.
	until time.Time
	// unknownUntil is the latest time at which a former delegate, or a former incarnation of
	// the current one, may have answered heartbeats that it never forwards to the leader.
	unknownUntil time.Time
}

// supersedeGrants records that the holder of the grants so far is no longer the shard's delegate,
// or that a new incarnation of the delegate has replaced it. The former holder may still answer
// heartbeats until the grants expire.
func (g *shardGrant) supersedeGrants() {
	g.unknownUntil = later(g.unknownUntil, g.until)
	g.until = time.Time{}
}

// delegateLink is the state of the grant renewals with one delegate.
type delegateLink struct {
	nonce  string // identifies the delegate's incarnation
	serial uint64 // serial number of the leader's last reply
	// repliedAt is the time of the leader's last reply to a renewal request. The leader has
	// received all heartbeats that the delegate answered up to knownUntil.
	repliedAt, knownUntil time.Time
	downUntil             time.Time // time until which commands bypass the delegate
}

// Delegate returns the delegate of a shard, or "" if the leader serves it.
func (l *Ledger) Delegate(shard int) string { return l.shards[shard].delegate }

// Assign delegates a shard, or returns it to the leader if to is "". Grants to the former delegate
// stay valid until they expire.
func (l *Ledger) Assign(shard int, to string) {
	grant := &l.shards[shard]
	if grant.delegate == to {
		return
	}
	grant.supersedeGrants()
	grant.delegate = to
}

// ShardsOf returns the shards that are delegated to a controller.
func (l *Ledger) ShardsOf(delegate string) []int {
	var list []int
	for shard := range l.shards {
		if delegate != "" && l.shards[shard].delegate == delegate {
			list = append(list, shard)
		}
	}
	return list
}

// Renew handles a delegate's request to renew its grant. nonce identifies the delegate's
// incarnation, after is the serial number of the last reply that the delegate has received, and
// longest is the maximum duration of the grant. Renew returns the granted shards, the duration of
// the grant, counted from the time at which the delegate sent the request, and the serial number of
// the reply.
//
// With each request, a delegate forwards the heartbeats that it has answered. It keeps these
// heartbeats until a reply acknowledges them, and has only one request in flight. So a delegate
// that has received the last reply has forwarded all heartbeats that it answered before that reply.
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
		// The delegate counts the duration from the time at which it sent the request,
		// which was before now.
		until := now.Add(duration + duration/driftDivisor)
		l.shards[shard].until = later(l.shards[shard].until, until)
	}
	return granted, duration, link.serial
}

// linkOf returns the link to a delegate's incarnation. For a new incarnation it creates a new link,
// because the former incarnation never forwards the heartbeats that it answered last.
func (l *Ledger) linkOf(delegate, nonce string) *delegateLink {
	if link := l.links[delegate]; link != nil && link.nonce == nonce {
		return link
	}
	for shard := range l.shards {
		if grant := &l.shards[shard]; grant.delegate == delegate {
			grant.supersedeGrants()
		}
	}
	if l.links == nil {
		l.links = map[string]*delegateLink{}
	}
	link := &delegateLink{nonce: nonce}
	l.links[delegate] = link
	return link
}

// Active reports whether a shard's agents should send their heartbeats to the delegate. This
// requires that the delegate's grant is valid and was renewed recently.
func (l *Ledger) Active(shard int, now time.Time) bool {
	grant := &l.shards[shard]
	link := l.links[grant.delegate]
	return link != nil && now.Sub(link.repliedAt) < GrantDuration/2 && grant.until.After(now)
}

// AnswerBounds returns an interval in which no controller answered heartbeats of a machine in a
// shard: none was answered after answered and up to known. lastAnswer is the time of the last
// answer to the machine that is known to the leader. The machine's lease has expired if the
// interval is longer than the lease.
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

// MarkDown records that a delegate failed to forward a command. For a while, commands go directly
// to the agents.
func (l *Ledger) MarkDown(delegate string, now time.Time) {
	if link := l.links[delegate]; link != nil {
		link.downUntil = now.Add(downDuration)
	}
}

// FenceRoute returns the delegate that forwards messages that only raise the fencing token, or ""
// if they go directly to the agents. The delegate needs no grant, since these messages are safe on
// any route.
func (l *Ledger) FenceRoute(shard int, now time.Time) string {
	delegate := l.shards[shard].delegate
	if link := l.links[delegate]; link != nil && !now.After(link.downUntil) {
		return ""
	}
	return delegate
}

// CommandRoute returns the delegate that forwards a shard's commands, or "" if they go directly to
// the agents.
func (l *Ledger) CommandRoute(shard int, now time.Time) string {
	if !l.Active(shard, now) {
		return ""
	}
	return l.FenceRoute(shard, now)
}

// LatestGrantEnd returns the latest time at which a delegate may answer under a grant of this
// ledger, or zero if there was no grant.
func (l *Ledger) LatestGrantEnd() time.Time {
	last := time.Time{}
	for shard := range l.shards {
		last = later(last, later(l.shards[shard].until, l.shards[shard].unknownUntil))
	}
	return last
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
