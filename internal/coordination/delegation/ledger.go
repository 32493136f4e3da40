package delegation

import "time"

// Ledger is an owner's book of one part: who carries which share, until when it may
// answer, and up to when all that it answered is known. It lives and ends with the
// owner's claim.
type Ledger struct {
	shards [ShardCount]shardGrant
	links  map[string]*link
}

type shardGrant struct {
	by   string
	till time.Time // latest end of any grant of the present carrier
	// doubt is until when a former carrier, or a former life of the present one, may have
	// answered without anybody's telling.
	doubt time.Time
}

// link is what passes between an owner and one of its carriers.
type link struct {
	nonce  string
	serial uint64
	// replied is when the last reply was given, known up to when every answer of the
	// carrier was told.
	replied, known time.Time
	down           time.Time // until when orders go another way
}

// Delegate is who carries a share; "": nobody but the owner.
func (l *Ledger) Delegate(s int) string { return l.shards[s].by }

// Assign gives a share to a carrier, or back to the owner. What the one before was
// granted runs out by itself.
func (l *Ledger) Assign(s int, to string) {
	sh := &l.shards[s]
	if sh.by == to {
		return
	}
	if sh.till.After(sh.doubt) {
		sh.doubt = sh.till
	}
	sh.by, sh.till = to, time.Time{}
}

// ShardsOf lists what a controller carries.
func (l *Ledger) ShardsOf(of string) []int {
	var list []int
	for s := range l.shards {
		if of != "" && l.shards[s].by == of {
			list = append(list, s)
		}
	}
	return list
}

// Renew takes in that a carrier's process asks to go on, having told everything that it
// answered before it asked. after is the serial of the last reply that it had then; most
// bounds the grant. It returns the shares and for how long from the asking the carrier
// may answer, and the reply's serial.
//
// A carrier keeps what it has to tell until a reply comes, and sends one request at a
// time. So if it had the last reply, it asked after that reply was given, and all that
// it answered up to then is in this request or was in one before.
func (l *Ledger) Renew(from, nonce string, after uint64, most time.Duration, now time.Time) (granted []int, d time.Duration, serial uint64) {
	if l.links == nil {
		l.links = map[string]*link{}
	}
	k := l.links[from]
	if k == nil || k.nonce != nonce {
		// A new life: what the former one answered last was told to nobody.
		for s := range l.shards {
			if sh := &l.shards[s]; sh.by == from {
				if sh.till.After(sh.doubt) {
					sh.doubt = sh.till
				}
				sh.till = time.Time{}
			}
		}
		k = &link{nonce: nonce}
		l.links[from] = k
	}
	if k.serial != 0 && after == k.serial && k.replied.After(k.known) {
		k.known = k.replied
	}
	k.serial++
	k.replied = now
	if d = min(GrantDuration, most); d <= 0 {
		return nil, 0, k.serial
	}
	granted = l.ShardsOf(from)
	for _, s := range granted {
		sh := &l.shards[s]
		// By our clock it asked before now; clocks drift a little.
		if till := now.Add(d + d/100); till.After(sh.till) {
			sh.till = till
		}
	}
	return granted, d, k.serial
}

// Active says whether a share's workers should report to its carrier: it has asked of late.
func (l *Ledger) Active(s int, now time.Time) bool {
	k := l.links[l.shards[s].by]
	return k != nil && now.Sub(k.replied) < GrantDuration/2 && l.shards[s].till.After(now)
}

// AnswerBounds says what is known of answers to a machine of a share whose last known answer
// was at last: all answers up to known are, and none was later than answered. The lease
// has run out if it has between the two.
func (l *Ledger) AnswerBounds(s int, last, now time.Time) (known, answered time.Time) {
	sh := &l.shards[s]
	known, answered = now, last
	if sh.doubt.After(answered) {
		answered = sh.doubt
	}
	if sh.by == "" || sh.till.IsZero() {
		return known, answered
	}
	if sh.till.After(now) {
		return l.links[sh.by].known, answered
	}
	if l.links[sh.by].known.Before(sh.till) && sh.till.After(answered) {
		answered = sh.till
	}
	return known, answered
}

// MarkDown notes that a carrier takes no orders; for a while they go straight to the workers.
func (l *Ledger) MarkDown(label string, now time.Time) {
	if k := l.links[label]; k != nil {
		k.down = now.Add(relayRest)
	}
}

// relayRest is for how long a carrier that took no orders is passed over.
const relayRest = 5 * time.Second

// FenceRoute is who will carry a share, even if it has not asked yet; "": nobody, or one that
// takes no orders. It serves orders that only fence, which may go any way.
func (l *Ledger) FenceRoute(s int, now time.Time) string {
	by := l.shards[s].by
	if k := l.links[by]; k != nil && !now.After(k.down) {
		return ""
	}
	return by
}

// CommandRoute is who passes a share's orders on; "": nobody.
func (l *Ledger) CommandRoute(s int, now time.Time) string {
	if !l.Active(s, now) {
		return ""
	}
	if by := l.shards[s].by; now.After(l.links[by].down) {
		return by
	}
	return ""
}

// LatestGrantEnd is the latest moment at which anybody may answer under a grant given here.
func (l *Ledger) LatestGrantEnd() time.Time {
	last := time.Time{}
	for s := range l.shards {
		for _, end := range []time.Time{l.shards[s].till, l.shards[s].doubt} {
			if end.After(last) {
				last = end
			}
		}
	}
	return last
}
