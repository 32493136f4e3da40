package main

import (
	"bytes"
	"crypto/x509"
	"errors"
	"os"

	"micaspindle/internal/audit/archive"
)

// auditCmd holds the commands for the audit log.
type auditCmd struct {
	List   auditListCmd   `cmd:"" help:"List records of the cluster or of an export."`
	Export auditExportCmd `cmd:"" help:"Export the audit log to a self-contained file."`
	Verify auditVerifyCmd `cmd:"" help:"Verify the integrity of an export."`
}

// trustedRoots reads the CA certificates that signatures are verified against.
func (c *cli) trustedRoots() (*x509.CertPool, error) {
	if c.Roots == "" {
		return nil, usageError{errors.New("--roots is needed: the CA certificates that signatures are checked against")}
	}
	return readRoots(c.Roots)
}

// verifyExport reads an export and verifies its signatures and hash chains.
func (c *cli) verifyExport(file string) (*archive.Result, error) {
	roots, err := c.trustedRoots()
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
