package main

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"micaspindle/internal/admission"
	"micaspindle/internal/reapi"
)

// sharingSettings are the resources that teams share by weight.
type sharingSettings struct {
	// Weights of teams; one that is not named has 1.
	Weights map[string]float64 `yaml:"weights"`
	// Calls and Transfers are the limits of concurrent ones, BytesPerSecond that of the transfer
	// rate; 0: no limit.
	Calls          int     `yaml:"calls"`
	Transfers      int     `yaml:"transfers"`
	BytesPerSecond float64 `yaml:"bytes_per_second"`
	// Queue is how many calls may wait for each of these, Patience for how long.
	Queue    int           `yaml:"queue"`
	Patience time.Duration `yaml:"patience"`
	// Actions is how many actions may wait to be submitted, ActionsClient how many of one client.
	Actions       int `yaml:"actions"`
	ActionsClient int `yaml:"actions_client"`
	// Ahead is how many of a team's actions may wait for a machine in the cluster,
	// AheadFor how long they may wait there at the pace at which they are served; as
	// many as run may in any case. Further ones wait here. 0: without bound.
	Ahead    int           `yaml:"ahead"`
	AheadFor time.Duration `yaml:"ahead_for"`
	// StoreQuota is the part of the store that is divided into quotas.
	StoreQuota float64 `yaml:"store_quota"`
}

// defaultSharing are the limits that a file leaves out.
func defaultSharing() sharingSettings {
	return sharingSettings{
		Calls:         64,
		Transfers:     64,
		Queue:         4096,
		Patience:      10 * time.Second,
		Actions:       10_000,
		ActionsClient: 2000,
		Ahead:         64,
		AheadFor:      time.Second,
		StoreQuota:    0.9,
	}
}

// teams are the teams behind the instances, in order.
func (s *settings) teams() []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Instances)))
}

// limits are those of one shared resource.
func (s *sharingSettings) limits(atOnce int, perSecond float64) admission.Limits {
	return admission.Limits{Concurrency: atOnce, PerSecond: perSecond, MaxWaiting: s.Queue, MaxWait: s.Patience, Weights: s.Weights}
}

// check finds the first value that can't be used.
func (s *sharingSettings) check(teams []string) error {
	for team := range s.Weights {
		if !slices.Contains(teams, team) {
			return fmt.Errorf("weights.%s: no instance has this team", team)
		}
	}
	for name, v := range map[string]int{"calls": s.Calls, "transfers": s.Transfers, "queue": s.Queue, "ahead": s.Ahead} {
		if v < 0 {
			return fmt.Errorf("%s: must not be below 0", name)
		}
	}
	switch {
	case s.Actions < 1:
		return errors.New("actions: must be at least 1")
	case s.ActionsClient < 1 || s.ActionsClient > s.Actions:
		return errors.New("actions_client: must lie between 1 and actions")
	case s.AheadFor < 0:
		return errors.New("ahead_for: must not be below 0")
	case !(s.StoreQuota >= 0 && s.StoreQuota <= 1):
		return errors.New("store_quota: must lie between 0 and 1")
	case s.BytesPerSecond < 0 || math.IsNaN(s.BytesPerSecond) || math.IsInf(s.BytesPerSecond, 0):
		return errors.New("bytes_per_second: must be a number and not below 0")
	}
	l := s.limits(s.Calls, s.BytesPerSecond)
	return l.Check()
}

// quotas divides the store among teams by weight.
func (s *sharingSettings) quotas(bytes int64, teams []string) map[string]int64 {
	sum := 0.0
	for _, t := range teams {
		sum += s.weight(t)
	}
	out := map[string]int64{}
	for _, t := range teams {
		out[t] = int64(float64(bytes) * s.StoreQuota * s.weight(t) / sum)
	}
	return out
}

// weight is that of a team.
func (s *sharingSettings) weight(team string) float64 {
	if w, ok := s.Weights[team]; ok {
		return w
	}
	return 1
}

// open creates the queues and quotas of the shared resources.
func (s *sharingSettings) open(teams []string) (reapi.Shares, error) {
	waiting, err := admission.NewLedger(float64(s.Actions), float64(s.ActionsClient), teams, s.Weights)
	if err != nil {
		return reapi.Shares{}, err
	}
	out := reapi.Shares{Waiting: waiting, Ahead: admission.HandoffLimits{Min: s.Ahead, MaxDuration: s.AheadFor}}
	if s.Calls > 0 {
		out.Calls = admission.New(s.limits(s.Calls, 0))
	}
	if s.Transfers > 0 {
		out.Transfers = admission.New(s.limits(s.Transfers, 0))
	}
	if s.BytesPerSecond > 0 {
		out.Bytes = admission.New(s.limits(0, s.BytesPerSecond))
	}
	return out, nil
}
