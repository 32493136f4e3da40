// Package cloud is a model of the cloud of PROTOCOL: a catalog, rentals that
// are repeated by name, deletions, and a list that lags. It boots machines
// through what its owner hands it and knows nothing of what they run.
package cloud

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Machine is a rented machine.
type Machine struct {
	Type, Zone string
	Spot       bool
	Since      time.Time
	Addr       string
	Up         bool
}

// Service is the cloud. Whoever looks into its fields holds the lock.
type Service struct {
	lock sync.Locker

	Types []protocol.MachineType
	// Capacity is how many machines there may be in all, ByType of a type, if it says.
	Capacity int
	ByType   map[string]int
	Prefix   string // of the machines' names
	ListLag  time.Duration
	Out      bool
	Machines map[string]*Machine
	// Rented counts machines rented so far.
	Rented   int
	next     int
	requests map[string][]string

	// Boot and Stop are called with the lock held.
	Boot func(name string, m *Machine)
	Stop func(name string)
}

// New makes a cloud without machines, whose state the lock guards.
func New(lock sync.Locker) *Service {
	return &Service{lock: lock, Prefix: "m", Machines: map[string]*Machine{}, requests: map[string][]string{}}
}

func answer(status int, v any) *transport.Response {
	return &transport.Response{Status: status, Body: protocol.Encode(v)}
}

func malformed(reason string) *transport.Response {
	return answer(400, protocol.Problem{Error: reason})
}

// Serve answers one request.
func (s *Service) Serve(method, path string, q url.Values, body []byte) *transport.Response {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.Out {
		return answer(503, protocol.Problem{Error: "trouble"})
	}
	switch {
	case path == "/catalog":
		return answer(200, protocol.Catalog{Types: s.Types})
	case path == "/machines/delete":
		var names protocol.MachineNames
		if err := protocol.Decode(body, &names); err != nil || len(names.Machines) > 100 {
			return malformed("not a list of at most 100 names")
		}
		for _, name := range names.Machines {
			if s.Machines[name] != nil {
				s.Stop(name)
				delete(s.Machines, name)
			}
		}
		return answer(200, map[string]any{})
	case path == "/machines" && method == "GET":
		return s.list(q)
	case path == "/machines":
		return s.rent(body)
	}
	return malformed("no such path")
}

func (s *Service) list(q url.Values) *transport.Response {
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for name, m := range s.Machines {
		age := time.Since(m.Since)
		if name <= q.Get("after") || age < s.ListLag {
			continue
		}
		state := protocol.MachineStarting
		if m.Up {
			state = protocol.MachineRunning
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{Name: name, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
			Spot: m.Spot, State: state, AgeS: (age - s.ListLag).Seconds()})
	}
	slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return cmp.Compare(a.Name, b.Name) })
	if len(list.Machines) > page {
		list.Machines, list.More = list.Machines[:page], true
	}
	return answer(200, list)
}

// has says whether the cloud has another machine of a type.
func (s *Service) has(typ string) bool {
	n := 0
	for _, m := range s.Machines {
		if m.Type == typ {
			n++
		}
	}
	most, bounded := s.ByType[typ]
	return len(s.Machines) < s.Capacity && (!bounded || n < most)
}

func (s *Service) rent(body []byte) *transport.Response {
	var r protocol.CreateMachinesRequest
	if err := protocol.Decode(body, &r); err != nil || r.Request == "" || r.Count < 1 || r.Count > 50 {
		return malformed("not a rental")
	}
	if names, ok := s.requests[r.Request]; ok {
		return answer(200, protocol.MachineNames{Machines: names})
	}
	i := slices.IndexFunc(s.Types, func(t protocol.MachineType) bool { return t.Name == r.Type })
	if i < 0 || !slices.Contains(s.Types[i].ZonesOffered, r.Zone) {
		return malformed("no such type or zone")
	}
	var names []string
	for len(names) < r.Count && s.has(r.Type) {
		name := fmt.Sprintf("%s-%06d", s.Prefix, s.next)
		s.next++
		s.Rented++
		m := &Machine{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Since: time.Now()}
		s.Machines[name] = m
		names = append(names, name)
		s.Boot(name, m)
	}
	if len(names) == 0 {
		return answer(503, protocol.Problem{Error: "no capacity"})
	}
	s.requests[r.Request] = names
	return answer(200, protocol.MachineNames{Machines: names})
}
