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

// outputJSON is the value of --output that asks for JSON in place of a table.
const outputJSON = "json"

// printJSON writes v as indented JSON to standard output.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// verdict prints the rows and returns the error that they call for; ended is why something
// was not played.
func verdict(output string, rows []regress.Row, ended error) error {
	var err error
	if output == outputJSON {
		err = printJSON(rows)
	} else {
		err = printTable(os.Stdout, rows)
	}
	if ended != nil {
		return errors.Join(ended, err)
	}
	if n := regress.Failures(rows); n > 0 {
		return fmt.Errorf("%w: %d of %d figures forbid it", errMayNotLand, n, len(rows))
	}
	return err
}

// printTable shows one score a row; a site's own stands above those of its days.
func printTable(out io.Writer, rows []regress.Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SITE\tDAY\tBEFORE\tNOW\tCHANGE\tNOISE\tVERDICT")
	for _, r := range rows {
		fmt.Fprintln(w, tableRow(&r))
	}
	return w.Flush()
}

// tableRow is one score as a line of the table.
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
	says := r.Note
	if r.Failed != "" {
		says = "NO: " + r.Failed
	} else if says == "" {
		says = "ok"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%.3f\t%s\t%s\t%s", r.Site, day, before, r.Now, change, noise, says)
}
