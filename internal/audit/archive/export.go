package archive

import (
	"bufio"
	"context"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"

	"micaspindle/internal/audit"
	"micaspindle/internal/identity"
)

// Fetch returns batches of a chain whose numbers are greater than after. It returns none at the
// end of the chain.
type Fetch func(ctx context.Context, chain string, after uint64) ([]audit.NumberedBatch, error)

// Export writes a head, the signers, the batches of each chain up to its end in the seal, and
// the seal. It calls progress with the number of batches written so far and the total.
func Export(ctx context.Context, w io.Writer, seal *audit.Seal, fetch Fetch, progress func(done, all uint64)) error {
	var sealed audit.SealBody
	if err := json.Unmarshal([]byte(seal.Text), &sealed); err != nil {
		return fmt.Errorf("audit: cannot decode seal: %w", err)
	}
	e := &exporter{out: bufio.NewWriter(w), fetch: fetch, progress: progress}
	for _, end := range sealed.Chains {
		e.all += end.Number
	}
	if err := e.write(exportHead{exportFormat}); err != nil {
		return err
	}
	if err := e.writeSigners(seal.Signers); err != nil {
		return err
	}
	for _, end := range sealed.Chains {
		if err := e.writeChain(ctx, end); err != nil {
			return err
		}
	}
	if err := e.write(exportSeal{json.RawMessage(seal.Text), seal.Signer, seal.Sig}); err != nil {
		return err
	}
	return e.out.Flush()
}

// exporter writes an export line by line.
type exporter struct {
	out      *bufio.Writer
	fetch    Fetch
	progress func(done, all uint64)
	// done is the number of batches written, all their total number.
	done, all uint64
}

// write writes a value as a line of JSON.
func (e *exporter) write(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("audit: cannot encode export line: %w", err)
	}
	_, err = e.out.Write(append(line, '\n'))
	return err
}

// writeSigners writes a line for each certificate; certs are in base64.
func (e *exporter) writeSigners(certs []string) error {
	for _, encoded := range certs {
		cert, err := parseCertificate(encoded)
		if err != nil {
			return fmt.Errorf("audit: cannot parse a signer's certificate: %w", err)
		}
		if err := e.write(exportSigner{identity.Fingerprint(cert), encoded}); err != nil {
			return err
		}
	}
	return nil
}

func parseCertificate(encoded string) (*x509.Certificate, error) {
	der, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// writeChain writes the batches of a chain up to its end. If batches are missing at the end, it
// stops without an error: the verifier will report them.
func (e *exporter) writeChain(ctx context.Context, end audit.ChainEnd) error {
	for last := uint64(0); last < end.Number; {
		batches, err := e.fetch(ctx, end.Chain, last)
		if err != nil {
			return err
		}
		if len(batches) == 0 {
			return nil
		}
		for i := range batches {
			batch := &batches[i]
			if batch.Number > end.Number {
				last = end.Number
				break
			}
			if err := e.writeBatch(batch); err != nil {
				return err
			}
			last = batch.Number
			e.done++
		}
		e.progress(e.done, e.all)
	}
	return nil
}

func (e *exporter) writeBatch(numbered *audit.NumberedBatch) error {
	batch := &numbered.Batch
	lines := make([]json.RawMessage, 0, len(batch.Lines))
	for _, line := range batch.Lines {
		lines = append(lines, json.RawMessage(line))
	}
	return e.write(exportBatch{numbered.Chain, numbered.Number, batch.Prev, batch.Signer, batch.Sig, lines})
}
