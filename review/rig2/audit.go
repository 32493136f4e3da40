package rig2

import (
	"bytes"
	"context"
	"crypto/x509"
	"fmt"
	"net/url"
	"strconv"

	"micaspindle/internal/audit"
	"micaspindle/internal/audit/archive"
	"micaspindle/internal/devcluster"
)

// Audit exports the audit record as an administrator, verifies it, and returns its lines.
func Audit(ctx context.Context, cluster *devcluster.Cluster) ([]archive.ChainRecord, error) {
	administrator, err := cluster.Client(devcluster.Administrator)
	if err != nil {
		return nil, err
	}
	var seal audit.Seal
	if err := administrator.Do(ctx, "GET", "/audit/seal", nil, &seal); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = archive.Export(ctx, &out, &seal, func(ctx context.Context, chain string, after uint64) ([]audit.NumberedBatch, error) {
		var page struct {
			Batches []audit.NumberedBatch `msgpack:"batches"`
		}
		err := administrator.Do(ctx, "GET", "/audit/batches?chain="+url.QueryEscape(chain)+"&after="+strconv.FormatUint(after, 10), nil, &page)
		return page.Batches, err
	}, func(uint64, uint64) {})
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(cluster.Identities().CA.Root())
	verification, err := archive.Verify(&out, roots)
	if err != nil {
		return nil, err
	}
	if len(verification.Problems) > 0 {
		return nil, fmt.Errorf("the audit record does not verify: %v", verification.Problems[0])
	}
	return verification.Decoded, nil
}
