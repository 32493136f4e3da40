package main

import (
	"bytes"
	"crypto/x509"
	"errors"
	"os"

	"micaspindle/internal/audit/archive"
)

// auditCmd holds the commands of the audit log.
type auditCmd struct {
	List   auditListCmd   `cmd:"" help:"List records of the cluster or of an export."`
	Export auditExportCmd `cmd:"" help:"Export the audit log to a self-contained file."`
	Verify auditVerifyCmd `cmd:"" help:"Verify the integrity of an export."`
}

// trustedRoots are the authorities whose signatures count.
func (c *cli) trustedRoots() (*x509.CertPool, error) {
	if c.Roots == "" {
		return nil, usageError{errors.New("--roots is needed: the CA certificates that signatures are checked against")}
	}
	return readRoots(c.Roots)
}

// verify reads an export and checks its signatures and chains.
func (c *cli) verify(file string) (*archive.Verified, error) {
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
