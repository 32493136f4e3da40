package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"go.yaml.in/yaml/v3"

	"micaspindle/internal/client"
	"micaspindle/internal/rights"
	"micaspindle/internal/rights/policyfile"
)

// policyCmd holds the commands for the access policy.
type policyCmd struct {
	Check        policyCheckCmd        `cmd:"" help:"Validate a policy file."`
	Apply        policyApplyCmd        `cmd:"" help:"Replace the cluster's policy with a policy file."`
	Show         policyShowCmd         `cmd:"" help:"Print the cluster's policy as a policy file."`
	Revoke       policyRevokeCmd       `cmd:"" help:"Revoke identities; effective on every controller within 3 s."`
	Restore      policyRestoreCmd      `cmd:"" help:"Restore revoked identities."`
	RevokeTokens policyRevokeTokensCmd `cmd:"" help:"Revoke all tokens of an identity that were issued until now."`
	Schema       policySchemaCmd       `cmd:"" help:"Print the JSON schema of policy files."`

	// The former name of a command, kept for one release.
	VoidTokens policyRevokeTokensCmd `cmd:"" hidden:"" help:"Former name of revoke-tokens."`
}

// policySchemaCmd prints the JSON schema of policy files.
type policySchemaCmd struct{}

// Run prints the schema.
func (policySchemaCmd) Run() error {
	fmt.Print(policyfile.Schema)
	return nil
}

// policyCheckCmd validates a policy file.
type policyCheckCmd struct {
	File string `arg:"" type:"path" help:"Policy file (YAML)."`
}

// readPolicy reads and validates a policy file.
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

// Run validates a policy file and prints a summary.
func (p *policyCheckCmd) Run() error {
	d, err := readPolicy(p.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s is good: %d roles, %d identities\n", p.File, len(d.Roles), len(d.Identities))
	return nil
}

// fetchPolicy reads the cluster's policy page by page, and starts again if the policy changes
// meanwhile. It returns the policy and the last page, which has the policy's version.
func fetchPolicy(ctx context.Context, cl *client.Client) (*rights.Document, rights.Page, error) {
	for {
		document := new(rights.Document)
		roles, err := fetchPolicyPages(ctx, cl, "roles", document)
		if err != nil {
			return nil, rights.Page{}, err
		}
		identities, err := fetchPolicyPages(ctx, cl, "identities", document)
		if err != nil {
			return nil, rights.Page{}, err
		}
		if roles.consistent && identities.consistent && roles.last.Version == identities.last.Version {
			return document, identities.last, nil
		}
	}
}

// policyPages describes the pages that fetchPolicyPages has read.
type policyPages struct {
	last       rights.Page
	consistent bool // all pages have the same policy version
}

// fetchPolicyPages reads all entries of a kind, "roles" or "identities", and adds them to the
// document.
func fetchPolicyPages(ctx context.Context, cl *client.Client, kind string, document *rights.Document) (policyPages, error) {
	var first *rights.Page
	pages := policyPages{consistent: true}
	after := ""
	for {
		var page rights.Page
		if err := cl.Do(ctx, http.MethodGet, "/policy/"+kind+"?after="+url.QueryEscape(after), nil, &page); err != nil {
			return pages, err
		}
		if first == nil {
			first = &page
		}
		pages.last = page
		pages.consistent = pages.consistent && page.Version == first.Version
		document.Roles = append(document.Roles, page.Roles...)
		document.Identities = append(document.Identities, page.Identities...)
		if n := len(page.Roles); n > 0 {
			after = page.Roles[n-1].Name
		}
		if n := len(page.Identities); n > 0 {
			after = page.Identities[n-1].Name
		}
		if !page.More {
			return pages, nil
		}
	}
}

// policyApplyCmd replaces the cluster's policy with a policy file.
type policyApplyCmd struct {
	File   string `arg:"" type:"path" help:"Policy file (YAML); roles and identities that it does not name are removed."`
	DryRun bool   `help:"Only print what would change."`
}

// Help describes the command and shows an example.
func (policyApplyCmd) Help() string {
	return "A large difference is applied in steps, each of which leaves a valid policy. If the command\nis interrupted, run it again.\n\nExample:\n  micaspindlectl policy apply policy.yaml --dry-run"
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
	current, page, err := fetchPolicy(ctx, cl)
	if err != nil {
		return err
	}
	plan, err := policyfile.Plan(current, want, page.MaxChanges)
	if err != nil {
		return usageError{err}
	}
	records := 0
	for _, step := range plan {
		records += step.Size()
	}
	view := map[string]any{"version": page.Version, "records": records, "steps": len(plan), "applied": !p.DryRun}
	if !p.DryRun {
		version := page.Version
		for i := range plan {
			if version, err = applyChange(ctx, cl, &plan[i], version); err != nil {
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

// applyChange changes the policy if it still has the given version, and returns the new version.
func applyChange(ctx context.Context, cl *client.Client, ch *rights.Change, version uint64) (uint64, error) {
	ch.Version = version
	var v rights.ChangeResult
	err := cl.Do(ctx, "POST", "/policy", ch, &v)
	return v.Version, err
}

// policyShowCmd prints the cluster's policy.
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
	if c.Output == outputJSON {
		return c.print(map[string]any{"version": page.Version, "roles": d.Roles, "identities": d.Identities}, "", nil)
	}
	out, err := yaml.Marshal(d)
	if err != nil {
		return err
	}
	fmt.Printf("# version %d\n%s", page.Version, out)
	return nil
}
