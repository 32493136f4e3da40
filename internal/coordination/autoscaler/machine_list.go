package autoscaler

import (
	"maps"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

const (
	// minListInterval is the minimum time between two listings of the cloud's machines.
	minListInterval = 2 * time.Second
	// listsPerLag is the number of listings during the time by which the cloud's list may lag.
	listsPerLag = 3
	// A listed machine without a record counts as unrecorded if its age in seconds exceeds
	// unrecordedMinAgeS plus unrecordedMinLags times the lag of the list. The record of a
	// younger machine may not have been written yet.
	unrecordedMinAgeS, unrecordedMinLags = 4, 2
	// listedMachineAdoptionDelay is the time from the start of this controller until machines
	// in the cloud's list that have no record are adopted.
	listedMachineAdoptionDelay = 5 * time.Second
)

// listInterval returns the interval at which the cluster leader lists the cloud's machines.
func (a *Autoscaler) listInterval() time.Duration {
	return max(minListInterval, settings.Seconds(a.Settings.Params.Cloud.ListLagS/listsPerLag))
}

// listMachines fetches the cloud's list of machines, and stores the addresses of machines whose
// records have none.
func (a *Autoscaler) listMachines() {
	listed, err := a.cloud.Machines()
	if err != nil {
		a.log.Debug("machine listing failed", "error", err)
		return
	}
	a.loop.Do(func() {
		a.Leadership.ListedMachines = listed
		for name, inList := range listed {
			if machine := a.Machines[name]; machine != nil && machine.Record.Addr == "" {
				machine.Record.Addr = inList.Addr
			}
		}
	})
}

// unrecordedMachines returns the machines that have no record, with the records to write for them:
// machines that have sent heartbeats or are in the cloud's list. Such machines existed before the
// cluster started, or belong to scale-outs whose answer was lost.
func (a *Autoscaler) unrecordedMachines(now time.Time) map[string]storage.Machine {
	unrecorded := map[string]storage.Machine{}
	for _, machine := range a.UnregisteredMachines {
		unrecorded[machine.Name] = recordOfUnregistered(machine)
	}
	for _, controller := range a.Peers {
		if !controller.Alive(now) {
			continue
		}
		for _, machine := range controller.Summary.Unregistered {
			unrecorded[machine.Name] = recordOfUnregistered(machine)
		}
	}
	if now.Sub(a.StartedAt) > listedMachineAdoptionDelay {
		minAgeS := unrecordedMinAgeS + unrecordedMinLags*a.Settings.Params.Cloud.ListLagS
		for name, listed := range a.Leadership.ListedMachines {
			if listed.State != protocol.MachineFailed && listed.AgeS > minAgeS {
				unrecorded[name] = storage.Machine{Addr: listed.Addr, Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot}
			}
		}
	}
	maps.DeleteFunc(unrecorded, func(name string, _ storage.Machine) bool {
		return a.IsDeleted(name) || a.Machines[name] != nil
	})
	return unrecorded
}

func recordOfUnregistered(machine *peer.UnregisteredMachine) storage.Machine {
	return storage.Machine{Addr: machine.Addr, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}
