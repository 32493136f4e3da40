package cloudclient

import (
	"context"
	"errors"
	"reflect"
	"testing"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

var errNoAnswer = errors.New("no answer")

// fakeNetwork answers requests with fixed responses, keyed by method and target.
type fakeNetwork map[string]transport.Response

func (n fakeNetwork) Do(_ context.Context, _, method, target string, _ []byte) (*transport.Response, error) {
	resp, found := n[method+" "+target]
	if !found {
		return nil, errNoAnswer
	}
	return &resp, nil
}

func newClient(t *testing.T, network fakeNetwork) *Client {
	set := &settings.Settings{Label: "a"}
	set.Params.Cloud.RPS = 1e6
	return New(&cluster.State{Settings: set}, eventloop.New(t.Context(), "a"), network)
}

func okResponse(body any) transport.Response {
	return transport.Response{Status: statusOK, Body: protocol.Encode(body)}
}

func TestMachinesReadsAllPages(t *testing.T) {
	first, second := protocol.ListedMachine{Name: "m-1", Addr: "x"}, protocol.ListedMachine{Name: "m-2"}
	client := newClient(t, fakeNetwork{
		"GET /machines?after=&page=500":    okResponse(protocol.MachineList{Machines: []protocol.ListedMachine{first}, More: true}),
		"GET /machines?after=m-1&page=500": okResponse(protocol.MachineList{Machines: []protocol.ListedMachine{second}}),
	})
	got, err := client.Machines()
	if want := map[string]protocol.ListedMachine{"m-1": first, "m-2": second}; err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Machines() = %v, %v; want %v", got, err, want)
	}
}

// If a page can't be fetched, the machines on it must not be taken for deleted ones.
func TestMachinesReturnsNoPartialList(t *testing.T) {
	client := newClient(t, fakeNetwork{
		"GET /machines?after=&page=500": okResponse(protocol.MachineList{Machines: []protocol.ListedMachine{{Name: "m-1"}}, More: true}),
	})
	if got, err := client.Machines(); got != nil || !errors.Is(err, errNoAnswer) {
		t.Errorf("Machines() = %v, %v; want no machines and %q", got, err, errNoAnswer)
	}
}

func TestCatalogIsNeverEmpty(t *testing.T) {
	client := newClient(t, fakeNetwork{"GET /catalog": okResponse(protocol.Catalog{})})
	if _, err := client.Catalog(); !errors.Is(err, errEmptyCatalog) {
		t.Errorf("Catalog() with an empty catalog: error %v, want %q", err, errEmptyCatalog)
	}
}

// After any error other than a refusal, the request may have created machines. Only a refusal means
// that it created none and need not be repeated.
func TestCapacityRefused(t *testing.T) {
	for name, c := range map[string]struct {
		network fakeNetwork
		refused bool
	}{
		"no capacity":     {fakeNetwork{"POST /machines": {Status: 503}}, true},
		"not offered":     {fakeNetwork{"POST /machines": {Status: 400}}, true},
		"rate limit":      {fakeNetwork{"POST /machines": {Status: 429}}, false},
		"failed":          {fakeNetwork{"POST /machines": {Status: 500}}, false},
		"no answer":       {fakeNetwork{}, false},
		"unreadable body": {fakeNetwork{"POST /machines": {Status: 200, Body: []byte{0xc1}}}, false},
	} {
		names, err := newClient(t, c.network).CreateMachines(protocol.CreateMachinesRequest{Request: "r-1-1", Count: 2})
		if err == nil || names != nil || CapacityRefused(err) != c.refused {
			t.Errorf("%s: CreateMachines() = %v, %v; want an error with CapacityRefused() = %t", name, names, err, c.refused)
		}
	}
	granted := fakeNetwork{"POST /machines": okResponse(protocol.MachineNames{Machines: []string{"m-1"}})}
	if names, err := newClient(t, granted).CreateMachines(protocol.CreateMachinesRequest{}); err != nil || !reflect.DeepEqual(names, []string{"m-1"}) {
		t.Errorf("CreateMachines() = %v, %v; want [m-1] and no error", names, err)
	}
}
