package rights_test

import (
	"reflect"
	"testing"

	"go.yaml.in/yaml/v3"

	"micaspindle/internal/golden"
	"micaspindle/internal/rights"
)

// The encoding of the messages that read and change the policy stays compatible.
func TestGoldenMessages(t *testing.T) {
	for name, message := range map[string]any{
		"change":  golden.Fill(&rights.Change{}),
		"version": golden.Fill(&rights.ChangeResult{}),
		"page":    golden.Fill(&rights.Page{}),
	} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, message, golden.MessagePack) })
	}
}

// The format of policy files stays compatible. Files don't contain TokensRevokedBeforeMS.
func TestGoldenFile(t *testing.T) {
	want := golden.Fill(&rights.Document{})
	for i := range want.Identities {
		want.Identities[i].TokensRevokedBeforeMS = 0
	}
	text, err := yaml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	got, stored := &rights.Document{}, golden.CheckText(t, "policy.yaml", string(text))
	if err := yaml.Unmarshal([]byte(stored), got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("policy.yaml decodes to %+v (error %v), want %+v", got, err, want)
	}
}

// The names of verbs in policies stay compatible.
func TestGoldenVerbs(t *testing.T) {
	for verb, want := range map[rights.Verb]string{
		rights.Submit: "submit", rights.View: "view", rights.ViewArguments: "view-arguments", rights.Cancel: "withdraw",
		rights.Reassign: "reassign", rights.Administer: "administer", rights.ActOnBehalf: "vouch",
	} {
		if got := verb.String(); got != want {
			t.Errorf("verb %d is %q, want %q", verb, got, want)
		}
	}
}
