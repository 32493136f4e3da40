package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/rights"
)

// editIdentities edits the named identities in the cluster's policy. If the policy changes
// meanwhile, it starts again from the latest version. edit reports whether it changed the identity.
func editIdentities(ctx context.Context, c *cli, names []string, edit func(*rights.Identity) bool) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	for {
		document, page, err := fetchPolicy(ctx, cl)
		if err != nil {
			return err
		}
		edits, err := editedIdentities(document, names, edit)
		if err != nil {
			return err
		}
		version := page.Version
		if edits.Size() > 0 {
			version, err = applyChange(ctx, cl, edits, version)
		}
		if isConflict(err) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		view := map[string]any{"version": version, "changed": edits.Size()}
		return c.print(view, "VERSION\tCHANGED", [][]any{{version, edits.Size()}})
	}
}

// editedIdentities returns the change of the policy that edits the named identities.
func editedIdentities(document *rights.Document, names []string, edit func(*rights.Identity) bool) (*rights.Change, error) {
	edits := new(rights.Change)
	for _, name := range names {
		found := false
		for _, identity := range document.Identities {
			if identity.Name != name {
				continue
			}
			found = true
			if edit(&identity) {
				edits.PutIdentities = append(edits.PutIdentities, identity)
			}
		}
		if !found {
			return nil, usageError{fmt.Errorf("the policy does not name %s", name)}
		}
	}
	return edits, nil
}

// isConflict reports whether a change was refused because the policy has a newer version.
func isConflict(err error) bool {
	var refusal *client.Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusConflict
}

// policyRevokeCmd revokes identities.
type policyRevokeCmd struct {
	Names []string `arg:"" name:"name" help:"Identities, KIND/ID."`
}

// Help describes the effect on jobs and shows an example.
func (policyRevokeCmd) Help() string {
	return "The jobs of revoked identities keep running; 'micaspindlectl cancel-all' cancels them.\nThe last administrator can't be revoked.\n\nExample:\n  micaspindlectl policy revoke person/anna"
}

// Run revokes identities.
func (p *policyRevokeCmd) Run(ctx context.Context, c *cli) error {
	return setRevoked(ctx, c, p.Names, true)
}

// policyRestoreCmd restores revoked identities.
type policyRestoreCmd struct {
	Names []string `arg:"" name:"name" help:"Identities, KIND/ID."`
}

// Run restores identities.
func (p *policyRestoreCmd) Run(ctx context.Context, c *cli) error {
	return setRevoked(ctx, c, p.Names, false)
}

// setRevoked revokes or restores identities.
func setRevoked(ctx context.Context, c *cli, names []string, revoked bool) error {
	return editIdentities(ctx, c, names, func(id *rights.Identity) bool {
		changed := id.Revoked != revoked
		id.Revoked = revoked
		return changed
	})
}

// policyRevokeTokensCmd revokes all tokens that identities were issued until now.
type policyRevokeTokensCmd struct {
	Names []string `arg:"" name:"name" help:"Identities, KIND/ID."`
}

// Run revokes tokens.
func (p *policyRevokeTokensCmd) Run(ctx context.Context, c *cli) error {
	now := time.Now().UnixMilli()
	return editIdentities(ctx, c, p.Names, func(id *rights.Identity) bool {
		id.TokensRevokedBeforeMS = now
		return true
	})
}
