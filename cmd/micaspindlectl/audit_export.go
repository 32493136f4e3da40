package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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

// progressInterval is the minimum time between two progress reports.
const progressInterval = time.Second

// exportAudit writes the cluster's audit log to w, up to a seal that a controller signs for this
// export.
func exportAudit(ctx context.Context, cl *client.Client, w io.Writer) error {
	var seal audit.Seal
	if err := cl.Do(ctx, http.MethodGet, "/audit/seal", nil, &seal); err != nil {
		return err
	}
	fetch := func(ctx context.Context, chain string, after uint64) ([]audit.NumberedBatch, error) {
		var page struct {
			Batches []audit.NumberedBatch `msgpack:"batches"`
		}
		query := "?chain=" + url.QueryEscape(chain) + "&after=" + strconv.FormatUint(after, 10)
		err := cl.Do(ctx, http.MethodGet, "/audit/batches"+query, nil, &page)
		return page.Batches, err
	}
	return archive.Export(ctx, w, &seal, fetch, exportProgress())
}

// exportProgress returns a function that prints the number of exported batches to standard error. On
// a terminal, one line is rewritten; other outputs receive a line for each report.
func exportProgress() func(done, total uint64) {
	terminal := term.IsTerminal(int(os.Stderr.Fd()))
	lastReport := time.Now()
	return func(done, total uint64) {
		if time.Since(lastReport) < progressInterval && done < total {
			return
		}
		lastReport = time.Now()
		switch {
		case terminal:
			fmt.Fprintf(os.Stderr, "\r\033[K%d of %d batches", done, total)
			if done == total {
				fmt.Fprintln(os.Stderr)
			}
		case done < total:
			fmt.Fprintf(os.Stderr, "%d of %d batches\n", done, total)
		}
	}
}

// auditExportCmd writes the audit log to a file.
type auditExportCmd struct {
	File string `arg:"" type:"path" help:"File to write; compressed if its name ends with .zst."`
}

// Help shows examples.
func (auditExportCmd) Help() string {
	return "Keep exports where operators of the cluster can't change them: an old export also proves\nwhether records of the cluster were removed later.\n\nExample:\n  micaspindlectl audit export 2027-01.jsonl.zst"
}

// Run exports the audit log. The file appears only once it is complete.
func (a *auditExportCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	if _, err := os.Stat(a.File); err == nil {
		return usageError{fmt.Errorf("%s exists; an export never replaces another", a.File)}
	}
	write := func(w io.Writer) error { return exportAudit(ctx, cl, w) }
	if err := writeAtomically(a.File, write); err != nil {
		return err
	}
	info, err := os.Stat(a.File)
	if err != nil {
		return err
	}
	return c.print(map[string]any{"file": a.File, "bytes": info.Size()}, "FILE\tBYTES", [][]any{{a.File, info.Size()}})
}

// writeAtomically writes a file under a temporary name and renames it once it is complete. If the
// name ends with .zst, the file is compressed.
func writeAtomically(path string, write func(io.Writer) error) error {
	temporary := path + ".part"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return usageError{err}
	}
	defer os.Remove(temporary) //nolint:errcheck // does not exist after the rename
	if strings.HasSuffix(path, ".zst") {
		err = archive.Compress(f, write)
	} else {
		err = write(f)
	}
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
