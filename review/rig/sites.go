package rig

import (
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// Bilet returns the settings and machine types of the site bilet-ordasy.
func Bilet() (settings.Params, []protocol.MachineType) {
	small, big := []string{"almaty", "astana", "shymkent"}, []string{"almaty", "astana", "karaganda", "shymkent"}
	params := settings.Params{
		ControllerCount: 3,
		Zones:           []string{"almaty", "karaganda"},
		Objectives: []settings.Objective{
			{Kind: "deadline", Class: "listing-sync", Share: 0.92, Times: 1},
			{Kind: "deadline", Class: "refund-batch", Share: 0.95, Times: 1},
			{Kind: "wait", Class: "refund-batch", WithinS: 5, Share: 0.9},
		},
		AgentTimes:    settings.AgentTimes{HeartbeatS: 3, LeaseS: 18, CancelS: 43},
		State:         settings.StateStoreLimits{RPS: 80, WriteRPS: 25, ValueKB: 8, TxnOps: 12},
		Cloud:         settings.CloudLimits{RPS: 6, ListLagS: 8},
		ProcessLimits: settings.ProcessLimits{CoreShare: 0.096, MemMB: 98, Sockets: 700},
		TimeBoundMS:   100,
		Teams:         []settings.Team{{Name: "pricing"}, {Name: "venues"}, {Name: "payments"}, {Name: "trust"}, {Name: "mainframe-exit"}},
	}
	return params, []protocol.MachineType{
		{Name: "small-node", CPUs: 8, MemGB: 32, CacheGB: 35, FetchGBPerS: 0.5, Price: 0.39, SpotPrice: 0.15, BootS: 35, Zones: small},
		{Name: "big-node", CPUs: 64, MemGB: 128, CacheGB: 60, FetchGBPerS: 0.2, Price: 2.83, SpotPrice: 1.03, BootS: 15, Zones: big},
	}
}

// BiletRoom returns the number of machines that the cloud of the site bilet-ordasy has.
func BiletRoom() map[Kind]int {
	return map[Kind]int{
		{"small-node", "almaty", false}: 3, {"small-node", "almaty", true}: 10,
		{"small-node", "astana", false}: 2, {"small-node", "astana", true}: 8,
		{"small-node", "shymkent", false}: 2, {"small-node", "shymkent", true}: 8,
		{"big-node", "karaganda", false}: 1, {"big-node", "karaganda", true}: 1,
		{"big-node", "almaty", false}: 1, {"big-node", "almaty", true}: 1,
		{"big-node", "astana", false}:   1,
		{"big-node", "shymkent", false}: 1, {"big-node", "shymkent", true}: 1,
	}
}
