package devcluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
	"golang.org/x/time/rate"

	"micaspindle/internal/settings"
)

// Values of the controllers' settings.
const (
	heartbeatInterval = 500 * time.Millisecond
	machineLease      = 6 * time.Second
	cancelBound       = 24 * time.Second

	cloudRPS        = 6
	stateValueKB    = 16
	stateTxnOps     = 16
	controllerMemMB = 256
	timeBoundMS     = 5
)

// params returns the settings that are the same for all controllers.
func (c *Cluster) params() settings.Params {
	return settings.Params{
		ControllerCount: c.options.Controllers,
		Zones:           zones,
		Teams:           teams,
		AgentTimes: settings.AgentTimes{
			HeartbeatS: heartbeatInterval.Seconds(),
			LeaseS:     machineLease.Seconds(),
			CancelS:    cancelBound.Seconds(),
		},
		State: settings.StateStoreLimits{RPS: c.options.RPS, WriteRPS: c.options.WriteRPS, ValueKB: stateValueKB, TxnOps: stateTxnOps},
		Cloud: settings.CloudLimits{RPS: cloudRPS, ListLagS: c.cloud.ListLag.Seconds()},
		ProcessLimits: settings.ProcessLimits{
			CoreShare: 1,
			MemMB:     controllerMemMB,
			Sockets:   cmp.Or(c.options.Sockets, defaultSockets),
		},
		TimeBoundMS: timeBoundMS,
	}
}

// enforceStateLimits makes the fake state store enforce the limits in the controllers' settings.
func (c *Cluster) enforceStateLimits(limits settings.StateStoreLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.TxnOps, c.state.ValueKB = limits.TxnOps, limits.ValueKB
	c.state.RequestLimiter = rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS))
	c.state.WriteLimiter = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
}

// operatorSettings is the content of a controller's operator settings file.
type operatorSettings struct {
	Operations settings.Operations `yaml:"operations"`
	Identity   *settings.Identity  `yaml:"identity,omitempty"`
}

// writeNodeSettings writes the settings files of a controller.
func (c *Cluster) writeNodeSettings(node *Node, zone string, services settings.Services, params settings.Params) error {
	controller := settings.Settings{
		Label:         node.Label,
		Zone:          zone,
		ServeOn:       node.Addr,
		ClusterListen: node.Peer,
		Services:      services,
		Params:        params,
	}
	for _, other := range c.nodes {
		if other != node {
			controller.Others = append(controller.Others, settings.Peer{Label: other.Label, PeerAddr: other.Peer})
		}
	}
	data, err := json.MarshalIndent(controller, "", "  ")
	if err != nil {
		return fmt.Errorf("devcluster: settings: %w", err)
	}
	if err := os.WriteFile(node.settingsFile, data, 0o600); err != nil {
		return fmt.Errorf("devcluster: settings: %w", err)
	}
	operator := operatorSettings{Operations: settings.Operations{Listen: node.Operations}}
	if identities := c.options.Identities; identities != nil {
		operator.Identity = &identities.settings
	}
	if data, err = yaml.Marshal(operator); err != nil {
		return fmt.Errorf("devcluster: settings: %w", err)
	}
	if err := os.WriteFile(node.operatorFile, data, 0o600); err != nil {
		return fmt.Errorf("devcluster: settings: %w", err)
	}
	return nil
}
