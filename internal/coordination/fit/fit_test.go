package fit

import (
	"testing"

	"micaspindle/internal/protocol"
)

func TestFit(t *testing.T) {
	big := &protocol.MachineType{Name: "big", CPUs: 32, GPUs: 2, MemGB: 64, ZonesOffered: []string{"a"}}
	small := protocol.MachineType{Name: "small", CPUs: 0.3, MemGB: 1}
	for name, c := range map[string]struct{ got, want any }{
		"sums that are off by rounding": {Amounts{CPUs: 0.1 + 0.2}.Holds(Amounts{CPUs: 0.3}), true},
		"too much memory":               {Size(big).Holds(Amounts{CPUs: 1, MemGB: 65}), false},
		"slots by what is short":        {Size(big).Slots(Amounts{CPUs: 1, GPUs: 1, MemGB: 1}, 100), 2},
		"slots by rounding":             {Size(&small).Slots(Amounts{CPUs: 0.1}, 100), 3},
		"slots of nothing":              {Size(big).Slots(Amounts{}, Many), Many},
		"slots in less than nothing":    {Amounts{CPUs: -3}.Slots(Amounts{CPUs: 1}, 10), 0},
		"any kind":                      {Wish{}.Allows(Kind{"big", "a", false}), true},
		"no spot":                       {Wish{}.Allows(Kind{"big", "a", true}), false},
		"another zone":                  {Wish{Zone: "b", Spot: true}.Allows(Kind{"big", "a", true}), false},
		"another type":                  {Wish{Types: []string{"small"}}.Allows(Kind{Type: "big"}), false},
		"not offered there":             {Offered(Wish{Zone: "b"}, Amounts{CPUs: 1}, big), false},
		"there or not":                  {OfType(Wish{Zone: "b"}, Amounts{CPUs: 1}, big), true},
		"the set of types":              {Types(Wish{}, Amounts{CPUs: 1}, []protocol.MachineType{small, *big}), uint64(2)},
		"its breadth":                   {Breadth(0b1011), 3},
		"what is taken and given back":  {Size(big).Plus(Amounts{CPUs: 4, MemGB: 4}, -2).Plus(Amounts{CPUs: 8, MemGB: 8}, 1), Size(big)},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
	s := Scarcity{}
	s.Needs("big", 3)
	s.Needs("big", 2)
	s.Needs("big", 5)
	if !s.Contested("big", 3) || s.Contested("big", 2) || s.Contested("small", 9) {
		t.Error(s)
	}
}
