// Package settings reads and validates the platform's settings file (JSON) and the optional settings
// file of the operators (YAML). Settings are read at startup and do not change while a process runs.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// Settings is the platform's configuration of a controller.
type Settings struct {
	// Label identifies the controller in the cluster. Zone is the zone in which it runs.
	Label string `json:"label"`
	Zone  string `json:"zone"`
	// ServeOn is the listen address (HOST:PORT) for users and agents, ClusterListen the one for
	// other controllers.
	ServeOn       string   `json:"serve_on"`
	ClusterListen string   `json:"cluster_listen"`
	Others        []Peer   `json:"others"`
	Services      Services `json:"services"`
	Params        Params   `json:"params"`
}

// Peer is another controller.
type Peer struct {
	Label    string `json:"label"`
	Zone     string `json:"zone"`
	PeerAddr string `json:"peer_addr"`
}

// Services has the addresses (HOST:PORT) of the cloud and of the state store.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Params describes the deployment.
type Params struct {
	// ControllerCount is the number of controllers, which is also the number of partitions.
	ControllerCount int              `json:"count"`
	Zones           []string         `json:"zones"`
	Teams           []Team           `json:"teams"`
	Objectives      []Objective      `json:"objectives"`
	AgentTimes      AgentTimes       `json:"workers"`
	State           StateStoreLimits `json:"state"`
	Cloud           CloudLimits      `json:"cloud"`
	ProcessLimits   ProcessLimits    `json:"machine_limits"`
	// TimeBoundMS is the maximum difference between clocks, in milliseconds.
	TimeBoundMS float64 `json:"time_bound_ms"`
}

// Team has the quotas of a team: the guarantees CPUs and GPUs, and the limits CPUsMax and GPUsMax.
// 0 means no guarantee or no limit.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
	WithinS float64 `json:"within_s"`
}

// AgentTimes has the timing of agents, in seconds: the heartbeat interval, the duration of a
// machine lease, and the maximum time for which a task may keep running after its job is cancelled.
type AgentTimes struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	CancelS    float64 `json:"cancel_s"`
}

// StateStoreLimits has the limits of the state store: requests and writes per second, the size of a
// value, and the operations in a transaction.
type StateStoreLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next has the announced limits. They take effect at an unknown time.
	Next AnnouncedLimits `json:"next"`
}

// AnnouncedLimits has future limits of the state store. A limit that is nil does not change.
type AnnouncedLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lower returns the lower of the present and the announced value of each limit, which is safe both
// before and after the change.
func (s StateStoreLimits) Lower() StateStoreLimits {
	return StateStoreLimits{
		RPS:      lowerLimit(s.RPS, s.Next.RPS),
		WriteRPS: lowerLimit(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  lowerLimit(s.ValueKB, s.Next.ValueKB),
		TxnOps:   lowerLimit(s.TxnOps, s.Next.TxnOps),
	}
}

// lowerLimit returns the lower of a limit and the announced one, which is nil if there is none.
func lowerLimit[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// CloudLimits has the limits of the cloud's API: requests per second, and the lag of its list of
// machines in seconds.
type CloudLimits struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// ProcessLimits has the resource limits of a controller process: a fraction of a core, memory, and
// open sockets.
type ProcessLimits struct {
	CoreShare float64 `json:"core_share"`
	MemMB     float64 `json:"mem_mb"`
	Sockets   int     `json:"sockets"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates the platform's settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and validates the platform's settings. Unknown fields are ignored.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, fmt.Errorf("settings: %s: unexpected JSON %s", wrongType.Field, wrongType.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}
