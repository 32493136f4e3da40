package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"micaspindle/internal/protocol"
)

// Frozen copies of the record types of the version before job dependencies. Both versions read and
// write each other's records during an upgrade.
type (
	oldJobSpec struct {
		ID          string   `msgpack:"id"`
		Class       string   `msgpack:"cl"`
		Team        string   `msgpack:"tm"`
		Standing    bool     `msgpack:"st,omitempty"`
		Gang        bool     `msgpack:"ga,omitempty"`
		Urgency     int      `msgpack:"ur"`
		Tasks       int      `msgpack:"n"`
		CPUs        float64  `msgpack:"c"`
		GPUs        float64  `msgpack:"g,omitempty"`
		MemGB       float64  `msgpack:"m"`
		Image       string   `msgpack:"im,omitempty"`
		ImageGB     float64  `msgpack:"ig,omitempty"`
		Types       []string `msgpack:"ty,omitempty"`
		Zone        string   `msgpack:"z,omitempty"`
		OneZone     bool     `msgpack:"oz,omitempty"`
		Spread      bool     `msgpack:"sp,omitempty"`
		Spot        bool     `msgpack:"so,omitempty"`
		EstimateS   float64  `msgpack:"e,omitempty"`
		CheckpointS float64  `msgpack:"ck,omitempty"`
		SaveS       float64  `msgpack:"sv,omitempty"`
		DeadlineS   float64  `msgpack:"d,omitempty"`
		SubmittedMS int64    `msgpack:"at"`
	}
	oldRun struct {
		Done [][2]int     `msgpack:"d"`
		Live []oldAttempt `msgpack:"l"`
		Last uint64       `msgpack:"n"`
	}
	oldAttempt struct {
		//lint:ignore U1000 makes the encoder write a list
		_msgpack struct{} `msgpack:",as_array"`
		Task     int
		Number   uint64
		Machine  string
		Session  uint64
	}
	oldMachine struct {
		Part     int    `msgpack:"p"`
		Addr     string `msgpack:"a"`
		Type     string `msgpack:"t"`
		Zone     string `msgpack:"z"`
		Spot     bool   `msgpack:"s"`
		RentedMS int64  `msgpack:"r"`
	}
	oldFinal struct {
		Status string `msgpack:"s"`
		AtMS   int64  `msgpack:"at"`
	}
	oldClaim struct {
		Owner string `msgpack:"o"`
		Nonce string `msgpack:"n"`
	}
)

// sampleRecords returns sample records, each in the types of both versions.
func sampleRecords() map[string]struct{ now, old any } {
	return map[string]struct{ now, old any }{
		"job": {
			&protocol.JobSpec{ID: "job-000412", Class: "train", Team: "vision", Urgency: protocol.High, Tasks: 160, CPUs: 8, GPUs: 1,
				MemGB: 64.5, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "c4"}, Zone: "a", OneZone: true, Spread: true, Spot: true,
				EstimateS: 240.25, CheckpointIntervalS: 30, CheckpointDurationS: 4, DeadlineS: 900, SubmittedMS: 1764600000123},
			&oldJobSpec{ID: "job-000412", Class: "train", Team: "vision", Urgency: 2, Tasks: 160, CPUs: 8, GPUs: 1,
				MemGB: 64.5, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "c4"}, Zone: "a", OneZone: true, Spread: true, Spot: true,
				EstimateS: 240.25, CheckpointS: 30, SaveS: 4, DeadlineS: 900, SubmittedMS: 1764600000123},
		},
		"job-plain": {
			&protocol.JobSpec{ID: "job-7", Class: "c", Team: "t", Urgency: protocol.Standard, Tasks: 1, CPUs: 0.5, MemGB: 1, SubmittedMS: 1},
			&oldJobSpec{ID: "job-7", Class: "c", Team: "t", Urgency: 1, Tasks: 1, CPUs: 0.5, MemGB: 1, SubmittedMS: 1},
		},
		"job-service": {
			&protocol.JobSpec{ID: "job-8", Class: "web", Team: "t", Service: true, Tasks: 3, CPUs: 2, MemGB: 4, SubmittedMS: 5},
			&oldJobSpec{ID: "job-8", Class: "web", Team: "t", Standing: true, Tasks: 3, CPUs: 2, MemGB: 4, SubmittedMS: 5},
		},
		"run": {
			&RunRecord{Done: [][2]int{{0, 5}, {9, 9}}, Last: 300, Live: []Attempt{{Task: 6, Number: 2, Machine: "m-000231", Epoch: 1},
				{Task: 7, Number: 300, Machine: "m-000232", Epoch: 70000}}},
			&oldRun{Done: [][2]int{{0, 5}, {9, 9}}, Last: 300, Live: []oldAttempt{{Task: 6, Number: 2, Machine: "m-000231", Session: 1},
				{Task: 7, Number: 300, Machine: "m-000232", Session: 70000}}},
		},
		"run-empty": {&RunRecord{Done: [][2]int{}, Live: []Attempt{}}, &oldRun{Done: [][2]int{}, Live: []oldAttempt{}}},
		"machine": {
			&Machine{Partition: 2, Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, CreatedMS: 1764600000123},
			&oldMachine{Part: 2, Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, RentedMS: 1764600000123},
		},
		"final-done": {&FinalRecord{Status: protocol.StatusDone, AtMS: 1764600000123}, &oldFinal{Status: "done", AtMS: 1764600000123}},
		"final-withdrawn": {&FinalRecord{Status: protocol.StatusCancelled, AtMS: 1764600000124},
			&oldFinal{Status: "withdrawn", AtMS: 1764600000124}},
		"claim": {&Lease{Holder: "spindle-0", Nonce: "N0NCE"}, &oldClaim{Owner: "spindle-0", Nonce: "N0NCE"}},
	}
}

// Records without new fields must be read from, and written as, the exact bytes of the version in
// production.
func TestRecordsMatchTheVersionInProduction(t *testing.T) {
	for name, k := range sampleRecords() {
		golden, err := os.ReadFile(filepath.Join("testdata", name+".msgpack"))
		if err != nil {
			t.Fatal(err)
		}
		if got := Encode(k.now); !bytes.Equal(got, golden) {
			t.Errorf("%s is encoded as %x, want production's %x", name, got, golden)
		}
		for _, want := range []any{k.now, k.old} {
			got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
			if err := Decode(golden, got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s is decoded as %+v (%v), want %+v", name, got, err, want)
			}
		}
	}
}

// The version in production must ignore new fields of a job and read the others unchanged. Run
// records, which it rewrites, have no new fields to lose.
func TestVersionInProductionReadsJobsWithDependencies(t *testing.T) {
	k := sampleRecords()["job"]
	now, want := *k.now.(*protocol.JobSpec), k.old
	now.Dependencies = []string{"job-1", "job-000398"}
	raw := Encode(&now)
	got := new(oldJobSpec)
	if err := Decode(raw, got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("production decodes %+v (%v), want %+v", got, err, want)
	}
	again := new(protocol.JobSpec)
	if err := Decode(raw, again); err != nil || !reflect.DeepEqual(again, &now) {
		t.Errorf("this version decodes %+v (%v), want the encoded job", again, err)
	}
	// A run record written by this version and rewritten by the one in production.
	run := new(oldRun)
	if err := Decode(Encode(sampleRecords()["run"].now), run); err != nil {
		t.Fatal(err)
	}
	run.Done, run.Live = append(run.Done, [2]int{12, 13}), run.Live[:1]
	back := new(RunRecord)
	if err := Decode(Encode(run), back); err != nil || len(back.Done) != 3 || len(back.Live) != 1 || back.Live[0].Machine != "m-000231" {
		t.Errorf("rewritten run record is decoded as %+v (%v), want three ranges of done tasks and one live attempt on m-000231", back, err)
	}
}

// Size must never be below the size that the state store computes for a record.
func TestRunSizeBoundsTheRecord(t *testing.T) {
	long := "m-" + string(bytes.Repeat([]byte("0"), 180))
	for _, name := range []string{"m", "m-000231", long, `odd"\<&>:,é`} {
		for _, big := range []bool{false, true} {
			run := RunRecord{Done: [][2]int{}, Live: []Attempt{}, Last: 7}
			for task := range ChunkTasks {
				a := Attempt{Task: task, Number: 3, Machine: name, Epoch: 2}
				if big {
					a.Task, a.Number, a.Epoch, run.Last = 99_936+task, 1<<63, 1<<63, 1<<64-1
				}
				if task%2 == 0 || name != "m" {
					run.Live = append(run.Live, a)
				} else {
					run.Done = append(run.Done, [2]int{a.Task, a.Task})
				}
			}
			if size, real := run.Size(), protocol.JSONSize(Encode(run))-32; size < real {
				t.Errorf("machine %.10s, large numbers %v: Size returned %d bytes, the record takes %d", name, big, size, real)
			}
			// 64 attempts with usual names fit a value at the announced limit of 2 KiB.
			if name == "m-000231" && !big && run.Size() > 2048 {
				t.Errorf("64 attempts with usual names take %d bytes, want at most 2048", run.Size())
			}
		}
	}
}
