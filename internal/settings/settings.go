// Package settings reads and checks the platform's settings file (JSON) and the operators' own,
// which is optional (YAML). Neither changes while a process runs.
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
	// Label identifies the controller in the cluster; Zone is where it runs.
	Label string `json:"label"`
	Zone  string `json:"zone"`
	// ServeOn is the address (HOST:PORT) for users and agents, ClusterListen that for other
	// controllers.
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

// Services are the addresses (HOST:PORT) of the cloud and the state store.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Params describes the deployment.
type Params struct {
	// Count is how many controllers and partitions there are.
	Count         int              `json:"count"`
	Zones         []string         `json:"zones"`
	Teams         []Team           `json:"teams"`
	Objectives    []Objective      `json:"objectives"`
	Workers       AgentTimes       `json:"workers"`
	State         StateStoreLimits `json:"state"`
	Cloud         CloudLimits      `json:"cloud"`
	MachineLimits ProcessLimits    `json:"machine_limits"`
	// TimeBoundMS is by how much clocks may differ, in milliseconds.
	TimeBoundMS float64 `json:"time_bound_ms"`
}

// Team is a team with its guarantee and its limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective of the users.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
	WithinS float64 `json:"within_s"`
}

// AgentTimes are the times that the agents keep to, in seconds: the interval of heartbeats, the
// machine lease, and for how long a task may outlive its job's cancellation.
type AgentTimes struct {
	ReportS float64 `json:"report_s"`
	LeaseS  float64 `json:"lease_s"`
	CancelS float64 `json:"cancel_s"`
}

// StateStoreLimits are the limits of the state store: requests and writes a second, the size of a value, and
// the operations of a transaction.
type StateStoreLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next are announced limits, which hold from a moment on that is not known.
	Next AnnouncedLimits `json:"next"`
}

// AnnouncedLimits are announced limits of the state store; nil: the limit stays as it is.
type AnnouncedLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lower returns, for each limit, the lower of the present and the announced one, so that it holds
// before and after the change.
func (s StateStoreLimits) Lower() StateStoreLimits {
	return StateStoreLimits{
		RPS:      lowerLimit(s.RPS, s.Next.RPS),
		WriteRPS: lowerLimit(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  lowerLimit(s.ValueKB, s.Next.ValueKB),
		TxnOps:   lowerLimit(s.TxnOps, s.Next.TxnOps),
	}
}

// lowerLimit is the lower of a limit and the announced one, nil: none is announced.
func lowerLimit[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// CloudLimits are the limits of the cloud's interface: requests a second, and by how many seconds its
// list of machines lags behind.
type CloudLimits struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// ProcessLimits are the resources of one controller process: the fraction of a core, the memory, and the
// open sockets.
type ProcessLimits struct {
	CoreShare float64 `json:"core_share"`
	MemMB     float64 `json:"mem_mb"`
	Sockets   int     `json:"sockets"`
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the platform's settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse reads and checks settings; unknown fields are ignored.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, fmt.Errorf("settings: %s: wrong type, %s given", wrongType.Field, wrongType.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}
