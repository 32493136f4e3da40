package rights

import (
	"sync"
	"time"
)

// maxCachedQueues bounds the cache of queues, since callers can request arbitrary queue names.
const maxCachedQueues = 4096

// Policy is a policy document compiled for authorization decisions. It is immutable, apart from a
// bounded cache of the verbs that the roles allow on each queue, and safe for concurrent use.
type Policy struct {
	roles       []Role
	roleIndices map[string]uint16           // index into roles, by role name
	identities  map[string]compiledIdentity // by name

	mu         sync.RWMutex
	queueCache map[Queue][]Verb // verbs that each role allows on a queue, by role index
}

// compiledIdentity is an identity with its roles and their permissions.
type compiledIdentity struct {
	roles []uint16 // indices into Policy.roles
	// anyQueueVerbs are the verbs that the identity holds on at least one queue.
	anyQueueVerbs Verb
	revoked       bool
	// tokensFromMS is Identity.TokensRevokedBeforeMS.
	tokensFromMS int64
}

// holdsAny reports whether the identity holds a verb on at least one queue.
func (id *compiledIdentity) holdsAny(verb Verb) bool {
	return !id.revoked && id.anyQueueVerbs&verb != 0
}

// Compile returns the policy of a document that passed Check.
func Compile(document *Document) *Policy {
	p := &Policy{
		roles:       document.Roles,
		roleIndices: make(map[string]uint16, len(document.Roles)),
		identities:  make(map[string]compiledIdentity, len(document.Identities)),
		queueCache:  map[Queue][]Verb{},
	}
	roleVerbs := make([]Verb, len(document.Roles))
	for i := range document.Roles {
		role := &document.Roles[i]
		p.roleIndices[role.Name] = uint16(i)
		for j := range role.Rules {
			roleVerbs[i] |= role.Rules[j].verbSet()
		}
	}
	for i := range document.Identities {
		id := &document.Identities[i]
		compiled := compiledIdentity{revoked: id.Revoked, tokensFromMS: id.TokensRevokedBeforeMS}
		for _, name := range id.Roles {
			// A role that doesn't exist any more allows nothing.
			if index, ok := p.roleIndices[name]; ok {
				compiled.roles = append(compiled.roles, index)
				compiled.anyQueueVerbs |= roleVerbs[index]
			}
		}
		p.identities[id.Name] = compiled
	}
	return p
}

// IsActive reports whether the policy contains an identity and has not revoked it.
func (p *Policy) IsActive(name string) bool {
	id, ok := p.identities[name]
	return ok && !id.revoked
}

// IsTokenRevoked reports whether a token that was issued to an identity at a time has been revoked.
func (p *Policy) IsTokenRevoked(name string, issued time.Time) bool {
	return issued.UnixMilli() < p.identities[name].tokensFromMS
}

// HoldsAny reports whether an identity holds a verb on at least one queue.
func (p *Policy) HoldsAny(name string, verb Verb) bool {
	id := p.identities[name]
	return id.holdsAny(verb)
}

// Allows reports whether an identity holds a verb on a queue.
func (p *Policy) Allows(name string, verb Verb, queue Queue) bool {
	id := p.identities[name]
	if !id.holdsAny(verb) {
		return false
	}
	p.mu.RLock()
	allowed, cached := p.queueCache[queue]
	p.mu.RUnlock()
	if !cached {
		allowed = p.evaluateQueue(queue)
	}
	for _, role := range id.roles {
		if allowed[role]&verb != 0 {
			return true
		}
	}
	return false
}

// evaluateQueue returns the verbs that each role allows on a queue, and caches them unless the
// cache is full.
func (p *Policy) evaluateQueue(queue Queue) []Verb {
	allowed := make([]Verb, len(p.roles))
	for i := range p.roles {
		for j := range p.roles[i].Rules {
			if rule := &p.roles[i].Rules[j]; rule.matches(queue) {
				allowed[i] |= rule.verbSet()
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queueCache) < maxCachedQueues {
		p.queueCache[queue] = allowed
	}
	return allowed
}

// AllowsEverywhere reports whether an identity holds a verb on every queue, through a rule with "*"
// for both team and class.
func (p *Policy) AllowsEverywhere(name string, verb Verb) bool {
	id := p.identities[name]
	if !id.holdsAny(verb) {
		return false
	}
	for _, role := range id.roles {
		for i := range p.roles[role].Rules {
			if rule := &p.roles[role].Rules[i]; rule.matchesAll() && rule.verbSet()&verb != 0 {
				return true
			}
		}
	}
	return false
}

// HasAdministrator reports whether any identity may change the policy.
func (p *Policy) HasAdministrator() bool {
	for name := range p.identities {
		if p.AllowsEverywhere(name, Administer) {
			return true
		}
	}
	return false
}
