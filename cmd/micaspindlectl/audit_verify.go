package main

import (
	"fmt"
	"time"

	"micaspindle/internal/audit/archive"
)

// auditVerifyCmd verifies an export.
type auditVerifyCmd struct {
	File string `arg:"" type:"path" help:"Export file."`
}

// Help describes the exit code and shows an example.
func (auditVerifyCmd) Help() string {
	return "Needs --roots, the CA certificates, but no connection to a controller. Exit code 1 means that records\nwere altered, removed, reordered or truncated.\n\nExample:\n  micaspindlectl audit verify 2027-01.jsonl.zst --roots root.pem"
}

// shownHashLength is the number of leading characters of a hash in the table.
const shownHashLength = 16

// Run verifies an export.
func (a *auditVerifyCmd) Run(c *cli) error {
	v, err := c.verifyExport(a.File)
	if err != nil {
		return err
	}
	if c.Output == outputJSON {
		err = printJSON(v)
	} else {
		err = printVerified(v)
	}
	if err != nil {
		return err
	}
	if n := len(v.Problems); n > 0 {
		return fmt.Errorf("%s is not what was written: verification found %d problems", a.File, n)
	}
	if c.Output != outputJSON {
		fmt.Printf("%d records of %d actions and refusals are what was written until %s (sealed by %s).\n", v.Records, v.Actions,
			v.SealedAt.Format(time.RFC3339), v.SealedBy)
	}
	return nil
}

// printVerified shows the last batch of each controller's hash chain, and then the problems.
func printVerified(v *archive.Result) error {
	var rows [][]any
	for _, end := range v.Chains {
		rows = append(rows, []any{end.Chain, end.Number, end.Hash[:min(shownHashLength, len(end.Hash))]})
	}
	if err := printTable("CONTROLLER\tBATCHES\tLAST HASH", rows); err != nil {
		return err
	}
	for _, problem := range v.Problems {
		fmt.Println(problem)
	}
	return nil
}
