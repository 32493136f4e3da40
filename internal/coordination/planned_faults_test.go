package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// plannedFault is one fault of a plan. It begins at time At, or with the next write of kind OnWrite
// after that time, so that it coincides with a step of a takeover, handover, commit or
// cancellation.
type plannedFault struct {
	At, For time.Duration
	Kind    faultKind
	// Arg selects the affected controller, machines or jobs; Share is the proportion of
	// affected machines or messages.
	Arg   int
	Share float64
	// OnWrite is the kind of write that triggers the fault; if it is "", the fault begins at
	// time At.
	OnWrite string
}

// String returns the fault as an element of a Go slice literal.
func (fault plannedFault) String() string {
	return fmt.Sprintf("{At: %d, For: %d, Kind: %q, Arg: %d, Share: %.2f, OnWrite: %q},", fault.At, fault.For, fault.Kind, fault.Arg, fault.Share, fault.OnWrite)
}

// faultKind is a kind of planned fault.
type faultKind string

// The kinds of planned faults.
const (
	faultLateTransactions       faultKind = "late transactions"        // transactions get no response and are applied late
	faultLostTransactionAnswers faultKind = "lost transaction answers" // transactions are applied at once, only their responses are lost
	faultLateHeartbeats         faultKind = "late heartbeats"          // copies of heartbeats arrive again later
	faultReplayedHeartbeats     faultKind = "replayed heartbeats"      // copies of heartbeats arrive when the next partition lease is written
	faultInboundLost            faultKind = "inbound lost"             // machines receive neither responses nor commands
	faultOutboundLost           faultKind = "outbound lost"            // messages of machines are lost
	faultStateStoreRefusal      faultKind = "refused"                  // the state store refuses one controller
	faultCutFromAllButAgents    faultKind = "cut from all but agents"
	faultCutFromAgents          faultKind = "cut from agents"
	faultCutOff                 faultKind = "cut off"
	faultStateStoreOutage       faultKind = "outage"        // the state store is down
	faultWatchesStuck           faultKind = "watches stuck" // watches deliver no events
	faultCrash                  faultKind = "crash"
	faultCrashOfAll             faultKind = "crash of all"
	faultLongCrashOfAll         faultKind = "away" // all controllers are down for longer than a machine lease
	faultPause                  faultKind = "pause"
	faultHandover               faultKind = "handover" // a planned shutdown
	faultHang                   faultKind = "hang"
	faultPowerOff               faultKind = "power off"     // machines fail
	faultCancelNow              faultKind = "cancel now"    // running jobs are cancelled
	faultCancelAtEnd            faultKind = "cancel at end" // jobs are cancelled when their last task ends
	faultZoneCut                faultKind = "zone cut"
	faultLostMessages           faultKind = "lost messages"
	faultCloudUnreachable       faultKind = "cloud unreachable"
	faultLateCommands           faultKind = "late commands"
	faultLostCommandAnswers     faultKind = "lost command answers"
	faultCopiedCommands         faultKind = "copied commands" // copies of commands that were carried out arrive later
	faultSlowLinks              faultKind = "slow links"
	faultSickMachines           faultKind = "sick machines" // machines fail every task
)

// faultKinds are the kinds that random plans draw from; late commands are drawn twice as often.
// Copied commands and sick machines are drawn apart, by addCopiedCommands and addSickMachines.
var faultKinds = []faultKind{
	faultLateTransactions, faultLostTransactionAnswers, faultLateHeartbeats, faultReplayedHeartbeats,
	faultInboundLost, faultOutboundLost, faultStateStoreRefusal, faultCutFromAllButAgents,
	faultCutFromAgents, faultCutOff, faultStateStoreOutage, faultWatchesStuck,
	faultCrash, faultCrashOfAll, faultLongCrashOfAll, faultPause,
	faultHandover, faultHang, faultPowerOff, faultCancelNow,
	faultCancelAtEnd, faultZoneCut, faultLostMessages, faultCloudUnreachable,
	faultLateCommands, faultLateCommands, faultLostCommandAnswers, faultSlowLinks,
}

// The kinds of writes to the state store that can trigger a fault.
const (
	writeOfLease       = "lease"
	writeOfLeadership  = "leadership"
	writeOfIncarnation = "incarnation"
	writeOfFinal       = "final"
	writeOfMachine     = "machine"
	writeOfJob         = "job"
	writeOfRun         = "run"
)

// faultTriggers are the kinds of writes that random plans draw as triggers; "": no trigger.
var faultTriggers = []string{"", "", writeOfLease, writeOfLeadership, writeOfIncarnation, writeOfFinal, writeOfRun, writeOfMachine}

// writeObserver signals writes to the state store by their kind.
type writeObserver struct{ waiting map[string]chan struct{} }

// writeKind returns the kind of a write to a key, or "" if such a write triggers no fault.
func writeKind(key string) string {
	switch kind, _ := storage.ParseKey(key); kind {
	case storage.KindLease:
		return writeOfLease
	case storage.KindLeadership:
		return writeOfLeadership
	case storage.KindIncarnation:
		return writeOfIncarnation
	case storage.KindFinal:
		return writeOfFinal
	case storage.KindMachine:
		return writeOfMachine
	case storage.KindJob:
		return writeOfJob
	}
	if strings.HasPrefix(key, "r/") {
		return writeOfRun
	}
	return ""
}

// observe signals the writes of a simulated cluster from now on.
func (s *writeObserver) observe(sim *simulatedCluster) {
	s.waiting = map[string]chan struct{}{}
	check := sim.state.BeforePut
	sim.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
		check(c, old, exists)
		if ch := s.waiting[writeKind(c.Put)]; ch != nil {
			close(ch)
			delete(s.waiting, writeKind(c.Put))
		}
	}
}

// nextWrite returns a channel that is closed at the next write of a kind. The lock is held.
func (s *writeObserver) nextWrite(kind string) chan struct{} {
	if s.waiting[kind] == nil {
		s.waiting[kind] = make(chan struct{})
	}
	return s.waiting[kind]
}

// injectAtTrigger waits for a fault's time, counted from start, and for its trigger, injects the
// fault and ends it. If no write triggers the fault within timeout, the fault begins without a
// trigger.
func (sim *simulatedCluster) injectAtTrigger(fault plannedFault, start time.Time, timeout time.Duration) {
	time.Sleep(time.Until(start.Add(fault.At)))
	if fault.OnWrite != "" {
		var next chan struct{}
		sim.withLock(func() { next = sim.writes.nextWrite(fault.OnWrite) })
		select {
		case <-next:
		case <-time.After(timeout):
		}
	}
	sim.inject(fault)
}

// selectMachines returns the names of machines that Arg selects, about the proportion Share of all
// machines.
func (sim *simulatedCluster) selectMachines(fault plannedFault) (names []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i, name := range slices.Sorted(maps.Keys(sim.agents)) {
		if float64((i*37+fault.Arg)%100) < 100*fault.Share {
			names = append(names, name)
		}
	}
	return names
}

// faultInjectors are the functions that inject a fault of each kind, wait for its duration and end
// it.
var faultInjectors = map[faultKind]func(sim *simulatedCluster, fault plannedFault){
	faultLateTransactions:       (*simulatedCluster).injectLateTransactions,
	faultLostTransactionAnswers: (*simulatedCluster).injectLateTransactions,
	faultLateHeartbeats:         (*simulatedCluster).injectDuplicatedHeartbeats,
	faultReplayedHeartbeats:     (*simulatedCluster).injectReplayedHeartbeats,
	faultInboundLost: func(sim *simulatedCluster, fault plannedFault) {
		sim.markMachinesDuring(fault, &sim.inboundLost)
	},
	faultOutboundLost: func(sim *simulatedCluster, fault plannedFault) {
		sim.markMachinesDuring(fault, &sim.outboundLost)
	},
	faultStateStoreRefusal:   (*simulatedCluster).injectStateStoreRefusal,
	faultCutFromAllButAgents: (*simulatedCluster).injectCut,
	faultCutFromAgents:       (*simulatedCluster).injectCut,
	faultCutOff:              (*simulatedCluster).injectCut,
	faultCloudUnreachable:    (*simulatedCluster).injectCut,
	faultZoneCut:             (*simulatedCluster).injectZoneCut,
	faultStateStoreOutage:    (*simulatedCluster).injectStateStoreOutage,
	faultWatchesStuck: func(sim *simulatedCluster, fault plannedFault) {
		sim.during(fault, func(on bool) { sim.state.WatchesStuck = on })
	},
	faultCrash: func(sim *simulatedCluster, fault plannedFault) {
		sim.restartController(fault.controller(), fault.downtime())
	},
	faultCrashOfAll: func(sim *simulatedCluster, fault plannedFault) {
		sim.restartAllControllers(fault.downtime())
	},
	faultLongCrashOfAll: func(sim *simulatedCluster, _ plannedFault) {
		sim.restartAllControllers(time.Duration(sim.settings.Params.AgentTimes.LeaseS+2) * time.Second)
	},
	faultPause: func(sim *simulatedCluster, fault plannedFault) {
		sim.pauseController(fault.controller(), min(fault.For, 12*time.Second))
	},
	faultHandover:           (*simulatedCluster).injectHandover,
	faultHang:               (*simulatedCluster).injectHangingMachines,
	faultPowerOff:           (*simulatedCluster).injectMachineFailures,
	faultCancelNow:          (*simulatedCluster).injectCancellations,
	faultCancelAtEnd:        (*simulatedCluster).injectCancellationsAtEnd,
	faultLostMessages:       (*simulatedCluster).injectLostMessages,
	faultLateCommands:       (*simulatedCluster).injectLateCommands,
	faultLostCommandAnswers: (*simulatedCluster).injectLateCommands,
	faultCopiedCommands:     (*simulatedCluster).injectCopiedCommands,
	faultSlowLinks:          (*simulatedCluster).injectSlowLinks,
	faultSickMachines: func(sim *simulatedCluster, fault plannedFault) {
		sim.markMachinesDuring(fault, &sim.sickMachines)
	},
}

// controller returns the label of the affected controller.
func (fault plannedFault) controller() string { return fmt.Sprint("n", fault.Arg%3) }

// downtime returns the time for which a killed controller stays down.
func (fault plannedFault) downtime() time.Duration {
	return []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[fault.Arg/3%3]
}

// inject injects a fault, waits for its duration and ends it.
func (sim *simulatedCluster) inject(fault plannedFault) {
	injector := faultInjectors[fault.Kind]
	if injector == nil {
		panic("unknown kind of fault: " + string(fault.Kind))
	}
	injector(sim, fault)
}

// during calls set(true), waits for a fault's duration and calls set(false), each with the lock
// held.
func (sim *simulatedCluster) during(fault plannedFault, set func(on bool)) {
	sim.withLock(func() { set(true) })
	time.Sleep(fault.For)
	sim.withLock(func() { set(false) })
}

// markMachinesDuring marks the machines that a fault selects for its duration.
func (sim *simulatedCluster) markMachinesDuring(fault plannedFault, marked *map[string]bool) {
	names := sim.selectMachines(fault)
	sim.during(fault, func(on bool) {
		if *marked == nil {
			*marked = map[string]bool{}
		}
		for _, name := range names {
			(*marked)[name] = on
		}
	})
}

// cutDuring drops, for a fault's duration, the messages that the filter selects.
func (sim *simulatedCluster) cutDuring(fault plannedFault, filter func(from, host string) bool) {
	id := sim.cuts.add(sim, filter)
	time.Sleep(fault.For)
	sim.cuts.end(sim, id)
}

// injectLateTransactions drops the responses to a share of the transactions, and applies these
// transactions late, or at once if only the responses are to be lost.
func (sim *simulatedCluster) injectLateTransactions(fault plannedFault) {
	sim.during(fault, func(on bool) {
		sim.lateTransactionRate, sim.loseResponsesOnly = 0, false
		if on {
			sim.lateTransactionRate, sim.loseResponsesOnly = fault.Share, fault.Kind == faultLostTransactionAnswers
		}
	})
}

// injectDuplicatedHeartbeats copies a share of the heartbeats. The copies arrive later, or are kept
// if they are to be replayed.
func (sim *simulatedCluster) injectDuplicatedHeartbeats(fault plannedFault) {
	sim.during(fault, func(on bool) {
		sim.duplicatedHeartbeatRate, sim.keepForReplay = 0, false
		if on {
			sim.duplicatedHeartbeatRate, sim.keepForReplay = fault.Share, fault.Kind == faultReplayedHeartbeats
		}
	})
}

// injectReplayedHeartbeats keeps copies of heartbeats and sends them when the next partition lease
// is written, or after 15 s.
func (sim *simulatedCluster) injectReplayedHeartbeats(fault plannedFault) {
	sim.injectDuplicatedHeartbeats(fault)
	var next chan struct{}
	sim.withLock(func() { next = sim.writes.nextWrite(writeOfLease) })
	select {
	case <-next:
	case <-time.After(15 * time.Second):
	}
	sim.replayHeartbeats()
}

// injectStateStoreRefusal makes the state store refuse the requests of one controller.
func (sim *simulatedCluster) injectStateStoreRefusal(fault plannedFault) {
	sim.setStateStoreRefusal(fault.controller(), true)
	time.Sleep(fault.For)
	sim.setStateStoreRefusal(fault.controller(), false)
}

// injectStateStoreOutage takes the state store down for twice the fault's duration.
func (sim *simulatedCluster) injectStateStoreOutage(fault plannedFault) {
	sim.setOutage(true)
	time.Sleep(fault.For * 2)
	sim.setOutage(false)
}

// injectCut cuts links of one controller, or the links of all controllers to the cloud.
func (sim *simulatedCluster) injectCut(fault plannedFault) {
	label := fault.controller()
	isController := func(host string) bool { return len(host) == 2 && host[0] == 'n' }
	filters := map[faultKind]func(from, host string) bool{
		faultCutFromAllButAgents: func(from, host string) bool {
			return from == label && (host == "state" || isController(host)) || host == label && isController(from)
		},
		faultCutFromAgents: func(from, host string) bool {
			return from == label && strings.HasPrefix(host, "m-")
		},
		faultCutOff:           func(from, host string) bool { return from == label || host == label },
		faultCloudUnreachable: func(_, host string) bool { return host == "cloud" },
	}
	sim.cutDuring(fault, filters[fault.Kind])
}

// injectZoneCut leaves one controller able to reach only the machines of one zone, and the other
// controllers only the remaining machines.
func (sim *simulatedCluster) injectZoneCut(fault plannedFault) {
	label := fault.controller()
	zone := []string{"a", "b"}[fault.Arg%2]
	inside := map[string]bool{}
	sim.withLock(func() {
		for name, agent := range sim.agents {
			inside[name] = agent.Zone == zone
		}
	})
	sim.cutDuring(fault, func(from, host string) bool {
		return from != label && inside[host] || from == label && strings.HasPrefix(host, "m-") && !inside[host]
	})
}

// restartAllControllers kills all controllers at once and starts them again after downtime.
func (sim *simulatedCluster) restartAllControllers(downtime time.Duration) {
	done := make(chan struct{}, len(allControllers))
	for _, label := range allControllers {
		sim.group.Go(func() {
			sim.restartController(label, downtime)
			done <- struct{}{}
		})
	}
	for range allControllers {
		<-done
	}
}

// injectHandover performs a planned shutdown of a controller and starts it again.
func (sim *simulatedCluster) injectHandover(fault plannedFault) {
	if process := sim.processOf(fault.controller()); process != nil {
		process.controller.HandOver(sim.ctx)
		sim.restartController(fault.controller(), fault.downtime())
	}
}

// injectHangingMachines makes the selected machines hang.
func (sim *simulatedCluster) injectHangingMachines(fault plannedFault) {
	for _, name := range sim.selectMachines(fault) {
		sim.hangMachine(name, fault.For)
	}
	time.Sleep(fault.For)
}

// injectMachineFailures powers off at most three of the selected machines.
func (sim *simulatedCluster) injectMachineFailures(fault plannedFault) {
	names := sim.selectMachines(fault)
	for _, name := range names[:min(3, len(names))] {
		sim.withLock(func() {
			if agent := sim.agents[name]; agent != nil {
				agent.PowerOff()
				delete(sim.agents, name)
			}
		})
	}
}

// injectCancellations cancels every third running job. With an even Arg the machines of the
// cancelled jobs hang as well.
func (sim *simulatedCluster) injectCancellations(fault plannedFault) {
	var ids []string
	sim.withLock(func() {
		for _, id := range slices.Sorted(maps.Keys(sim.jobs)) {
			job := sim.jobs[id]
			if !job.acceptedAt.IsZero() && job.finalStatus == "" && !job.cancelRequested && len(sim.machinesRunning(id)) > 0 {
				ids = append(ids, id)
			}
		}
	})
	for i, id := range ids {
		if i%3 != fault.Arg%3 {
			continue
		}
		var machines []string
		sim.withLock(func() { machines = sim.machinesRunning(id) })
		sim.group.Go(func() { sim.cancelUntilAnswered(id, fault.Arg+i) })
		if fault.Arg%2 == 0 {
			for _, name := range machines {
				sim.hangMachine(name, fault.For)
			}
		}
	}
}

// injectCancellationsAtEnd cancels jobs when their last task ends, if the length of the job's id
// and Arg are both even or both odd.
func (sim *simulatedCluster) injectCancellationsAtEnd(fault plannedFault) {
	sim.during(fault, func(on bool) {
		sim.cancelAtEnd = nil
		if on {
			sim.cancelAtEnd = func(job string) bool { return len(job)%2 == fault.Arg%2 }
		}
	})
}

// injectLostMessages loses or delays a small share of the controllers' messages.
func (sim *simulatedCluster) injectLostMessages(fault plannedFault) {
	sim.during(fault, func(on bool) {
		sim.messageFaultRate = 0
		if on {
			sim.messageFaultRate = 0.05
		}
	})
}

// injectLateCommands delays a share of the direct commands, or loses only the responses to them.
func (sim *simulatedCluster) injectLateCommands(fault plannedFault) {
	sim.during(fault, func(on bool) {
		sim.delayedCommands = nil
		if on {
			sim.delayedCommands = &commandDelayFault{rate: fault.Share, loseResponsesOnly: fault.Kind == faultLostCommandAnswers}
		}
	})
}

// injectCopiedCommands copies a share of the direct commands that agents have executed.
func (sim *simulatedCluster) injectCopiedCommands(fault plannedFault) {
	sim.during(fault, func(on bool) {
		sim.copiedCommands = nil
		if on {
			sim.copiedCommands = &commandCopyFault{rate: fault.Share, copies: 1 + fault.Arg%3, delayMin: copyDelayMin, delayMax: copyDelayMax}
		}
	})
}

// injectSlowLinks delays every message by a random time.
func (sim *simulatedCluster) injectSlowLinks(fault plannedFault) {
	sim.during(fault, func(on bool) {
		sim.linkDelayMax = 0
		if on {
			sim.linkDelayMax = 700 * time.Millisecond
		}
	})
}
