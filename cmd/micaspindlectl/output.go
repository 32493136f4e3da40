package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
)

// outputJSON is the value of --output that selects JSON instead of a table.
const outputJSON = "json"

// print writes rows as a table, or v as JSON.
func (c *cli) print(v any, header string, rows [][]any) error {
	if c.Output == outputJSON {
		return printJSON(v)
	}
	return printTable(header, rows)
}

// printJSON writes v as indented JSON to standard output.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable writes rows in aligned columns to standard output.
func printTable(header string, rows [][]any) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if header != "" {
		fmt.Fprintln(w, header)
	}
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// orNone returns s, or a dash if s is empty.
func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
