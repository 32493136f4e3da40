package settings

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"micaspindle/internal/golden"
)

// goldenPlatform returns platform settings in which every field is set to a valid value.
func goldenPlatform() *Settings {
	s := golden.Fill(&Settings{})
	s.ServeOn, s.ClusterListen = "10.0.0.1:1001", "10.0.0.1:1002"
	s.Others[0].PeerAddr, s.Others[1].PeerAddr = "10.0.0.2:1003", "10.0.0.3:1004"
	s.Services = Services{Cloud: "10.0.0.4:1005", State: "10.0.0.5:1006"}
	s.Params.ControllerCount = len(s.Others) + 1
	s.Params.AgentTimes = AgentTimes{HeartbeatS: 1.25, LeaseS: 10.25, CancelS: 30.25}
	return s
}

// Guards against changes in how the platform's settings file is read.
func TestGoldenPlatform(t *testing.T) {
	want := goldenPlatform()
	golden.RequireFilled(t, want)
	text, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	stored := golden.CheckText(t, "platform.json", string(text)+"\n")
	if got, err := Parse([]byte(stored)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v (%v), want %+v", got, err, want)
	}
}

// Guards against changes in how the operators' settings file is read.
func TestGoldenOperator(t *testing.T) {
	want := golden.Fill(&Operator{})
	want.UseLimit = 0.75
	want.MovePeriod, want.IdleReturn, want.LeaseTTL = 2*time.Second, 20*time.Second, 4*time.Second
	want.Operations.Listen = "127.0.0.1:1007"
	golden.RequireFilled(t, want)
	text, err := yaml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckText(t, "operator.yaml", string(text))
	got, err := LoadOperator(filepath.Join("testdata", "golden", "operator.yaml"))
	if err != nil || !reflect.DeepEqual(&got, want) {
		t.Errorf("read as %+v (%v), want %+v", got, err, want)
	}
}
