package peer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards compatibility with the version in production during an upgrade: messages without newer
// fields are decoded from its bytes and encoded to the same bytes.
func TestEncodingMatchesProduction(t *testing.T) {
	for name, want := range map[string]proto.Message{
		"summary": &Summary{From: "spindle-1", StateSilenceS: 0.25, WriteDemand: 4.5, Diverted: []string{"m-000009"},
			Partitions: []*PartitionSummary{{Partition: 1,
				Demands: []*Demand{{Cpus: 4, Gpus: 1, MemGb: 13.5, Types: []string{"g8"}, Zone: "a", Spot: true, Count: 35, WaitedS: 2.5,
					EstimateS: 30, SlackS: 41}},
				Machines: []*MachineStatus{{Name: "m-000231", Reported: true, Idle: true, IdleS: 3.5, Addr: "10.1.0.232:9000"},
					{Name: "m-000232", Lost: true, Retiring: true, Quarantined: true, NeverUp: true}}}},
			Jobs:         []*JobProgress{{Id: "job-000412", Done: 3, Running: 13}},
			Unregistered: []*UnregisteredMachine{{Name: "m-000300", Addr: "10.1.1.1:9000", Type: "g8", Zone: "b", Spot: true}}},
		"fleet-move":   &MachineRequest{Machine: "m-000231", ToPartition: 2},
		"fleet-retire": &MachineRequest{Machine: "m-000231", Retire: true},
		"fleet-reply":  &MachineReply{Ok: true, Reason: "in use"},
	} {
		golden, err := os.ReadFile(filepath.Join("testdata", name+".pb"))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := (proto.MarshalOptions{Deterministic: true}).Marshal(want); err != nil || !bytes.Equal(got, golden) {
			t.Errorf("%s is encoded as %x (error %v), in production as %x", name, got, err, golden)
		}
		got := want.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(golden, got); err != nil || !proto.Equal(got, want) {
			t.Errorf("%s is decoded as %v (error %v), want %v", name, got, err, want)
		}
	}
}
