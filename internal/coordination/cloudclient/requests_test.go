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

// answers is a network on which requests, written as method and target, have fixed answers.
type answers map[string]transport.Response

func (a answers) Do(_ context.Context, _, method, target string, _ []byte) (*transport.Response, error) {
	resp, found := a[method+" "+target]
	if !found {
		return nil, errNoAnswer
	}
	return &resp, nil
}

func newClient(t *testing.T, network answers) *Client {
	set := &settings.Settings{Label: "a"}
	set.Params.Cloud.RPS = 1e6
	return New(&cluster.State{Settings: set}, eventloop.New(t.Context(), "a"), network)
}

func ok(body any) transport.Response {
	return transport.Response{Status: statusOK, Body: protocol.Encode(body)}
}

func TestMachinesReadsAllPages(t *testing.T) {
	first, second := protocol.ListedMachine{Name: "m-1", Addr: "x"}, protocol.ListedMachine{Name: "m-2"}
	client := newClient(t, answers{
		"GET /machines?after=&page=500":    ok(protocol.MachineList{Machines: []protocol.ListedMachine{first}, More: true}),
		"GET /machines?after=m-1&page=500": ok(protocol.MachineList{Machines: []protocol.ListedMachine{second}}),
	})
	got, err := client.Machines()
	if want := map[string]protocol.ListedMachine{"m-1": first, "m-2": second}; err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, %v; want %v", got, err, want)
	}
}

// Half a list would have the other machines taken for unlisted.
func TestMachinesGivesNoHalfList(t *testing.T) {
	client := newClient(t, answers{
		"GET /machines?after=&page=500": ok(protocol.MachineList{Machines: []protocol.ListedMachine{{Name: "m-1"}}, More: true}),
	})
	if got, err := client.Machines(); got != nil || !errors.Is(err, errNoAnswer) {
		t.Errorf("%v, %v", got, err)
	}
}

func TestCatalogIsNeverEmpty(t *testing.T) {
	client := newClient(t, answers{"GET /catalog": ok(protocol.Catalog{})})
	if _, err := client.Catalog(); !errors.Is(err, errEmptyCatalog) {
		t.Error(err)
	}
}

// A request for machines is repeated unless the cloud has refused it: only then is it certain
// that it gives none.
func TestCapacityRefused(t *testing.T) {
	for name, c := range map[string]struct {
		network answers
		refused bool
	}{
		"no capacity":     {answers{"POST /machines": {Status: 503}}, true},
		"not offered":     {answers{"POST /machines": {Status: 400}}, true},
		"rate limit":      {answers{"POST /machines": {Status: 429}}, false},
		"failed":          {answers{"POST /machines": {Status: 500}}, false},
		"no answer":       {answers{}, false},
		"unreadable body": {answers{"POST /machines": {Status: 200, Body: []byte{0xc1}}}, false},
	} {
		names, err := newClient(t, c.network).CreateMachines(protocol.CreateMachinesRequest{Request: "r-1-1", Count: 2})
		if err == nil || names != nil || CapacityRefused(err) != c.refused {
			t.Errorf("%s: %v, %v", name, names, err)
		}
	}
	granted := answers{"POST /machines": ok(protocol.MachineNames{Machines: []string{"m-1"}})}
	if names, err := newClient(t, granted).CreateMachines(protocol.CreateMachinesRequest{}); err != nil || !reflect.DeepEqual(names, []string{"m-1"}) {
		t.Errorf("%v, %v", names, err)
	}
}
