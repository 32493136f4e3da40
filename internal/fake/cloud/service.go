// Package cloud is a fake of the cloud that PROTOCOL describes: a catalog, rentals that are
// idempotent by request name, deletions, and a machine list that lags. It boots and stops
// machines through functions that it is given and does not know what they run.
package cloud

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Limits of the cloud's API.
const (
	maxPage      = 500
	maxDeletions = 100 // in one request
	maxRentals   = 50  // in one request
)

// Machine is a rented machine.
type Machine struct {
	Type, Zone string
	Spot       bool
	RentedAt   time.Time // when it was rented
	Addr       string
	Up         bool
}

// Service is the cloud. Callers that use its fields hold the lock.
type Service struct {
	lock sync.Locker

	Types []protocol.MachineType
	// Capacity bounds all machines, ByType those of the types that it names.
	Capacity int
	ByType   map[string]int
	Prefix   string // of the machines' names
	// ListLag is how far the machine list is behind.
	ListLag time.Duration
	// Unavailable simulates an outage: every request fails.
	Unavailable bool
	Machines    map[string]*Machine // by name
	// Rented counts machines rented so far.
	Rented   int
	next     int
	requests map[string][]string // machine names, by rental request

	// Boot and Stop are called with the lock held.
	Boot func(name string, m *Machine)
	Stop func(name string)
}

// New creates a cloud without machines. The lock guards its state.
func New(lock sync.Locker) *Service {
	return &Service{lock: lock, Prefix: "m", Machines: map[string]*Machine{}, requests: map[string][]string{}}
}

// answer returns a response with an encoded body.
func answer(status int, body any) *transport.Response {
	return &transport.Response{Status: status, Body: protocol.Encode(body)}
}

// malformed returns the response to a request that is not valid.
func malformed(reason string) *transport.Response {
	return answer(http.StatusBadRequest, protocol.Problem{Error: reason})
}

// Serve answers a request.
func (s *Service) Serve(method, path string, query url.Values, body []byte) *transport.Response {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.Unavailable {
		return answer(http.StatusServiceUnavailable, protocol.Problem{Error: "trouble"})
	}
	switch {
	case path == "/catalog":
		return answer(http.StatusOK, protocol.Catalog{Types: s.Types})
	case path == "/machines/delete":
		return s.delete(body)
	case path == "/machines" && method == http.MethodGet:
		return s.list(query)
	case path == "/machines":
		return s.rent(body)
	}
	return malformed("no such path")
}

// delete stops and deletes machines. Unknown names are ignored.
func (s *Service) delete(body []byte) *transport.Response {
	var names protocol.MachineNames
	if err := protocol.Decode(body, &names); err != nil || len(names.Machines) > maxDeletions {
		return malformed("not a list of at most 100 names")
	}
	for _, name := range names.Machines {
		if s.Machines[name] != nil {
			s.Stop(name)
			delete(s.Machines, name)
		}
	}
	return answer(http.StatusOK, map[string]any{})
}

// list returns a page of the machines that are older than the lag, by name.
func (s *Service) list(query url.Values) *transport.Response {
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxPage {
		page = maxPage
	}
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for name, machine := range s.Machines {
		age := time.Since(machine.RentedAt)
		if name <= query.Get("after") || age < s.ListLag {
			continue
		}
		state := protocol.MachineStarting
		if machine.Up {
			state = protocol.MachineRunning
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{
			Name:  name,
			Addr:  machine.Addr,
			Type:  machine.Type,
			Zone:  machine.Zone,
			Spot:  machine.Spot,
			State: state,
			AgeS:  (age - s.ListLag).Seconds(),
		})
	}
	slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return cmp.Compare(a.Name, b.Name) })
	if len(list.Machines) > page {
		list.Machines, list.More = list.Machines[:page], true
	}
	return answer(http.StatusOK, list)
}

// hasCapacity reports whether another machine of a type can be rented.
func (s *Service) hasCapacity(machineType string) bool {
	rented := 0
	for _, machine := range s.Machines {
		if machine.Type == machineType {
			rented++
		}
	}
	limit, bounded := s.ByType[machineType]
	return len(s.Machines) < s.Capacity && (!bounded || rented < limit)
}

// rent rents as many of the machines asked for as there is capacity for. A repeated
// request gets the machines of the first.
func (s *Service) rent(body []byte) *transport.Response {
	var rental protocol.CreateMachinesRequest
	if err := protocol.Decode(body, &rental); err != nil || rental.Request == "" || rental.Count < 1 || rental.Count > maxRentals {
		return malformed("not a rental")
	}
	if names, ok := s.requests[rental.Request]; ok {
		return answer(http.StatusOK, protocol.MachineNames{Machines: names})
	}
	i := slices.IndexFunc(s.Types, func(t protocol.MachineType) bool { return t.Name == rental.Type })
	if i < 0 || !slices.Contains(s.Types[i].ZonesOffered, rental.Zone) {
		return malformed("no such type or zone")
	}
	var names []string
	for len(names) < rental.Count && s.hasCapacity(rental.Type) {
		name := fmt.Sprintf("%s-%06d", s.Prefix, s.next)
		s.next++
		s.Rented++
		machine := &Machine{Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot, RentedAt: time.Now()}
		s.Machines[name] = machine
		names = append(names, name)
		s.Boot(name, machine)
	}
	if len(names) == 0 {
		return answer(http.StatusServiceUnavailable, protocol.Problem{Error: "no capacity"})
	}
	s.requests[rental.Request] = names
	return answer(http.StatusOK, protocol.MachineNames{Machines: names})
}
