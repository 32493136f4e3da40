package cloudclient

import (
	"errors"
	"fmt"

	"micaspindle/internal/protocol"
)

// Status codes of responses.
const (
	statusOK          = 200
	statusBadRequest  = 400
	statusUnavailable = 503
)

// machinesPageSize is the number of machines requested in one page of the list.
const machinesPageSize = 500

// errEmptyCatalog is returned if the cloud's catalog contains no machine types.
var errEmptyCatalog = errors.New("the cloud's catalog is empty")

// StatusError is a response of the cloud API with a status other than 200.
type StatusError struct {
	Method, Target string
	Status         int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("cloud request %s %s: status %d", e.Method, e.Target, e.Status)
}

// CapacityRefused reports whether err is the cloud's refusal of a request for machines, because the
// cloud has no capacity or does not offer the kind of machine. The cloud would refuse the same
// request again.
func CapacityRefused(err error) bool {
	var answer *StatusError
	return errors.As(err, &answer) && (answer.Status == statusUnavailable || answer.Status == statusBadRequest)
}

// Catalog returns the machine types that the cloud offers, at least one.
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

// Machines returns all machines of the cluster that the cloud lists, by name. The list may be out
// of date.
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

// CreateMachines requests machines and returns the names of those that were created, which may be
// fewer. Repeating a request under the same name creates no further machines.
func (c *Client) CreateMachines(req protocol.CreateMachinesRequest) ([]string, error) {
	var created protocol.MachineNames
	if err := c.request("POST", "/machines", req, &created); err != nil {
		return nil, err
	}
	return created.Machines, nil
}

// DeleteMachines deletes machines. If it returns no error, nothing runs on them any more.
func (c *Client) DeleteMachines(names []string) error {
	return c.request("POST", "/machines/delete", protocol.MachineNames{Machines: names}, nil)
}

// request sends a request and returns a StatusError for any status other than 200.
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
