package cloudclient

import (
	"errors"
	"fmt"

	"micaspindle/internal/protocol"
)

// Statuses of answers.
const (
	statusOK          = 200
	statusBadRequest  = 400
	statusUnavailable = 503
)

// machinesPageSize is how many machines are asked for in one page of the list.
const machinesPageSize = 500

// errEmptyCatalog: the cloud answered with a catalog without machine types.
var errEmptyCatalog = errors.New("the cloud's catalog is empty")

// StatusError is an answer of the cloud other than 200.
type StatusError struct {
	Method, Target string
	Status         int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("cloud: %s %s: status %d", e.Method, e.Target, e.Status)
}

// CapacityRefused reports whether an error is the cloud's refusal of a request for machines,
// which repeating would not change: it lacks capacity, or does not offer the kind.
func CapacityRefused(err error) bool {
	var answer *StatusError
	return errors.As(err, &answer) && (answer.Status == statusUnavailable || answer.Status == statusBadRequest)
}

// Catalog gets the machine types that the cloud offers, at least one.
func (c *Client) Catalog() (protocol.Catalog, error) {
	var catalog protocol.Catalog
	if err := c.request("GET", "/catalog", nil, &catalog); err != nil {
		return protocol.Catalog{}, err
	}
	if len(catalog.Types) == 0 {
		return protocol.Catalog{}, errEmptyCatalog
	}
	return catalog, nil
}

// Machines lists all machines of the cluster that the cloud knows, by name. The list lags
// behind.
func (c *Client) Machines() (map[string]protocol.ListedMachine, error) {
	machines := map[string]protocol.ListedMachine{}
	after := ""
	for {
		var page protocol.MachineList
		target := fmt.Sprintf("/machines?after=%s&page=%d", after, machinesPageSize)
		if err := c.request("GET", target, nil, &page); err != nil {
			return nil, err
		}
		for _, machine := range page.Machines {
			machines[machine.Name] = machine
			after = machine.Name
		}
		if !page.More {
			return machines, nil
		}
	}
}

// CreateMachines asks for machines and returns the names of those that the cloud gives, which
// may be fewer. A request that is repeated under its name creates no machine twice.
func (c *Client) CreateMachines(req protocol.CreateMachinesRequest) ([]string, error) {
	var created protocol.MachineNames
	if err := c.request("POST", "/machines", req, &created); err != nil {
		return nil, err
	}
	return created.Machines, nil
}

// DeleteMachines deletes machines. Nothing runs on them once it has returned without an error.
func (c *Client) DeleteMachines(names []string) error {
	return c.request("POST", "/machines/delete", protocol.MachineNames{Machines: names}, nil)
}

// request sends a request; any status but 200 is a StatusError.
func (c *Client) request(method, target string, in, out any) error {
	status, err := c.call(method, target, in, out)
	if err != nil {
		return err
	}
	if status != statusOK {
		return &StatusError{Method: method, Target: target, Status: status}
	}
	return nil
}
