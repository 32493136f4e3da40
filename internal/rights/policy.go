package rights

import (
	"sync"
	"time"
)

// maxQueues bounds the queues that are remembered; a caller may name any.
const maxQueues = 4096

// Policy is a policy ready for decisions. It does not change, except that it remembers what
// its roles allow on the queues it was asked for, up to maxQueues. Several goroutines may
// use it.
type Policy struct {
	roles       []Role
	roleNumbers map[string]uint16 // indices into roles
	members     map[string]member // by the identity's name

	mu     sync.RWMutex
	queues map[Queue][]Verb // what each role allows on a queue
}

// member is what a policy has of an identity.
type member struct {
	roles []uint16
	// held are the verbs that it holds on any queue.
	held    Verb
	revoked bool
	// tokensFromMS voids tokens that were issued before.
	tokensFromMS int64
}

// holds reports whether the identity holds a verb on any queue at all.
func (m *member) holds(verb Verb) bool { return !m.revoked && m.held&verb != 0 }

// Compile makes a policy of a checked document.
func Compile(document *Document) *Policy {
	p := &Policy{
		roles:       document.Roles,
		roleNumbers: make(map[string]uint16, len(document.Roles)),
		members:     make(map[string]member, len(document.Identities)),
		queues:      map[Queue][]Verb{},
	}
	held := make([]Verb, len(document.Roles))
	for i := range document.Roles {
		role := &document.Roles[i]
		p.roleNumbers[role.Name] = uint16(i)
		for j := range role.Rules {
			held[i] |= role.Rules[j].verbSet()
		}
	}
	for i := range document.Identities {
		id := &document.Identities[i]
		m := member{revoked: id.Revoked, tokensFromMS: id.TokensFromMS}
		for _, name := range id.Roles {
			// A role that is gone allows nothing.
			if number, ok := p.roleNumbers[name]; ok {
				m.roles = append(m.roles, number)
				m.held |= held[number]
			}
		}
		p.members[id.Name] = m
	}
	return p
}

// Known reports whether the policy names an identity that is not revoked.
func (p *Policy) Known(name string) bool {
	m, ok := p.members[name]
	return ok && !m.revoked
}

// Voids reports whether a token of an identity, issued at a time, is void.
func (p *Policy) Voids(name string, issued time.Time) bool {
	return issued.UnixMilli() < p.members[name].tokensFromMS
}

// HoldsAny reports whether an identity holds a verb on any queue at all.
func (p *Policy) HoldsAny(name string, verb Verb) bool {
	m := p.members[name]
	return m.holds(verb)
}

// Allows reports whether an identity holds a verb on a queue.
func (p *Policy) Allows(name string, verb Verb, queue Queue) bool {
	m := p.members[name]
	if !m.holds(verb) {
		return false
	}
	p.mu.RLock()
	allowed, seen := p.queues[queue]
	p.mu.RUnlock()
	if !seen {
		allowed = p.remember(queue)
	}
	for _, role := range m.roles {
		if allowed[role]&verb != 0 {
			return true
		}
	}
	return false
}

// remember works out what each role allows on a queue, and keeps it if there is room.
func (p *Policy) remember(queue Queue) []Verb {
	allowed := make([]Verb, len(p.roles))
	for i := range p.roles {
		for j := range p.roles[i].Rules {
			if rule := &p.roles[i].Rules[j]; rule.covers(queue) {
				allowed[i] |= rule.verbSet()
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queues) < maxQueues {
		p.queues[queue] = allowed
	}
	return allowed
}

// AllowsEverywhere reports whether an identity holds a verb on every queue, by one
// rule with "*" for team and class.
func (p *Policy) AllowsEverywhere(name string, verb Verb) bool {
	m := p.members[name]
	if !m.holds(verb) {
		return false
	}
	for _, role := range m.roles {
		for i := range p.roles[role].Rules {
			if rule := &p.roles[role].Rules[i]; rule.everywhere() && rule.verbSet()&verb != 0 {
				return true
			}
		}
	}
	return false
}

// Administered reports whether anybody is left who may change the policy.
func (p *Policy) Administered() bool {
	for name := range p.members {
		if p.AllowsEverywhere(name, Administer) {
			return true
		}
	}
	return false
}
