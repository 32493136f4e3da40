package main

import (
	"context"
	"strings"

	"micaspindle/internal/protocol"
)

// whoamiCmd shows the caller's identity and rights as the cluster sees them.
type whoamiCmd struct{}

// whoamiView is the answer as JSON.
type whoamiView struct {
	Name          string   `json:"name"`
	How           string   `json:"how"`
	Verbs         []string `json:"verbs"`
	PolicyVersion uint64   `json:"policy_version"`
}

// Run asks a controller and shows its answer.
func (whoamiCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var who protocol.WhoAmI
	if err := cl.Do(ctx, "GET", "/whoami", nil, &who); err != nil {
		return err
	}
	rows := [][]any{{who.Name, who.How, orNone(strings.Join(who.Verbs, " ")), who.PolicyVersion}}
	return c.print(whoamiView(who), "NAME\tAUTHENTICATED BY\tRIGHTS ON SOME QUEUE\tPOLICY", rows)
}
