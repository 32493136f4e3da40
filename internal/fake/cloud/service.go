// Package cloud is a fake of the cloud API that PROTOCOL describes: a catalog of machine
// types, idempotent creation and deletion of machines, and a machine list that lags behind.
// The caller supplies the functions that boot and stop machines.
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
	maxPageSize        = 500
	maxDeletedMachines = 100 // per request
	maxCreatedMachines = 50  // per request
)

// Machine is a machine that exists in the cloud.
type Machine struct {
	Type, Zone string
	Spot       bool
	CreatedAt  time.Time
	Addr       string
	Up         bool // set by the caller once the machine has booted
}

// Service is the cloud API. Callers must hold the lock to use its fields.
type Service struct {
	lock sync.Locker

	Types []protocol.MachineType
	// Capacity bounds the number of machines.
	Capacity int
	// CapacityByType bounds the number of machines of the types that it contains.
	CapacityByType map[string]int
	NamePrefix     string // prefix of machine names
	// ListLag is the time for which a created machine is missing from the machine list.
	ListLag time.Duration
	// Unavailable simulates an outage: every request fails.
	Unavailable bool
	Machines    map[string]*Machine // by name
	// CreatedTotal counts all machines created so far, including those deleted since.
	CreatedTotal     int
	nextNumber       int                 // number in the next machine's name
	createdByRequest map[string][]string // machine names by request ID

	// Boot boots a created machine, Stop stops a machine that is deleted. Both are called
	// with the lock held.
	Boot func(name string, m *Machine)
	Stop func(name string)
}

// New creates a cloud without machines. The lock guards its fields.
func New(lock sync.Locker) *Service {
	return &Service{lock: lock, NamePrefix: "m", Machines: map[string]*Machine{}, createdByRequest: map[string][]string{}}
}

// newResponse returns a response with the encoded body.
func newResponse(status int, body any) *transport.Response {
	return &transport.Response{Status: status, Body: protocol.Encode(body)}
}

// badRequest returns the response to an invalid request.
func badRequest(reason string) *transport.Response {
	return newResponse(http.StatusBadRequest, protocol.Problem{Error: reason})
}

// Serve handles a request.
func (s *Service) Serve(method, path string, query url.Values, body []byte) *transport.Response {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.Unavailable {
		return newResponse(http.StatusServiceUnavailable, protocol.Problem{Error: "trouble"})
	}
	switch {
	case path == "/catalog":
		return newResponse(http.StatusOK, protocol.Catalog{Types: s.Types})
	case path == "/machines/delete":
		return s.deleteMachines(body)
	case path == "/machines" && method == http.MethodGet:
		return s.listMachines(query)
	case path == "/machines":
		return s.createMachines(body)
	}
	return badRequest("no such path")
}

// deleteMachines stops and deletes machines. Unknown names are ignored.
func (s *Service) deleteMachines(body []byte) *transport.Response {
	var names protocol.MachineNames
	if err := protocol.Decode(body, &names); err != nil || len(names.Machines) > maxDeletedMachines {
		return badRequest("not a list of at most 100 names")
	}
	for _, name := range names.Machines {
		if s.Machines[name] != nil {
			s.Stop(name)
			delete(s.Machines, name)
		}
	}
	return newResponse(http.StatusOK, map[string]any{})
}

// listMachines returns a page of the machines that were created at least ListLag ago, sorted by
// name.
func (s *Service) listMachines(query url.Values) *transport.Response {
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxPageSize {
		page = maxPageSize
	}
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for name, machine := range s.Machines {
		age := time.Since(machine.CreatedAt)
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
	return newResponse(http.StatusOK, list)
}

// hasCapacity reports whether another machine of a type can be created.
func (s *Service) hasCapacity(machineType string) bool {
	existing := 0
	for _, machine := range s.Machines {
		if machine.Type == machineType {
			existing++
		}
	}
	limit, bounded := s.CapacityByType[machineType]
	return len(s.Machines) < s.Capacity && (!bounded || existing < limit)
}

// createMachines creates the requested number of machines, or fewer if the capacity does not
// suffice. A repeated request returns the machines of the first one.
func (s *Service) createMachines(body []byte) *transport.Response {
	var req protocol.CreateMachinesRequest
	if err := protocol.Decode(body, &req); err != nil || req.Request == "" || req.Count < 1 || req.Count > maxCreatedMachines {
		return badRequest("not a rental")
	}
	if names, ok := s.createdByRequest[req.Request]; ok {
		return newResponse(http.StatusOK, protocol.MachineNames{Machines: names})
	}
	i := slices.IndexFunc(s.Types, func(t protocol.MachineType) bool { return t.Name == req.Type })
	if i < 0 || !slices.Contains(s.Types[i].Zones, req.Zone) {
		return badRequest("no such type or zone")
	}
	var names []string
	for len(names) < req.Count && s.hasCapacity(req.Type) {
		name := fmt.Sprintf("%s-%06d", s.NamePrefix, s.nextNumber)
		s.nextNumber++
		s.CreatedTotal++
		machine := &Machine{Type: req.Type, Zone: req.Zone, Spot: req.Spot, CreatedAt: time.Now()}
		s.Machines[name] = machine
		names = append(names, name)
		s.Boot(name, machine)
	}
	if len(names) == 0 {
		return newResponse(http.StatusServiceUnavailable, protocol.Problem{Error: "no capacity"})
	}
	s.createdByRequest[req.Request] = names
	return newResponse(http.StatusOK, protocol.MachineNames{Machines: names})
}
