package binpack

import (
	"testing"

	"micaspindle/internal/protocol"
)

// Checks whether tasks fit on machines and machine types, and the number of tasks that fit.
func TestFit(t *testing.T) {
	big := &protocol.MachineType{Name: "big", CPUs: 32, GPUs: 2, MemGB: 64, Zones: []string{"a"}}
	small := protocol.MachineType{Name: "small", CPUs: 0.3, MemGB: 1}
	for name, c := range map[string]struct{ got, want any }{
		"rounding error in a sum":                {Resources{CPUs: 0.1 + 0.2}.Holds(Resources{CPUs: 0.3}), true},
		"too much memory":                        {Size(big).Holds(Resources{CPUs: 1, MemGB: 65}), false},
		"slots limited by the scarcest resource": {Size(big).Slots(Resources{CPUs: 1, GPUs: 1, MemGB: 1}, 100), 2},
		"slots despite a rounding error":         {Size(&small).Slots(Resources{CPUs: 0.1}, 100), 3},
		"slots for a task without needs":         {Size(big).Slots(Resources{}, UnboundedSlots), UnboundedSlots},
		"slots in negative resources":            {Resources{CPUs: -3}.Slots(Resources{CPUs: 1}, 10), 0},
		"no constraints":                         {Constraints{}.Allows(MachineKind{"big", "a", false}), true},
		"spot not allowed":                       {Constraints{}.Allows(MachineKind{"big", "a", true}), false},
		"another zone":                           {Constraints{Zone: "b", Spot: true}.Allows(MachineKind{"big", "a", true}), false},
		"another type":                           {Constraints{Types: []string{"small"}}.Allows(MachineKind{Type: "big"}), false},
		"type not offered in the zone":           {FitsOffered(Constraints{Zone: "b"}, Resources{CPUs: 1}, big), false},
		"fits the type whatever the zone":        {FitsType(Constraints{Zone: "b"}, Resources{CPUs: 1}, big), true},
		"type set":                               {TypeSet(Constraints{}, Resources{CPUs: 1}, []protocol.MachineType{small, *big}), uint64(2)},
		"type count":                             {TypeCount(0b1011), 3},
		"resources subtracted and added":         {Size(big).Plus(Resources{CPUs: 4, MemGB: 4}, -2).Plus(Resources{CPUs: 8, MemGB: 8}, 1), Size(big)},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %v, want %v", name, c.got, c.want)
		}
	}
	s := Scarcity{}
	s.Record("big", 3)
	s.Record("big", 2)
	s.Record("big", 5)
	if !s.Contested("big", 3) || s.Contested("big", 2) || s.Contested("small", 9) {
		t.Error("want type big contested only for jobs that fit more than 2 types, and type small never; scarcity:", s)
	}
}
