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
	// minListInterval is the least time between two listings of the cloud's machines.
	minListInterval = 2 * time.Second
	// listsPerLag is how often the machines are listed within the lag of the list.
	listsPerLag = 3
	// unrecordedAgeS and unrecordedLags, the latter times the lag of the list, is how many
	// seconds old a listed machine without a record must be until it counts as unrecorded:
	// the record of a machine that was just created is on its way.
	unrecordedAgeS, unrecordedLags = 4, 2
	// unrecordedDelay is how long after its start a controller takes listed machines for
	// unrecorded.
	unrecordedDelay = 5 * time.Second
)

// listInterval is how often the leader lists the cloud's machines.
func (a *Autoscaler) listInterval() time.Duration {
	return max(minListInterval, settings.Seconds(a.Settings.Params.Cloud.ListLagS/listsPerLag))
}

// listMachines lists the cloud's machines, and learns the addresses of those on record.
func (a *Autoscaler) listMachines() {
	listed, err := a.cloud.Machines()
	if err != nil {
		a.log.Debug("machines not listed", "error", err)
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

// unrecordedMachines are the machines without a record, as the records that they are to get:
// those that are there from the start, and those of scale-outs whose answer was lost. They
// have sent heartbeats or are in the cloud's list.
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
	if now.Sub(a.StartedAt) > unrecordedDelay {
		minAgeS := unrecordedAgeS + unrecordedLags*a.Settings.Params.Cloud.ListLagS
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
