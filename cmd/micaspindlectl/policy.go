package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"micaspindle/internal/client"
	"micaspindle/internal/rights"
	"micaspindle/internal/rights/policyfile"
)

type policyCmd struct {
	Check      policyCheckCmd   `cmd:"" help:"Check a policy file."`
	Apply      policyApplyCmd   `cmd:"" help:"Bring the cluster to a policy file."`
	Show       policyShowCmd    `cmd:"" help:"Print the cluster's policy as a policy file."`
	Revoke     policyRevokeCmd  `cmd:"" help:"Revoke identities, on every controller within 3 s."`
	Restore    policyRestoreCmd `cmd:"" help:"Take a revocation back."`
	VoidTokens policyVoidCmd    `cmd:"" help:"Void every token of an identity that was issued until now."`
	Schema     policySchemaCmd  `cmd:"" help:"Print the JSON schema of policy files."`
}

type policySchemaCmd struct{}

// Run prints the schema.
func (policySchemaCmd) Run() error {
	fmt.Print(policyfile.Schema)
	return nil
}

type policyCheckCmd struct {
	File string `arg:"" type:"path" help:"Policy file (YAML)."`
}

func readPolicy(path string) (*rights.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	d, err := policyfile.Parse(data)
	if err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return d, nil
}

// Run checks a policy file.
func (p *policyCheckCmd) Run() error {
	d, err := readPolicy(p.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s is good: %d roles, %d identities\n", p.File, len(d.Roles), len(d.Identities))
	return nil
}

// fetchPolicy reads the cluster's policy, all of one version.
func fetchPolicy(ctx context.Context, cl *client.Client) (*rights.Document, rights.Page, error) {
	for {
		d := new(rights.Document)
		var last rights.Page
		changed := false
		for _, what := range []string{"roles", "identities"} {
			after := ""
			for more := true; more; more = last.More {
				var page rights.Page
				if err := cl.Do(ctx, "GET", "/policy/"+what+"?after="+url.QueryEscape(after), nil, &page); err != nil {
					return nil, page, err
				}
				changed = changed || last.MaxChanges != 0 && page.Version != last.Version
				d.Roles, d.Identities, last = append(d.Roles, page.Roles...), append(d.Identities, page.Identities...), page
				if n := len(page.Roles); n > 0 {
					after = page.Roles[n-1].Name
				}
				if n := len(page.Identities); n > 0 {
					after = page.Identities[n-1].Name
				}
			}
		}
		if !changed {
			return d, last, nil
		}
	}
}

type policyApplyCmd struct {
	File   string `arg:"" type:"path" help:"Policy file (YAML); what it does not name is dropped."`
	DryRun bool   `help:"Only say what would be changed."`
}

// Help shows examples.
func (policyApplyCmd) Help() string {
	return "A large difference goes in steps, each of which leaves a policy that holds; if it is cut\nshort, apply it again.\n\nExample:\n  micaspindlectl policy apply policy.yaml --dry-run"
}

// Run applies a policy file.
func (p *policyApplyCmd) Run(ctx context.Context, c *cli) error {
	want, err := readPolicy(p.File)
	if err != nil {
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	now, page, err := fetchPolicy(ctx, cl)
	if err != nil {
		return err
	}
	plan, err := policyfile.Plan(now, want, page.MaxChanges)
	if err != nil {
		return usageError{err}
	}
	records := 0
	for _, ch := range plan {
		records += ch.Size()
	}
	view := map[string]any{"version": page.Version, "records": records, "steps": len(plan), "applied": !p.DryRun}
	if !p.DryRun {
		version := page.Version
		for i := range plan {
			if version, err = change(ctx, cl, &plan[i], version); err != nil {
				return fmt.Errorf("step %d of %d: %w", i+1, len(plan), err)
			}
			if len(plan) > 1 {
				fmt.Fprintf(os.Stderr, "step %d of %d\n", i+1, len(plan))
			}
		}
		view["version"] = version
	}
	return c.print(view, "VERSION\tRECORDS CHANGED\tSTEPS\tAPPLIED", [][]any{{view["version"], records, len(plan), !p.DryRun}})
}

// change makes one change of the policy and returns its version.
func change(ctx context.Context, cl *client.Client, ch *rights.Change, version uint64) (uint64, error) {
	ch.Version = version
	var v rights.Version
	err := cl.Do(ctx, "POST", "/policy", ch, &v)
	return v.Version, err
}

type policyShowCmd struct{}

// Run prints the policy.
func (policyShowCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	d, page, err := fetchPolicy(ctx, cl)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return c.print(map[string]any{"version": page.Version, "roles": d.Roles, "identities": d.Identities}, "", nil)
	}
	out, err := yaml.Marshal(d)
	if err != nil {
		return err
	}
	fmt.Printf("# version %d\n%s", page.Version, out)
	return nil
}

// edit changes identities of the cluster's policy, again if somebody else was
// faster.
func edit(ctx context.Context, c *cli, names []string, f func(*rights.Identity) bool) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	for {
		d, page, err := fetchPolicy(ctx, cl)
		if err != nil {
			return err
		}
		ch := rights.Change{}
		for _, name := range names {
			found := false
			for _, id := range d.Identities {
				if id.Name != name {
					continue
				}
				found = true
				if f(&id) {
					ch.PutIdentities = append(ch.PutIdentities, id)
				}
			}
			if !found {
				return usageError{fmt.Errorf("the policy does not name %s", name)}
			}
		}
		version := page.Version
		if ch.Size() > 0 {
			if version, err = change(ctx, cl, &ch, version); err != nil {
				var refusal *client.Refusal
				if errors.As(err, &refusal) && refusal.Status == 409 && ctx.Err() == nil {
					continue
				}
				return err
			}
		}
		return c.print(map[string]any{"version": version, "changed": ch.Size()}, "VERSION\tCHANGED", [][]any{{version, ch.Size()}})
	}
}

type policyRevokeCmd struct {
	Names []string `arg:"" name:"name" help:"Identities, KIND/ID."`
}

// Help shows examples.
func (policyRevokeCmd) Help() string {
	return "Jobs that they have submitted go on for their queue; 'micaspindlectl withdraw-all' ends them.\nThe last administrator can't be revoked.\n\nExample:\n  micaspindlectl policy revoke person/anna"
}

// Run revokes identities.
func (p *policyRevokeCmd) Run(ctx context.Context, c *cli) error {
	return setRevoked(ctx, c, p.Names, true)
}

type policyRestoreCmd struct {
	Names []string `arg:"" name:"name" help:"Identities, KIND/ID."`
}

// Run takes revocations back.
func (p *policyRestoreCmd) Run(ctx context.Context, c *cli) error {
	return setRevoked(ctx, c, p.Names, false)
}

func setRevoked(ctx context.Context, c *cli, names []string, revoked bool) error {
	return edit(ctx, c, names, func(id *rights.Identity) bool {
		changed := id.Revoked != revoked
		id.Revoked = revoked
		return changed
	})
}

type policyVoidCmd struct {
	Names []string `arg:"" name:"name" help:"Identities, KIND/ID."`
}

// Run voids tokens.
func (p *policyVoidCmd) Run(ctx context.Context, c *cli) error {
	now := time.Now().UnixMilli()
	return edit(ctx, c, p.Names, func(id *rights.Identity) bool {
		id.TokensFromMS = now
		return true
	})
}
