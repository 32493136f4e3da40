package binpack

import (
	"testing"

	"micaspindle/internal/protocol"
)

// Whether and how often tasks fit machines and machine types.
func TestFit(t *testing.T) {
	big := &protocol.MachineType{Name: "big", CPUs: 32, GPUs: 2, MemGB: 64, ZonesOffered: []string{"a"}}
	small := protocol.MachineType{Name: "small", CPUs: 0.3, MemGB: 1}
	for name, c := range map[string]struct{ got, want any }{
		"sums that are off by rounding":  {Resources{CPUs: 0.1 + 0.2}.Holds(Resources{CPUs: 0.3}), true},
		"too much memory":                {Size(big).Holds(Resources{CPUs: 1, MemGB: 65}), false},
		"slots by the scarcest resource": {Size(big).Slots(Resources{CPUs: 1, GPUs: 1, MemGB: 1}, 100), 2},
		"slots by rounding":              {Size(&small).Slots(Resources{CPUs: 0.1}, 100), 3},
		"slots of nothing":               {Size(big).Slots(Resources{}, UnboundedSlots), UnboundedSlots},
		"slots in negative resources":    {Resources{CPUs: -3}.Slots(Resources{CPUs: 1}, 10), 0},
		"any kind":                       {Constraints{}.Allows(MachineKind{"big", "a", false}), true},
		"no spot":                        {Constraints{}.Allows(MachineKind{"big", "a", true}), false},
		"another zone":                   {Constraints{Zone: "b", Spot: true}.Allows(MachineKind{"big", "a", true}), false},
		"another type":                   {Constraints{Types: []string{"small"}}.Allows(MachineKind{Type: "big"}), false},
		"not offered there":              {FitsOffered(Constraints{Zone: "b"}, Resources{CPUs: 1}, big), false},
		"fits the type in any zone":      {FitsType(Constraints{Zone: "b"}, Resources{CPUs: 1}, big), true},
		"the set of types":               {TypeSet(Constraints{}, Resources{CPUs: 1}, []protocol.MachineType{small, *big}), uint64(2)},
		"the size of a set of types":     {TypeCount(0b1011), 3},
		"resources subtracted and added": {Size(big).Plus(Resources{CPUs: 4, MemGB: 4}, -2).Plus(Resources{CPUs: 8, MemGB: 8}, 1), Size(big)},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
	s := Scarcity{}
	s.Note("big", 3)
	s.Note("big", 2)
	s.Note("big", 5)
	if !s.Contested("big", 3) || s.Contested("big", 2) || s.Contested("small", 9) {
		t.Error(s)
	}
}
