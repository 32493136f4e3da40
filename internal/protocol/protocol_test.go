package protocol

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func valid() map[string]any {
	return map[string]any{"name_id": "job-000412", "jobclass": "train", "owner": "vision", "shape": "batch", "urgency": "high",
		"pieces": 16, "vcpus": 8.0, "gpus": 1.0, "mem_gb": 64.0, "bundle": "img-07", "image_gb": 6.2,
		"shapes_of_box": []string{"g8"}, "locale": nil, "same_place": true, "apart": false, "loaners": true,
		"guess_s": 240.0, "snapshot_every_s": 30.0, "snapshot_s": 4.0, "due_s": 900.0, "new_field": map[string]any{"x": 1}}
}

func check(m map[string]any) (*JobSpec, error) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return nil, err
	}
	var s Submission
	if err := Decode(body, &s); err != nil {
		return nil, err
	}
	return s.Check()
}

func TestSubmissionCheck(t *testing.T) {
	j, err := check(valid())
	if err != nil || j.Tasks != 16 || j.Urgency != High || !j.OneZone || !j.Spot || j.Types[0] != "g8" {
		t.Fatalf("%+v, %v", j, err)
	}
	for name, change := range map[string]func(map[string]any){
		"integer amounts":   func(m map[string]any) { m["vcpus"], m["due_s"] = 8, 900 },
		"null deadline":     func(m map[string]any) { m["due_s"] = nil },
		"optional left out": func(m map[string]any) { delete(m, "locale"); delete(m, "shapes_of_box") },
		"most tasks":        func(m map[string]any) { m["pieces"] = 100000 },
	} {
		m := valid()
		change(m)
		if _, err := check(m); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, change := range map[string]func(map[string]any){
		"id left out":      func(m map[string]any) { delete(m, "name_id") },
		"odd id":           func(m map[string]any) { m["name_id"] = "job-../x" },
		"no tasks":         func(m map[string]any) { m["pieces"] = 0 },
		"too many tasks":   func(m map[string]any) { m["pieces"] = 100001 },
		"negative CPUs":    func(m map[string]any) { m["vcpus"] = -1.0 },
		"CPUs left out":    func(m map[string]any) { delete(m, "vcpus") },
		"not a number":     func(m map[string]any) { m["mem_gb"] = math.NaN() },
		"infinite":         func(m map[string]any) { m["guess_s"] = math.Inf(1) },
		"absurd":           func(m map[string]any) { m["vcpus"] = 1e30 },
		"text for number":  func(m map[string]any) { m["vcpus"] = "8" },
		"number for text":  func(m map[string]any) { m["owner"] = 7 },
		"unknown shape":    func(m map[string]any) { m["shape"] = "round" },
		"unknown urgency":  func(m map[string]any) { m["urgency"] = "asap" },
		"urgency left out": func(m map[string]any) { delete(m, "urgency") },
		"types not a list": func(m map[string]any) { m["shapes_of_box"] = "g8" },
		"binary":           func(m map[string]any) { m["bundle"] = []byte{1} },
	} {
		m := valid()
		change(m)
		if _, err := check(m); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestScan(t *testing.T) {
	for name, body := range map[string][]byte{
		"empty":              {},
		"a list":             {0x90},
		"trailing bytes":     {0x80, 0x00},
		"number as key":      {0x81, 0x01, 0x01},
		"claimed size":       {0x81, 0xa1, 'a', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"claimed text":       {0x81, 0xa1, 'a', 0xdb, 0xff, 0xff, 0xff, 0xff},
		"extension":          {0x81, 0xa1, 'a', 0xc7, 0x00, 0x01},
		"nested without end": append([]byte{0x81, 0xa1, 'a'}, bytes.Repeat([]byte{0x91}, 60000)...),
	} {
		if err := Scan(body); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	body, err := msgpack.Marshal(valid())
	if err != nil {
		t.Fatal(err)
	}
	if err := Scan(body); err != nil {
		t.Error(err)
	}
}

func TestNames(t *testing.T) {
	if job, i, ok := ParseTask(TaskName("job-1", 42)); job != "job-1" || i != 42 || !ok {
		t.Error(job, i, ok)
	}
	for _, bad := range []string{"", "job-1", "job-1/x", "job-1/-1", "job-1/100000"} {
		if _, _, ok := ParseTask(bad); ok {
			t.Errorf("%q was taken for a task", bad)
		}
	}
}

func FuzzDecode(f *testing.F) {
	body, _ := msgpack.Marshal(valid())
	f.Add(body)
	f.Add(Encode(Heartbeat{Machine: "m-1", Epoch: 1, Tasks: []TaskReport{{Task: "job-1/0"}}}))
	f.Add([]byte{0x81, 0xa1, 'a', 0xdd, 0, 0, 0, 1, 0xc0})
	f.Fuzz(func(_ *testing.T, body []byte) {
		var s Submission
		if Decode(body, &s) == nil {
			_, _ = s.Check()
		}
		var r Heartbeat
		if Decode(body, &r) == nil {
			_ = r.Check()
		}
	})
}
