package reapi

import (
	"strconv"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// requirements are an action's requirements of a machine, and its urgency. Only actions with
// equal requirements are batched into the same job.
type requirements struct {
	cpus, memGB float64
	machineType string
	zone        string
	spot        bool
	urgency     string
}

// Limits of the values of platform properties.
const (
	maxCPUs          = 1024
	maxMemGB         = 65536
	maxPropertyValue = 100 // bytes
)

// requirementsOf returns the requirements that platform properties and a priority express. It
// fails if a property is not supported or its value is invalid.
func requirementsOf(platform *repb.Platform, priority int32) (requirements, error) {
	required := requirements{cpus: 1, memGB: 1, spot: true, urgency: "standard"}
	invalid := func(p *repb.Platform_Property, want string) error {
		return status.Errorf(codes.FailedPrecondition, "platform property %s=%q: %s", clip(p.GetName()), clip(p.GetValue()), want)
	}
	for _, p := range platform.GetProperties() {
		var err error
		switch p.GetName() {
		case "cpus":
			if required.cpus, err = strconv.ParseFloat(p.GetValue(), 64); err != nil || !(required.cpus > 0 && required.cpus <= maxCPUs) {
				return required, invalid(p, "a number of CPUs up to 1024")
			}
		case "mem-gb":
			if required.memGB, err = strconv.ParseFloat(p.GetValue(), 64); err != nil || !(required.memGB > 0 && required.memGB <= maxMemGB) {
				return required, invalid(p, "a number of GB up to 65536")
			}
		case "machine-type":
			required.machineType = p.GetValue()
		case "zone":
			required.zone = p.GetValue()
		case "spot":
			if required.spot, err = strconv.ParseBool(p.GetValue()); err != nil {
				return required, invalid(p, "true or false")
			}
		case "OSFamily":
			if !strings.EqualFold(p.GetValue(), "linux") {
				return required, invalid(p, "machines run linux")
			}
		default:
			return required, invalid(p, "not served; cpus, mem-gb, machine-type, zone, spot and OSFamily are")
		}
		if len(p.GetValue()) > maxPropertyValue {
			return required, invalid(p, "too long")
		}
	}
	// In the API, lower priority values are more urgent. Builds cannot use the urgency
	// "production".
	switch {
	case priority < 0:
		required.urgency = "high"
	case priority > 0:
		required.urgency = "low"
	}
	return required, nil
}
