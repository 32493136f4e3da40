package main

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/term"

	"micaspindle/internal/audit"
	"micaspindle/internal/audit/archive"
	"micaspindle/internal/client"
)

type auditCmd struct {
	List   auditListCmd   `cmd:"" help:"List records, of the cluster or of an export."`
	Export auditExportCmd `cmd:"" help:"Write everything to a file that stands for itself."`
	Verify auditVerifyCmd `cmd:"" help:"Say whether an export is what was written."`
}

// believed are the authorities whose signatures count.
func (c *cli) believed() (*x509.CertPool, error) {
	if c.Roots == "" {
		return nil, usageError{errors.New("--roots is needed: whose signatures are to be believed?")}
	}
	return readRoots(c.Roots)
}

// export reads the cluster's audit.
func export(ctx context.Context, cl *client.Client, w io.Writer) error {
	var seal audit.Seal
	if err := cl.Do(ctx, "GET", "/audit/seal", nil, &seal); err != nil {
		return err
	}
	terminal := term.IsTerminal(int(os.Stderr.Fd()))
	shown := time.Now()
	return archive.Export(ctx, w, &seal, func(ctx context.Context, chain string, after uint64) ([]audit.Numbered, error) {
		var page struct {
			Batches []audit.Numbered `msgpack:"batches"`
		}
		err := cl.Do(ctx, "GET", "/audit/batches?chain="+url.QueryEscape(chain)+"&after="+strconv.FormatUint(after, 10), nil, &page)
		return page.Batches, err
	}, func(done, all uint64) {
		if time.Since(shown) < time.Second && done < all {
			return
		}
		shown = time.Now()
		if terminal {
			fmt.Fprintf(os.Stderr, "\r\033[K%d of %d batches", done, all)
			if done == all {
				fmt.Fprintln(os.Stderr)
			}
		} else if done < all {
			fmt.Fprintf(os.Stderr, "%d of %d batches\n", done, all)
		}
	})
}

type auditExportCmd struct {
	File string `arg:"" type:"path" help:"File to write; with .zst at its end it is compressed."`
}

// Help shows examples.
func (auditExportCmd) Help() string {
	return "Keep exports where those who run the cluster can't change them: they also show later\nwhether the cluster's own records were cut off.\n\nExample:\n  micaspindlectl audit export 2027-01.jsonl.zst"
}

// Run exports the audit. The file appears whole or not at all.
func (a *auditExportCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	if _, err := os.Stat(a.File); err == nil {
		return usageError{fmt.Errorf("%s exists; an export never replaces another", a.File)}
	}
	part := a.File + ".part"
	f, err := os.OpenFile(part, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return usageError{err}
	}
	defer os.Remove(part) //nolint:errcheck // gone once renamed
	write := func(w io.Writer) error { return export(ctx, cl, w) }
	if strings.HasSuffix(a.File, ".zst") {
		err = archive.Compress(f, write)
	} else {
		err = write(f)
	}
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(part, a.File); err != nil {
		return err
	}
	info, err := os.Stat(a.File)
	if err != nil {
		return err
	}
	return c.print(map[string]any{"file": a.File, "bytes": info.Size()}, "FILE\tBYTES", [][]any{{a.File, info.Size()}})
}

type auditVerifyCmd struct {
	File string `arg:"" type:"path" help:"Export."`
}

// Help shows examples.
func (auditVerifyCmd) Help() string {
	return "Needs --roots, the authority's certificates; speaks to no controller. Exit code 1 means\nthat something was altered, removed, reordered or cut off.\n\nExample:\n  micaspindlectl audit verify 2027-01.jsonl.zst --roots root.pem"
}

func (c *cli) verify(file string) (*archive.Verified, error) {
	roots, err := c.believed()
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	if data, err = archive.Open(data); err != nil {
		return nil, err
	}
	return archive.Verify(bytes.NewReader(data), roots)
}

// Run verifies an export.
func (a *auditVerifyCmd) Run(c *cli) error {
	v, err := c.verify(a.File)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		if err := c.print(v, "", nil); err != nil {
			return err
		}
	} else {
		var rows [][]any
		for _, end := range v.Chains {
			rows = append(rows, []any{end.Chain, end.Number, end.Hash[:min(16, len(end.Hash))]})
		}
		if err := c.print(nil, "CONTROLLER\tBATCHES\tLAST HASH", rows); err != nil {
			return err
		}
		for _, p := range v.Problems {
			fmt.Println(p)
		}
	}
	if n := len(v.Problems); n > 0 {
		return fmt.Errorf("%s is not what was written: %d problems", a.File, n)
	}
	if c.Output != "json" {
		fmt.Printf("%d records, standing for %d actions and refusals, are what was written until %s (sealed by %s).\n", v.Records, v.Counted,
			v.SealedAt.Format(time.RFC3339), v.SealedBy)
	}
	return nil
}

type auditListCmd struct {
	File   string        `type:"path" help:"Read an export instead of the cluster."`
	Who    string        `help:"Only of this identity; - for nobody known."`
	Job    string        `help:"Only about this job."`
	Team   string        `help:"Only about this team."`
	Verb   string        `help:"Only this verb, for example submit, withdraw, reassign, change-policy."`
	Denied bool          `help:"Only what was refused."`
	Since  time.Duration `help:"Only of the last so long, for example 24h."`
}

// Help shows examples.
func (auditListCmd) Help() string {
	return "Examples:\n  micaspindlectl audit list --who person/anna --since 24h\n  micaspindlectl audit list --job job-17 -o json\n  micaspindlectl audit list --file 2027-01.jsonl.zst --denied"
}

// Run lists records. They are listed also where the verifier finds problems,
// which are said and end the command with 1.
func (a *auditListCmd) Run(ctx context.Context, c *cli) error {
	var v *archive.Verified
	var err error
	if a.File != "" {
		v, err = c.verify(a.File)
	} else {
		var cl *client.Client
		if cl, err = c.client(); err != nil {
			return err
		}
		var out bytes.Buffer
		if err = export(ctx, cl, &out); err != nil {
			return err
		}
		roots, rerr := c.believed()
		if rerr != nil {
			return rerr
		}
		v, err = archive.Verify(&out, roots)
	}
	if err != nil {
		return err
	}
	kept := []archive.ReadRecord{}
	for _, r := range v.Read {
		if a.keeps(&r.Record) {
			kept = append(kept, r)
		}
	}
	if c.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		for i := range kept {
			if err := enc.Encode(&kept[i]); err != nil {
				return err
			}
		}
	} else {
		var rows [][]any
		for i := range kept {
			r := &kept[i]
			count := ""
			if r.Count > 1 {
				count = "x" + strconv.FormatUint(r.Count, 10)
			}
			queue := strings.Trim(r.Team+"/"+r.Class, "/")
			rows = append(rows, []any{r.At.Format("2006-01-02 15:04:05.000"), r.Chain, orNone(r.Who), r.Verb, orNone(queue), orNone(r.Job), r.Outcome, count,
				strings.TrimSpace(r.Reason + " " + r.Detail)})
		}
		if err := c.print(nil, "TIME (UTC)\tCONTROLLER\tWHO\tVERB\tQUEUE\tJOB\tOUTCOME\tCOUNT\tWHY", rows); err != nil {
			return err
		}
	}
	for _, p := range v.Problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if n := len(v.Problems); n > 0 {
		return fmt.Errorf("the audit is not what was written: %d problems", n)
	}
	return nil
}

func (a *auditListCmd) keeps(r *audit.Record) bool {
	last := r.At
	if r.Until != nil {
		last = *r.Until
	}
	return (a.Who == "" || a.Who == r.Who || a.Who == "-" && r.Who == "") && (a.Job == "" || a.Job == r.Job) && (a.Team == "" || a.Team == r.Team) &&
		(a.Verb == "" || a.Verb == r.Verb) && (!a.Denied || r.Outcome == audit.Denied) && (a.Since == 0 || time.Since(last) <= a.Since)
}
