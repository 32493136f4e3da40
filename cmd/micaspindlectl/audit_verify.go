package main

import (
	"fmt"
	"time"

	"micaspindle/internal/audit/archive"
)

// auditVerifyCmd checks an export.
type auditVerifyCmd struct {
	File string `arg:"" type:"path" help:"Export file."`
}

// Help shows examples.
func (auditVerifyCmd) Help() string {
	return "Needs --roots, the CA certificates; contacts no controller. Exit code 1 means that records\nwere altered, removed, reordered or truncated.\n\nExample:\n  micaspindlectl audit verify 2027-01.jsonl.zst --roots root.pem"
}

// hashShown is how many characters of a hash the table shows.
const hashShown = 16

// Run verifies an export.
func (a *auditVerifyCmd) Run(c *cli) error {
	v, err := c.verify(a.File)
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
		return fmt.Errorf("%s is not what was written: %d problems", a.File, n)
	}
	if c.Output != outputJSON {
		fmt.Printf("%d records of %d actions and refusals are what was written until %s (sealed by %s).\n", v.Records, v.Counted,
			v.SealedAt.Format(time.RFC3339), v.SealedBy)
	}
	return nil
}

// printVerified shows the end of each chain, then the problems.
func printVerified(v *archive.Verified) error {
	var rows [][]any
	for _, end := range v.Chains {
		rows = append(rows, []any{end.Chain, end.Number, end.Hash[:min(hashShown, len(end.Hash))]})
	}
	if err := printTable("CONTROLLER\tBATCHES\tLAST HASH", rows); err != nil {
		return err
	}
	for _, problem := range v.Problems {
		fmt.Println(problem)
	}
	return nil
}
