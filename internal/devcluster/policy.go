package devcluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/rights"
	"micaspindle/internal/rights/policyfile"
)

// policyInterval is the interval of polls for a controller's policy version.
const policyInterval = 50 * time.Millisecond

// initialPolicy returns the initial policy of a cluster with these front ends.
func initialPolicy(frontEnds []*FrontEnd) *rights.Document {
	build := []string{"submit", "view", "view-arguments", "withdraw"}
	all := append(slices.Clone(build), "reassign", "administer")
	document := &rights.Document{
		Roles: []rights.Role{
			{Name: "administrator", Rules: []rights.Rule{{Verbs: all, Team: "*", Class: "*"}}},
			{Name: "builder", Rules: []rights.Rule{{Verbs: build, Team: "*", Class: "build"}}},
			{Name: "gate", Rules: []rights.Rule{{Verbs: []string{"vouch", "view", "withdraw"}, Team: "*", Class: "build"}}},
			{Name: "clerk", Rules: []rights.Rule{{Verbs: []string{"submit", "view", "withdraw", "reassign"}, Team: "placements-desk", Class: "*"}}},
			{Name: "guest", Rules: []rights.Rule{{Verbs: []string{"view"}, Team: "*", Class: "*"}}},
			{Name: "refunds", Rules: []rights.Rule{{Verbs: build, Team: "payments", Class: "refund-batch"}}},
		},
		Identities: []rights.Identity{
			{Name: "person/anna", Roles: []string{"clerk"}},
			{Name: "person/partner", Roles: []string{"guest"}},
			{Name: Administrator, Roles: []string{"administrator"}},
			{Name: Builder, Roles: []string{"builder"}},
			{Name: "service/refunds", Roles: []string{"refunds"}},
		},
	}
	for _, frontEnd := range frontEnds {
		document.Identities = append(document.Identities, rights.Identity{Name: frontEnd.identity(), Roles: []string{"gate"}})
	}
	return document
}

// WritePolicy writes the policy in a file, or the initial policy if file is empty, and waits until
// every controller has applied it.
func (c *Cluster) WritePolicy(ctx context.Context, file string) error {
	document := initialPolicy(c.frontEnds)
	if file != "" {
		var err error
		if document, err = readPolicy(file); err != nil {
			return err
		}
	}
	administrator, err := c.Client(Administrator)
	if err != nil {
		return err
	}
	version, err := writePolicy(ctx, administrator, document)
	if err != nil {
		return err
	}
	for _, node := range c.nodes {
		if err := awaitPolicy(ctx, administrator.ForController(node.Addr), version); err != nil {
			return err
		}
	}
	return nil
}

// readPolicy reads a policy from a file. The policy must name the administrator, as whom
// WritePolicy writes it.
func readPolicy(file string) (*rights.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	document, err := policyfile.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if !slices.ContainsFunc(document.Identities, func(i rights.Identity) bool { return i.Name == Administrator }) {
		return nil, errors.New(file + ": the policy must name " + Administrator + ", the administrator of this cluster")
	}
	return document, nil
}

// writePolicy writes a policy as one or more changes, each as large as the controllers allow, and
// returns its version.
func writePolicy(ctx context.Context, administrator *client.Client, document *rights.Document) (version uint64, err error) {
	var page rights.Page
	if err := administrator.Do(ctx, http.MethodGet, "/policy/roles", nil, &page); err != nil {
		return version, err
	}
	plan, err := policyfile.Plan(&rights.Document{}, document, page.MaxChanges)
	if err != nil {
		return version, err
	}
	version = page.Version
	for i := range plan {
		plan[i].Version = version
		var written rights.ChangeResult
		if err := administrator.Do(ctx, http.MethodPost, "/policy", &plan[i], &written); err != nil {
			return version, err
		}
		version = written.Version
	}
	return version, nil
}

// awaitPolicy waits until a controller has applied a version of the policy.
func awaitPolicy(ctx context.Context, controller *client.Client, version uint64) error {
	for {
		var page rights.Page
		if err := controller.Do(ctx, http.MethodGet, "/policy/roles", nil, &page); err != nil {
			return err
		}
		if page.Version == version {
			return nil
		}
		time.Sleep(policyInterval)
	}
}
