package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"micaspindle/internal/regress"
)

// outputJSON is the value of --output for JSON instead of a table.
const outputJSON = "json"

// printJSON writes v as indented JSON to standard output.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printComparison prints the rows. incomplete is the error of runs that did not complete, or nil.
// printComparison returns an error if incomplete is not nil or a row failed.
func printComparison(output string, rows []regress.Row, incomplete error) error {
	var err error
	if output == outputJSON {
		err = printJSON(rows)
	} else {
		err = printTable(os.Stdout, rows)
	}
	if incomplete != nil {
		return errors.Join(incomplete, err)
	}
	if n := regress.Failures(rows); n > 0 {
		return fmt.Errorf("%w: %d of %d results failed", errMayNotLand, n, len(rows))
	}
	return err
}

// printTable prints a row for each score; the score of a site comes before those of its days.
func printTable(out io.Writer, rows []regress.Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SITE\tDAY\tBEFORE\tNOW\tCHANGE\tNOISE\tVERDICT")
	for _, r := range rows {
		fmt.Fprintln(w, tableRow(&r))
	}
	return w.Flush()
}

// tableRow formats a row of the table.
func tableRow(r *regress.Row) string {
	day, before, change, noise := r.Day, "-", "-", "-"
	if day == "" {
		day = "all"
	}
	if r.Runs > 0 {
		before, change = fmt.Sprintf("%.3f", r.Before), fmt.Sprintf("%+.3f", r.Now-r.Before)
		if r.Runs > 1 {
			noise = fmt.Sprintf("%.3f", r.Noise)
		}
	}
	verdict := r.Note
	if r.Failed != "" {
		verdict = "NO: " + r.Failed
	} else if verdict == "" {
		verdict = "ok"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%.3f\t%s\t%s\t%s", r.Site, day, before, r.Now, change, noise, verdict)
}
