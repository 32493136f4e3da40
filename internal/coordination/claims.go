package coordination

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/floor"
	"micaspindle/internal/coordination/shares"
	"micaspindle/internal/protocol"
)

// answerBound is for how long a controller goes on answering its workers after the
// last moment up to which it was informed, so that their tasks survive an outage of the
// state service, yet one that is withdrawn elsewhere is gone within cancel_s (12, 42).
func (c *Controller) answerBound() time.Duration {
	return max(0, c.cancelS-c.leaseS-2*margin)
}

// informed is the moment up to which this controller provably knows every withdrawal
// that any user was told of, and held its claims. A renewal alone does not show the
// first: it may come through while the watch brings nothing (42).
func (c *Controller) informed() time.Time {
	if c.fresh.Before(c.renewed) {
		return c.fresh
	}
	return c.renewed
}

// entitled says whether the controller may answer the workers of a part.
func (c *Controller) entitled(p *part, now time.Time) bool {
	return p.mine && now.Sub(c.informed()) < c.answerBound()
}

// claimEvery is how often a controller looks whether there is something to
// claim, so that an orphan waits for its pause and not for a renewal.
const claimEvery = 250 * time.Millisecond

// renewDuty keeps the lease that all claims of this process hang on, and
// claims what it should.
func (c *Controller) renewDuty() {
	var next time.Time
	for {
		if now := time.Now(); !now.Before(next) {
			next = now.Add(c.op.ClaimTTL / 3)
			if !c.renew() {
				next = now // a refused renewal costs the claims if a third of their time goes by each time
			}
		}
		c.claimWishes()
		select {
		case <-time.After(claimEvery):
		case <-c.claimKick:
		case <-c.ctx.Done():
			return
		}
	}
}

// renew says whether the state service took the request; if not, it is repeated soon.
func (c *Controller) renew() bool {
	var lease uint64
	if !c.do(func() { lease = c.lease }) {
		return true
	}
	sent := time.Now()
	var err error
	if lease == 0 {
		lease, err = c.store.Grant(c.ctx, c.op.ClaimTTL)
	} else {
		err = c.store.Touch(c.ctx, lease, time.Second)
	}
	c.do(func() {
		switch {
		case errors.Is(err, bookkeeping.ErrNotFound):
			c.loseAll("the lease ended")
		case err != nil:
			c.log.Debug("renewal failed", "reason", err)
		default:
			c.lease, c.renewed = lease, sent
		}
	})
	return !errors.Is(err, bookkeeping.ErrRefused)
}

// claimWishes claims what this controller wants, while its lease is alive.
func (c *Controller) claimWishes() {
	type wish struct {
		key     string
		version uint64
	}
	var wishes []wish
	var lease uint64
	c.do(func() {
		now, handed := time.Now(), false
		if lease = c.lease; lease == 0 || now.Sub(c.renewed) > c.op.ClaimTTL/2 {
			return
		}
		for _, p := range c.parts {
			if !handed && c.following.handsBack(p, now) {
				handed = true // one at a time: each goes into the record of this life
				version := p.version
				c.lose(p, "handed back")
				p.claimed = now
				txn := c.relinquish([]bookkeeping.Release{{Part: p.index, Claim: version}}, 0)
				c.duty.Go(func() { c.releaseClaims(c.ctx, txn) })
				continue
			}
			if c.following.wantsPart(p, now) {
				wishes = append(wishes, wish{bookkeeping.ClaimKey(p.index), p.version})
			}
		}
		if c.following.wantsLead(now) {
			wishes = append(wishes, wish{bookkeeping.LeaderKey, c.leader.version})
		}
	})
	if lease == 0 || !c.announce(lease) {
		return
	}
	for _, w := range wishes {
		c.claim(w.key, w.version, lease)
	}
}

// claim tries to take a claim that is free or held by this controller's former
// life. An unanswered attempt shows in the watch, where the nonce tells it.
func (s *succession) claim(key string, version, lease uint64) {
	c := s.c
	value := bookkeeping.Encode(bookkeeping.Claim{Owner: c.set.Label, Nonce: c.nonce})
	rev, err := c.store.CommitClaim(c.ctx, &protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Change{{Put: key, Value: value, Lease: lease}},
	})
	if errors.Is(err, bookkeeping.ErrLeaseGone) {
		c.do(func() { c.loseAll("the lease ended") })
		return
	}
	if err != nil {
		c.log.Debug("claim failed", "key", key, "reason", err)
		return
	}
	c.do(func() { c.applyEvent(protocol.Event{Put: key, Value: value, Version: rev}) })
}

// settleIn is how long a controller must have been heard, and a part have had
// its owner, before the part goes back: a roll of restarts must not move it
// twice.
const settleIn = 15 * time.Second

// releaseTime is how long the end of a claim may take to show: longer than a
// request, so that a part is not claimed again while its release is on its way.
const releaseTime = 4 * time.Second

// releaseClaims ends claims that this controller has stopped acting under.
// Only an owner that has stopped may do so: were the claim replaced while
// it still answers workers, its answers would outlast the bound that the next
// owner counts on (8, 12). If the end goes unrecorded, the part is claimed
// again like one of a former life.
func (s *succession) releaseClaims(ctx context.Context, txn *protocol.Transaction) bool {
	c := s.c
	rev, err := c.store.CommitClaim(ctx, txn)
	if err != nil {
		c.log.Info("claims not released", "reason", err)
		return false
	}
	c.do(func() {
		for _, ch := range txn.Then {
			c.applyEvent(protocol.Event{Put: ch.Put, Delete: ch.Delete, Value: ch.Value, Version: rev})
		}
	})
	return true
}

// applyClaim follows who owns a part.
func (c *Controller) applyClaim(p *part, e protocol.Event, now time.Time) {
	if e.Version < p.version || e.Put != "" && e.Version == p.version {
		return
	}
	if p.version != 0 {
		c.formerly(p, now)
	}
	if e.Delete != "" {
		p.last, p.owner, p.nonce, p.version, p.orphan = p.owner, "", "", 0, now
		c.lose(p, "the claim ended")
		nudge(c.claimKick)
		return
	}
	var claim bookkeeping.Claim
	if err := bookkeeping.Decode(e.Value, &claim); err != nil {
		c.log.Error("bad claim record", "part", p.index, "reason", err)
		return
	}
	c.lose(p, "the claim changed hands")
	p.owner, p.nonce, p.version = claim.Owner, claim.Nonce, e.Version
	if claim.Owner == c.set.Label && claim.Nonce == c.nonce {
		p.mine, p.ready, p.claimed = true, false, now
		c.log.Info("part claimed", "part", p.index, "token", p.version)
		c.duty.Go(func() { c.following.rebuild(p, e.Version) })
	}
}

// lose stops acting for a part.
func (c *Controller) lose(p *part, reason string) {
	if !p.mine {
		return
	}
	c.log.Info("part lost", "part", p.index, "reason", reason)
	p.mine, p.ready, p.floor = false, false, floorState{}
	p.lent, p.ledger = p.ledger.Latest(), shares.Ledger{}
	c.clearPart(p)
}

func (c *Controller) clearPart(p *part) {
	p.bare = true
	clear(p.usage)
	for id, j := range c.jobs {
		if j.part != p.index {
			continue
		}
		if j.disown(); c.finals[id] != "" {
			delete(c.jobs, id)
		}
	}
	for _, m := range c.machines {
		if m.rec.Part == p.index {
			m.reset()
		}
	}
}

// reset forgets what only the machine's owner may believe.
func (m *machine) reset() {
	if len(m.attempts) > 0 || len(m.foreign) > 0 {
		m.attempts, m.foreign = map[string]*attempt{}, map[string]protocol.TaskReport{}
	}
	m.fenced, m.lost, m.moving, m.heard, m.raiseBy = false, false, false, false, time.Time{}
	m.retiring, m.keptFor, m.noted = time.Time{}, floor.None, 0
	m.resources()
}

func (c *Controller) loseAll(reason string) {
	c.lease = 0
	for _, p := range c.parts {
		c.lose(p, reason)
	}
	c.dropLead(reason)
}

// checkClaims gives parts up that this controller can't serve: when none of
// its workers has been heard for several report periods while other
// controllers hear them, it is cut off from the workers and must let go (11).
func (s *succession) checkClaims(now time.Time) {
	c := s.c
	silence := max(3*c.reportS, 4*time.Second)
	for _, ps := range c.peers {
		if !ps.recent(now) {
			continue
		}
		for _, name := range ps.summary.Strayed {
			if m := c.machines[name]; m != nil && m.strayedSince.IsZero() {
				m.strayedSince = now
			}
		}
	}
	var machines, silent int
	strayed := false
	for _, m := range c.machines {
		p := c.parts[m.rec.Part]
		// A worker that comes and can't be answered, in an outage say, reaches this
		// controller all the same.
		heard := m.lastHeard
		if m.cameHere.After(heard) {
			heard = m.cameHere
		}
		if !p.mine || heard.After(m.strayedSince) {
			m.strayedSince = time.Time{}
		}
		if !p.mine || now.Sub(p.claimed) < silence {
			continue
		}
		machines++
		if now.Sub(heard) > silence {
			silent++
		}
		// A worker that was just sent home needs a moment to get here.
		strayed = strayed || !m.strayedSince.IsZero() && now.Sub(m.strayedSince) > silence
	}
	if machines > 0 && silent == machines && strayed {
		c.log.Info("resigning", "reason", "no worker heard while others hear them", "machines", machines)
		c.resigned = now
		lease := c.lease
		c.loseAll("resigned")
		c.duty.Go(func() { c.store.Revoke(c.ctx, lease) })
	}
}
