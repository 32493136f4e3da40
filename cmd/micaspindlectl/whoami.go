package main

import (
	"context"
	"strings"

	"micaspindle/internal/protocol"
)

// whoamiCmd shows the identity and the rights that the cluster assigns to the caller.
type whoamiCmd struct{}

// whoamiView is the answer as JSON.
type whoamiView struct {
	Name          string   `json:"name"`
	How           string   `json:"how"`
	Verbs         []string `json:"verbs"`
	PolicyVersion uint64   `json:"policy_version"`
}

// Run requests the caller's identity from a controller and prints it.
func (whoamiCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var caller protocol.WhoAmI
	if err := cl.Do(ctx, "GET", "/whoami", nil, &caller); err != nil {
		return err
	}
	rows := [][]any{{caller.Name, caller.How, orNone(strings.Join(caller.Verbs, " ")), caller.PolicyVersion}}
	return c.print(whoamiView(caller), "NAME\tAUTHENTICATED BY\tRIGHTS ON SOME QUEUE\tPOLICY", rows)
}
