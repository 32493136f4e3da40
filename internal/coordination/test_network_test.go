package coordination

import (
	"context"
	"log/slog"
	"sync"

	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// testNetwork is the network of a controller under test, which a test may replace.
type testNetwork struct{ storage.Requester }

// testNetworks are the networks by controller.
var testNetworks sync.Map

// newTestController makes a controller whose network answers nothing until setNetwork.
func newTestController(ctx context.Context, set *settings.Settings, op settings.Operator) *Controller {
	network := &testNetwork{unresponsiveNetwork{}}
	c := New(ctx, set, op, network, slog.New(slog.DiscardHandler))
	testNetworks.Store(c, network)
	return c
}

// setNetwork replaces the network of a controller that newTestController made.
func setNetwork(c *Controller, network storage.Requester) {
	known, _ := testNetworks.Load(c)
	known.(*testNetwork).Requester = network
}
