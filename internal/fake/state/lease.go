package state

import (
	"net/http"
	"strconv"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// lease deletes the items that are attached to it when it expires.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// grant creates a lease.
func (s *Service) grant(body []byte) *transport.Response {
	var request protocol.LeaseRequest
	ttl := time.Duration(0)
	if protocol.Decode(body, &request) == nil {
		ttl = time.Duration(request.TTLMS) * time.Millisecond
	}
	if ttl < minTTL || ttl > maxTTL {
		return malformed("ttl_ms must lie between 100 and 600000")
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	return answer(http.StatusOK, protocol.Lease{ID: s.nextID})
}

// renewOrRevoke renews a lease, or ends it if the method is DELETE.
func (s *Service) renewOrRevoke(method, number string) *transport.Response {
	id, _ := strconv.ParseUint(number, 10, 64)
	l := s.leases[id]
	if l == nil {
		return answer(http.StatusNotFound, emptyBody{})
	}
	l.ends = time.Now().Add(l.ttl)
	if method == http.MethodDelete {
		l.ends = time.Now()
		s.expire()
	}
	return answer(http.StatusOK, emptyBody{})
}

// expire ends the leases whose time is over and deletes their items. Each deletion has a
// revision of its own.
func (s *Service) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
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
