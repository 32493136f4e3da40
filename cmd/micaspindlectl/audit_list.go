package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/audit/archive"
)

// auditListCmd lists the records that match all filters.
type auditListCmd struct {
	File   string        `type:"path" help:"Read an export instead of asking the cluster."`
	Who    string        `help:"Only records of this identity; - for unauthenticated callers."`
	Job    string        `help:"Only records of this job."`
	Team   string        `help:"Only records of this team."`
	Verb   string        `help:"Only this action, for example submit, withdraw, reassign, change-policy."`
	Denied bool          `help:"Only denied requests."`
	Since  time.Duration `help:"Only records of the last period, for example 24h."`
}

// Help shows examples.
func (auditListCmd) Help() string {
	return "Examples:\n  micaspindlectl audit list --who person/anna --since 24h\n  micaspindlectl audit list --job job-17 -o json\n  micaspindlectl audit list --file 2027-01.jsonl.zst --denied"
}

// unauthenticatedCaller is the value of --who that selects requests of unauthenticated callers.
const unauthenticatedCaller = "-"

// Run lists records, even if their verification finds problems. The command then reports the
// problems and exits with code 1.
func (a *auditListCmd) Run(ctx context.Context, c *cli) error {
	verified, err := a.read(ctx, c)
	if err != nil {
		return err
	}
	matching := slices.DeleteFunc(verified.Decoded, func(r archive.ChainRecord) bool { return !a.matches(&r.Record) })
	if c.Output == outputJSON {
		err = printRecordsJSON(matching)
	} else {
		err = printRecords(matching)
	}
	if err != nil {
		return err
	}
	for _, problem := range verified.Problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	if n := len(verified.Problems); n > 0 {
		return fmt.Errorf("the audit log is not what was written: verification found %d problems", n)
	}
	return nil
}

// read verifies the given export or, if there is none, a new export of the cluster's audit log.
func (a *auditListCmd) read(ctx context.Context, c *cli) (*archive.Result, error) {
	if a.File != "" {
		return c.verifyExport(a.File)
	}
	cl, err := c.client()
	if err != nil {
		return nil, err
	}
	var exported bytes.Buffer
	if err := exportAudit(ctx, cl, &exported); err != nil {
		return nil, err
	}
	roots, err := c.trustedRoots()
	if err != nil {
		return nil, err
	}
	return archive.Verify(&exported, roots)
}

// printRecordsJSON writes each record as a JSON object on a line of its own.
func printRecordsJSON(records []archive.ChainRecord) error {
	enc := json.NewEncoder(os.Stdout)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return err
		}
	}
	return nil
}

// printRecords shows a table of records.
func printRecords(records []archive.ChainRecord) error {
	var rows [][]any
	for i := range records {
		rows = append(rows, recordRow(&records[i]))
	}
	return printTable("TIME (UTC)\tCONTROLLER\tWHO\tVERB\tQUEUE\tJOB\tOUTCOME\tCOUNT\tWHY", rows)
}

// recordRow returns the table row of a record. The count is shown if the record stands for several
// requests.
func recordRow(r *archive.ChainRecord) []any {
	count := ""
	if r.Count > 1 {
		count = "x" + strconv.FormatUint(r.Count, 10)
	}
	queue := strings.Trim(r.Team+"/"+r.Class, "/")
	reason := strings.TrimSpace(r.Reason + " " + r.Detail)
	at := r.At.Format("2006-01-02 15:04:05.000")
	return []any{at, r.Chain, orNone(r.Identity), r.Verb, orNone(queue), orNone(r.Job), r.Outcome, count, reason}
}

// matches reports whether a record passes all filters.
func (a *auditListCmd) matches(r *audit.Record) bool {
	last := r.At
	if r.LastAt != nil {
		last = *r.LastAt
	}
	switch {
	case a.Who == unauthenticatedCaller && r.Identity != "":
		return false
	case a.Who != "" && a.Who != unauthenticatedCaller && a.Who != r.Identity:
		return false
	case a.Job != "" && a.Job != r.Job:
		return false
	case a.Team != "" && a.Team != r.Team:
		return false
	case a.Verb != "" && a.Verb != r.Verb:
		return false
	case a.Denied && r.Outcome != audit.Denied:
		return false
	}
	return a.Since == 0 || time.Since(last) <= a.Since
}
