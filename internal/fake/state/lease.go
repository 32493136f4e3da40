package state

import (
	"net/http"
	"strconv"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// lease is a lease with a time to live. The items attached to it are deleted when it ends.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// grantLease creates a lease.
func (s *Service) grantLease(body []byte) *transport.Response {
	var request protocol.LeaseRequest
	ttl := time.Duration(0)
	if protocol.Decode(body, &request) == nil {
		ttl = time.Duration(request.TTLMS) * time.Millisecond
	}
	if ttl < minTTL || ttl > maxTTL {
		return badRequest("ttl_ms must lie between 100 and 600000")
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	return newResponse(http.StatusOK, protocol.Lease{ID: s.nextID})
}

// renewOrRevokeLease renews a lease, or revokes it if the method is DELETE.
func (s *Service) renewOrRevokeLease(method, idText string) *transport.Response {
	id, _ := strconv.ParseUint(idText, 10, 64)
	l := s.leases[id]
	if l == nil {
		return newResponse(http.StatusNotFound, emptyBody{})
	}
	l.expiresAt = time.Now().Add(l.ttl)
	if method == http.MethodDelete {
		l.expiresAt = time.Now()
		s.expireLeases()
	}
	return newResponse(http.StatusOK, emptyBody{})
}

// expireLeases ends the leases whose time to live is over and deletes their items. Each
// deletion has its own revision.
func (s *Service) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.Items {
			if item.Lease == id {
				s.Revision++
				s.deleteItem(key)
			}
		}
		s.notifyWatches()
	}
}
