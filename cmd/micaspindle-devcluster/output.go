package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/term"
)

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// printJSON writes v as indented JSON to standard output.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// newProgress returns a function that prints a progress message to standard error. On a terminal,
// consecutive messages with counts overwrite each other in one line.
func newProgress() func(string) {
	started := time.Now()
	terminal := term.IsTerminal(int(os.Stderr.Fd()))
	return func(text string) {
		text = fmt.Sprintf("%5.1f s  %s", time.Since(started).Seconds(), text)
		if terminal && (strings.Contains(text, "queued") || strings.Contains(text, "actions done")) {
			fmt.Fprintf(os.Stderr, "\r\033[K%s", text)
			return
		}
		if terminal {
			fmt.Fprint(os.Stderr, "\r\033[K")
		}
		fmt.Fprintln(os.Stderr, text)
	}
}
