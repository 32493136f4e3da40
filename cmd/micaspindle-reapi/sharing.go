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
	// Weights are the weights of teams; a team without one has weight 1.
	Weights map[string]float64 `yaml:"weights"`
	// Calls and Transfers limit the numbers of concurrent calls and transfers, and BytesPerSecond
	// limits the rate of transfers. 0 means no limit.
	Calls          int     `yaml:"calls"`
	Transfers      int     `yaml:"transfers"`
	BytesPerSecond float64 `yaml:"bytes_per_second"`
	// MaxWaiting is the maximum number of calls that wait for each of these resources, and MaxWait
	// their maximum waiting time.
	MaxWaiting int           `yaml:"queue"`
	MaxWait    time.Duration `yaml:"patience"`
	// MaxActions is the maximum number of actions that wait for submission, and
	// MaxActionsPerClient the maximum number of one client's.
	MaxActions          int `yaml:"actions"`
	MaxActionsPerClient int `yaml:"actions_client"`
	// HandoffMin and HandoffMaxDuration limit the number of a team's actions of one urgency that
	// wait for a machine in the cluster; further actions wait in the front end. The limit is the
	// largest of HandoffMin, the number of running actions, and the number that the cluster
	// completes within HandoffMaxDuration at its current rate. With a HandoffMin of 0 there is no
	// limit.
	HandoffMin         int           `yaml:"ahead"`
	HandoffMaxDuration time.Duration `yaml:"ahead_for"`
	// QuotaFraction is the fraction of the store that is divided into quotas.
	QuotaFraction float64 `yaml:"store_quota"`
}

// defaultSharing returns the default limits, which apply where a file sets none.
func defaultSharing() sharingSettings {
	return sharingSettings{
		Calls:               64,
		Transfers:           64,
		MaxWaiting:          4096,
		MaxWait:             10 * time.Second,
		MaxActions:          10_000,
		MaxActionsPerClient: 2000,
		HandoffMin:          64,
		HandoffMaxDuration:  time.Second,
		QuotaFraction:       0.9,
	}
}

// teams returns the teams that instance names map to, sorted and without duplicates.
func (s *settings) teams() []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Instances)))
}

// limits returns the limits of one shared resource.
func (s *sharingSettings) limits(concurrency int, perSecond float64) admission.Limits {
	return admission.Limits{Concurrency: concurrency, PerSecond: perSecond, MaxWaiting: s.MaxWaiting, MaxWait: s.MaxWait, Weights: s.Weights}
}

// check validates the settings and returns the first error.
func (s *sharingSettings) check(teams []string) error {
	for team := range s.Weights {
		if !slices.Contains(teams, team) {
			return fmt.Errorf("weights.%s: no instance name maps to this team", team)
		}
	}
	for name, v := range map[string]int{"calls": s.Calls, "transfers": s.Transfers, "queue": s.MaxWaiting, "ahead": s.HandoffMin} {
		if v < 0 {
			return fmt.Errorf("%s: must not be below 0", name)
		}
	}
	switch {
	case s.MaxActions < 1:
		return errors.New("actions: must be at least 1")
	case s.MaxActionsPerClient < 1 || s.MaxActionsPerClient > s.MaxActions:
		return errors.New("actions_client: must lie between 1 and the value of actions")
	case s.HandoffMaxDuration < 0:
		return errors.New("ahead_for: must not be below 0")
	case !(s.QuotaFraction >= 0 && s.QuotaFraction <= 1):
		return errors.New("store_quota: must lie between 0 and 1")
	case s.BytesPerSecond < 0 || math.IsNaN(s.BytesPerSecond) || math.IsInf(s.BytesPerSecond, 0):
		return errors.New("bytes_per_second: must be a finite number, and not below 0")
	}
	limits := s.limits(s.Calls, s.BytesPerSecond)
	return limits.Check()
}

// quotas returns the store quotas of teams, in bytes: QuotaFraction of the store, divided by weight.
func (s *sharingSettings) quotas(bytes int64, teams []string) map[string]int64 {
	sum := 0.0
	for _, t := range teams {
		sum += s.weight(t)
	}
	quotas := map[string]int64{}
	for _, t := range teams {
		quotas[t] = int64(float64(bytes) * s.QuotaFraction * s.weight(t) / sum)
	}
	return quotas
}

// weight returns the weight of a team.
func (s *sharingSettings) weight(team string) float64 {
	if w, ok := s.Weights[team]; ok {
		return w
	}
	return 1
}

// newShares creates the queues and quotas of the shared resources.
func (s *sharingSettings) newShares(teams []string) (reapi.Shares, error) {
	waiting, err := admission.NewQuotaPool(float64(s.MaxActions), float64(s.MaxActionsPerClient), teams, s.Weights)
	if err != nil {
		return reapi.Shares{}, err
	}
	shares := reapi.Shares{Waiting: waiting, Handoff: admission.HandoffLimits{Min: s.HandoffMin, MaxDuration: s.HandoffMaxDuration}}
	if s.Calls > 0 {
		shares.Calls = admission.New(s.limits(s.Calls, 0))
	}
	if s.Transfers > 0 {
		shares.Transfers = admission.New(s.limits(s.Transfers, 0))
	}
	if s.BytesPerSecond > 0 {
		shares.Bytes = admission.New(s.limits(0, s.BytesPerSecond))
	}
	return shares, nil
}
