package reapi

import (
	"strconv"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// requirements are what an action requires of a machine, and its urgency. Actions with
// equal requirements gather in the same job.
type requirements struct {
	cpus, memGB float64
	machineType string
	zone        string
	spot        bool
	urgency     string
}

// Limits of platform properties.
const (
	maxCPUs          = 1024
	maxMemGB         = 65536
	maxPropertyValue = 100 // bytes
)

// requirementsOf returns the requirements that platform properties and a priority state,
// or an error if one of them is not supported.
func requirementsOf(platform *repb.Platform, priority int32) (requirements, error) {
	needs := requirements{cpus: 1, memGB: 1, spot: true, urgency: "standard"}
	invalid := func(p *repb.Platform_Property, want string) error {
		return status.Errorf(codes.FailedPrecondition, "platform property %s=%q: %s", clip(p.GetName()), clip(p.GetValue()), want)
	}
	for _, p := range platform.GetProperties() {
		var err error
		switch p.GetName() {
		case "cpus":
			if needs.cpus, err = strconv.ParseFloat(p.GetValue(), 64); err != nil || !(needs.cpus > 0 && needs.cpus <= maxCPUs) {
				return needs, invalid(p, "a number of CPUs up to 1024")
			}
		case "mem-gb":
			if needs.memGB, err = strconv.ParseFloat(p.GetValue(), 64); err != nil || !(needs.memGB > 0 && needs.memGB <= maxMemGB) {
				return needs, invalid(p, "a number of GB up to 65536")
			}
		case "machine-type":
			needs.machineType = p.GetValue()
		case "zone":
			needs.zone = p.GetValue()
		case "spot":
			if needs.spot, err = strconv.ParseBool(p.GetValue()); err != nil {
				return needs, invalid(p, "true or false")
			}
		case "OSFamily":
			if !strings.EqualFold(p.GetValue(), "linux") {
				return needs, invalid(p, "machines run linux")
			}
		default:
			return needs, invalid(p, "not served; cpus, mem-gb, machine-type, zone, spot and OSFamily are")
		}
		if len(p.GetValue()) > maxPropertyValue {
			return needs, invalid(p, "too long")
		}
	}
	// Smaller priorities are more urgent in the API. The urgency "production" is not
	// available to builds.
	switch {
	case priority < 0:
		needs.urgency = "high"
	case priority > 0:
		needs.urgency = "low"
	}
	return needs, nil
}
