package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `{"label":"s-0","zone":"a","serve_on":"127.0.0.1:1","cluster_listen":"127.0.0.1:2","future":{"x":1},
"others":[{"label":"s-1","zone":"b","peer_addr":"127.0.0.1:3"}],"services":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"params":{"count":2,"zones":["a","b"],"teams":[{"name":"t","cpus":8.0,"cpus_max":16,"gpus":0,"gpus_max":0}],"objectives":[],
"workers":{"report_s":1,"lease_s":10.0,"cancel_s":30.0},"state":{"rps":100,"write_rps":20,"value_kb":8,"txn_ops":12},
"cloud":{"rps":4,"list_lag_s":6},"machine_limits":{"core_share":0.1,"mem_mb":70,"sockets":600},"time_bound_ms":5}}`

func TestParse(t *testing.T) {
	if _, err := Parse([]byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	// Each change must cause a one-line error that names the field.
	for _, tc := range []struct{ path, value, field string }{
		{"label", `""`, "label"},
		{"serve_on", `"nowhere"`, "serve_on"},
		{"serve_on", `7`, "serve_on"},
		{"params.count", `3`, "params.count"},
		{"params.teams", `[]`, "params.teams"},
		{"params.teams", `[{"name":"t"},{"name":"t"}]`, "params.teams[1].name"},
		{"params.teams", `[{"name":"t","cpus":9,"cpus_max":8}]`, "params.teams[0]"},
		{"params.workers.lease_s", `0.5`, "params.workers.lease_s"},
		{"params.workers.lease_s", `"long"`, "lease_s"},
		{"params.state.rps", `0`, "params.state.rps"},
		{"params.state.txn_ops", `-1`, "params.state.txn_ops"},
		{"params.state.next", `{"txn_ops":0}`, "params.state.next.txn_ops"},
		{"params.state.next", `{"value_kb":-2}`, "params.state.next.value_kb"},
		{"params.state.next", `{"write_rps":"few"}`, "next.write_rps"},
		{"params.state.next", `{"rps":0}`, "params.state.next.rps"},
		{"params.state.next", `[1]`, "next"},
		{"others", `[{"label":"s-0","peer_addr":"127.0.0.1:3"}]`, "others[0].label"},
		{"services.state", `""`, "services.state"},
	} {
		var m map[string]any
		if err := json.Unmarshal([]byte(validSettings), &m); err != nil {
			t.Fatal(err)
		}
		at := m
		steps := strings.Split(tc.path, ".")
		for _, s := range steps[:len(steps)-1] {
			at = at[s].(map[string]any)
		}
		at[steps[len(steps)-1]] = json.RawMessage(tc.value)
		data, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(data)
		if err == nil || !strings.Contains(err.Error(), tc.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %s: error %v, want one line that names the field", tc.path, tc.value, err)
		}
	}
}

// Announced limits may be absent, partial, or higher than the present ones, and have unknown fields.
func TestAnnouncedLimits(t *testing.T) {
	for next, want := range map[string]StateStoreLimits{
		``:                               {RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		`,"next":null`:                   {RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		`,"next":{}`:                     {RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		`,"next":{"value_kb":2,"odd":1}`: {RPS: 100, WriteRPS: 20, ValueKB: 2, TxnOps: 12},
		`,"next":{"txn_ops":5,"write_rps":15.0,"value_kb":16,"rps":300}`: {RPS: 100, WriteRPS: 15, ValueKB: 8, TxnOps: 5},
	} {
		s, err := Parse([]byte(strings.Replace(validSettings, `"txn_ops":12`, `"txn_ops":12`+next, 1)))
		if err != nil {
			t.Errorf("Parse with limits %s: %v", next, err)
		} else if got := s.Params.State.Lower(); got != want {
			t.Errorf("limits with %s: %+v, want %+v", next, got, want)
		}
	}
}

func TestLoadOperator(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "op.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	if op, err := LoadOperator(""); err != nil || op != DefaultOperator() {
		t.Errorf("LoadOperator without a file = %+v, %v, want the defaults", op, err)
	}
	if op, err := LoadOperator(write("limit_share: 0.5\nmove_period: 2s\n")); err != nil || op.UseLimit != 0.5 || op.MovePeriod != 2*time.Second {
		t.Errorf("LoadOperator = %+v, %v, want limit_share 0.5 and move_period 2s", op, err)
	}
	if _, err := LoadOperator(write("")); err != nil {
		t.Errorf("LoadOperator of an empty file: %v, want no error", err)
	}
	for _, bad := range []string{"limit_shar: 1", "limit_share: 2", "limit_share: .nan", "claim_ttl: 1ms", "idle_return: soon", "[]"} {
		if _, err := LoadOperator(write(bad)); err == nil {
			t.Errorf("LoadOperator accepted the invalid %q", bad)
		}
	}
}
