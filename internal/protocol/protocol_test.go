package protocol

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func validSubmission() map[string]any {
	return map[string]any{"name_id": "job-000412", "jobclass": "train", "owner": "vision", "shape": "batch", "urgency": "high",
		"pieces": 16, "vcpus": 8.0, "gpus": 1.0, "mem_gb": 64.0, "bundle": "img-07", "image_gb": 6.2,
		"shapes_of_box": []string{"g8"}, "locale": nil, "same_place": true, "apart": false, "loaners": true,
		"guess_s": 240.0, "snapshot_every_s": 30.0, "snapshot_s": 4.0, "due_s": 900.0, "new_field": map[string]any{"x": 1}}
}

func checkSubmission(m map[string]any) (*JobSpec, error) {
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
	j, err := checkSubmission(validSubmission())
	if err != nil || j.Tasks != 16 || j.Urgency != High || !j.OneZone || !j.Spot || j.Types[0] != "g8" {
		t.Fatalf("valid submission was decoded as %+v, error %v", j, err)
	}
	for name, change := range map[string]func(map[string]any){
		"integer amounts":         func(m map[string]any) { m["vcpus"], m["due_s"] = 8, 900 },
		"null deadline":           func(m map[string]any) { m["due_s"] = nil },
		"omitted nullable fields": func(m map[string]any) { delete(m, "locale"); delete(m, "shapes_of_box") },
		"maximum number of tasks": func(m map[string]any) { m["pieces"] = 100000 },
	} {
		m := validSubmission()
		change(m)
		if _, err := checkSubmission(m); err != nil {
			t.Errorf("%s: got error %v, want none", name, err)
		}
	}
	for name, change := range map[string]func(map[string]any){
		"id omitted":          func(m map[string]any) { delete(m, "name_id") },
		"invalid id":          func(m map[string]any) { m["name_id"] = "job-../x" },
		"no tasks":            func(m map[string]any) { m["pieces"] = 0 },
		"too many tasks":      func(m map[string]any) { m["pieces"] = 100001 },
		"negative CPUs":       func(m map[string]any) { m["vcpus"] = -1.0 },
		"CPUs omitted":        func(m map[string]any) { delete(m, "vcpus") },
		"memory not a number": func(m map[string]any) { m["mem_gb"] = math.NaN() },
		"infinite estimate":   func(m map[string]any) { m["guess_s"] = math.Inf(1) },
		"huge number of CPUs": func(m map[string]any) { m["vcpus"] = 1e30 },
		"text for number":     func(m map[string]any) { m["vcpus"] = "8" },
		"number for text":     func(m map[string]any) { m["owner"] = 7 },
		"unknown shape":       func(m map[string]any) { m["shape"] = "round" },
		"unknown urgency":     func(m map[string]any) { m["urgency"] = "asap" },
		"urgency omitted":     func(m map[string]any) { delete(m, "urgency") },
		"types not a list":    func(m map[string]any) { m["shapes_of_box"] = "g8" },
		"binary for text":     func(m map[string]any) { m["bundle"] = []byte{1} },
	} {
		m := validSubmission()
		change(m)
		if _, err := checkSubmission(m); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got error %v, want ErrMalformed", name, err)
		}
	}
}

func TestScan(t *testing.T) {
	for name, body := range map[string][]byte{
		"empty body":                    {},
		"array instead of map":          {0x90},
		"trailing bytes":                {0x80, 0x00},
		"number as map key":             {0x81, 0x01, 0x01},
		"array length beyond the body":  {0x81, 0xa1, 'a', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"string length beyond the body": {0x81, 0xa1, 'a', 0xdb, 0xff, 0xff, 0xff, 0xff},
		"extension type":                {0x81, 0xa1, 'a', 0xc7, 0x00, 0x01},
		"nested too deeply":             append([]byte{0x81, 0xa1, 'a'}, bytes.Repeat([]byte{0x91}, 60000)...),
	} {
		if err := Scan(body); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got error %v, want ErrMalformed", name, err)
		}
	}
	body, err := msgpack.Marshal(validSubmission())
	if err != nil {
		t.Fatal(err)
	}
	if err := Scan(body); err != nil {
		t.Errorf("valid submission: %v", err)
	}
}

func TestTaskNames(t *testing.T) {
	if job, i, ok := ParseTaskName(TaskName("job-1", 42)); job != "job-1" || i != 42 || !ok {
		t.Errorf("name of task 42 of job-1 was parsed as %q, %d, %v", job, i, ok)
	}
	for _, bad := range []string{"", "job-1", "job-1/x", "job-1/-1", "job-1/100000"} {
		if _, _, ok := ParseTaskName(bad); ok {
			t.Errorf("invalid task name %q was accepted", bad)
		}
	}
}

func FuzzDecode(f *testing.F) {
	body, _ := msgpack.Marshal(validSubmission())
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
