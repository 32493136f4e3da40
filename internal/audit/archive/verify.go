package archive

import (
	"bufio"
	"bytes"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/identity"
)

// Problem describes an alteration that was found in an export.
type Problem struct {
	Line   int    `json:"line"`
	Chain  string `json:"chain,omitempty"`
	Batch  uint64 `json:"batch,omitempty"`
	Reason string `json:"reason"`
}

// String returns the location and the reason.
func (p Problem) String() string {
	at := fmt.Sprintf("line %d", p.Line)
	if p.Chain != "" {
		at += fmt.Sprintf(", chain %s, batch %d", p.Chain, p.Batch)
	}
	return at + ": " + p.Reason
}

// Result is the result of Verify.
type Result struct {
	Records int `json:"records"`
	// Actions is the number of actions and denials: a record with a count stands for that many.
	Actions  uint64           `json:"counted"`
	Batches  int              `json:"batches"`
	Chains   []audit.ChainEnd `json:"chains"`
	SealedAt time.Time        `json:"sealed_at"`
	SealedBy string           `json:"sealed_by"`
	Problems []Problem        `json:"problems"`
	// Decoded has all records that could be decoded, in order of time.
	Decoded  []ChainRecord `json:"-"`
	Duration time.Duration `json:"-"`
}

// ChainRecord is a record with the chain and the number of its batch.
type ChainRecord struct {
	Chain  string `json:"controller"`
	Number uint64 `json:"batch"`
	audit.Record
}

const (
	// maxProblems bounds the number of reported problems, since a file that is not an export has
	// one in every line.
	maxProblems = 100
	// maxLineBytes is the maximum length of a line of an export.
	maxLineBytes = 4 << 20
	// readBufferBytes is the size of the buffer for reading an export.
	readBufferBytes = 64 << 10
)

// verifier verifies an export line by line.
type verifier struct {
	result *Result
	roots  *x509.CertPool
	// signers are the certificates in the export by fingerprint, used the fingerprints of those
	// that have signed a batch or the seal.
	signers map[string]*x509.Certificate
	used    map[string]bool
	// ends are the last batches read so far, by chain.
	ends map[string]*audit.ChainEnd
	// line is the number of the current line, from 1.
	line int
	// sealed is true after the seal was read.
	sealed bool
}

func newVerifier(roots *x509.CertPool) *verifier {
	return &verifier{
		result:  &Result{Chains: []audit.ChainEnd{}, Problems: []Problem{}},
		roots:   roots,
		signers: map[string]*x509.Certificate{},
		used:    map[string]bool{},
		ends:    map[string]*audit.ChainEnd{},
	}
}

// addProblem adds a problem with a batch, or with the current line if chain is empty.
func (v *verifier) addProblem(chain string, batch uint64, format string, args ...any) {
	if len(v.result.Problems) < maxProblems {
		v.result.Problems = append(v.result.Problems, Problem{v.line, chain, batch, fmt.Sprintf(format, args...)})
	}
}

// Verify reads an export and reports what was altered, removed, reordered or truncated. The
// result has the decoded records even if there are problems.
func Verify(r io.Reader, roots *x509.CertPool) (*Result, error) {
	start := time.Now()
	v := newVerifier(roots)
	in := bufio.NewReaderSize(r, readBufferBytes)
	for {
		line, err := readLine(in)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			break
		}
		v.line++
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return v.result, fmt.Errorf("audit: cannot read export: %w", err)
			}
			v.addProblem("", 0, "the last line is incomplete: the file was truncated")
		}
		v.checkLine(line)
		if err != nil {
			break
		}
	}
	v.finish()
	v.result.Duration = time.Since(start)
	return v.result, nil
}

func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errors.New("line too long for an audit export")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return bytes.TrimSuffix(line, []byte("\n")), err
	}
}

// checkLine determines the kind of a line and checks it.
func (v *verifier) checkLine(line []byte) {
	if v.sealed {
		v.addProblem("", 0, "there is data after the seal")
		return
	}
	var (
		head   exportHead
		signer exportSigner
		batch  exportBatch
		seal   exportSeal
	)
	switch {
	case v.line == 1:
		if !decodeExact(line, &head) || head.Format != exportFormat {
			v.addProblem("", 0, "the file is not an audit export or has an unsupported format version")
		}
	case decodeExact(line, &signer):
		v.checkSigner(&signer)
	case decodeExact(line, &batch):
		v.checkBatch(&batch)
	case decodeExact(line, &seal):
		v.checkSeal(&seal)
	default:
		v.addProblem("", 0, "the line was altered: it is not a valid line of an export")
	}
}

// checkSigner checks a signer's certificate and adds it to the signers.
func (v *verifier) checkSigner(s *exportSigner) {
	der, err := base64.StdEncoding.Strict().DecodeString(s.Cert)
	if err != nil {
		v.addProblem("", 0, "a signer's certificate was altered")
		return
	}
	cert, err := x509.ParseCertificate(der)
	switch {
	case err != nil || identity.Fingerprint(cert) != s.Signer:
		v.addProblem("", 0, "a signer's certificate was altered")
	case v.signers[s.Signer] != nil:
		v.addProblem("", 0, "the signer's certificate occurs twice")
	default:
		v.signers[s.Signer] = cert
	}
}

// trustedSigner returns a signer's certificate, or an error if the signer was not allowed to
// sign for the chain at that time.
func (v *verifier) trustedSigner(signer, chain string, at time.Time) (*x509.Certificate, error) {
	cert := v.signers[signer]
	if cert == nil {
		return nil, errors.New("the signer's certificate is missing")
	}
	v.used[signer] = true
	name, err := identity.FromCertificate(cert)
	if err != nil || name.Kind != identity.Controller || name.ID != chain {
		return nil, fmt.Errorf("signed by %s, which does not write this chain", name)
	}
	if err := identity.VerifyChain(cert, nil, v.roots, at); err != nil {
		return nil, fmt.Errorf("the signer's certificate is not trusted: %w", err)
	}
	return cert, nil
}

// checkBatch checks that a batch follows the previous one of its chain and that its signature
// is valid, and reads its records.
func (v *verifier) checkBatch(line *exportBatch) {
	v.result.Batches++
	end := v.endOf(line.Chain)
	switch {
	case line.Number != end.Number+1:
		v.addProblem(line.Chain, line.Number, "expected batch %d: batches were removed or reordered", end.Number+1)
	case line.Prev != end.Hash:
		v.addProblem(line.Chain, line.Number, "the hash of the previous batch does not match")
	}
	batch := audit.Batch{Prev: line.Prev, Signer: line.Signer, Sig: line.Sig}
	for _, raw := range line.Lines {
		batch.Lines = append(batch.Lines, string(raw))
	}
	signedAt := v.readRecords(line)
	cert, err := v.trustedSigner(line.Signer, line.Chain, signedAt)
	if err == nil {
		err = batch.Verify(line.Chain, line.Number, cert)
	}
	if err != nil {
		v.addProblem(line.Chain, line.Number, "%v", err)
	}
	end.Number, end.Hash = line.Number, batch.Hash(line.Chain, line.Number)
}

// endOf returns the last batch of a chain read so far. Before the first one, it is zero.
func (v *verifier) endOf(chain string) *audit.ChainEnd {
	end := v.ends[chain]
	if end == nil {
		end = &audit.ChainEnd{Chain: chain}
		v.ends[chain] = end
	}
	return end
}

// readRecords decodes the records of a batch and returns the time of the latest. The batch was
// not signed before that time.
func (v *verifier) readRecords(line *exportBatch) (latest time.Time) {
	for _, raw := range line.Lines {
		var record audit.Record
		if err := json.Unmarshal(raw, &record); err != nil {
			v.addProblem(line.Chain, line.Number, "cannot decode a record")
			continue
		}
		v.result.Records++
		v.result.Actions += max(1, record.Count)
		v.result.Decoded = append(v.result.Decoded, ChainRecord{line.Chain, line.Number, record})
		if record.At.After(latest) {
			latest = record.At
		}
	}
	return latest
}

// checkSeal checks the seal's signature and that the chains end at the batches in the seal.
func (v *verifier) checkSeal(line *exportSeal) {
	v.sealed = true
	var sealed audit.SealBody
	if !decodeExact(line.Seal, &sealed) {
		v.addProblem("", 0, "the seal was altered")
		return
	}
	cert, err := v.trustedSigner(line.Signer, sealed.By, sealed.At)
	if err == nil {
		err = (&audit.Seal{Text: string(line.Seal), Signer: line.Signer, Sig: line.Sig}).Verify(cert)
	}
	if err != nil {
		v.addProblem("", 0, "seal: %v", err)
	}
	v.result.SealedAt, v.result.SealedBy, v.result.Chains = sealed.At, sealed.By, sealed.Chains
	v.checkEnds(sealed.Chains)
}

// checkEnds compares the ends of the chains with those in the seal.
func (v *verifier) checkEnds(sealed []audit.ChainEnd) {
	for _, want := range sealed {
		got := v.ends[want.Chain]
		switch {
		case got == nil && want.Number > 0:
			v.addProblem(want.Chain, want.Number, "the whole chain is missing")
		case got != nil && got.Number < want.Number:
			v.addProblem(want.Chain, got.Number, "the chain was truncated: the seal has batch %d as its last", want.Number)
		case got != nil && *got != want:
			v.addProblem(want.Chain, got.Number, "the last batch of the chain is not the one in the seal")
		}
		delete(v.ends, want.Chain)
	}
	for chain, end := range v.ends {
		v.addProblem(chain, end.Number, "the chain is not in the seal")
	}
}

// finish makes the checks that need the whole file.
func (v *verifier) finish() {
	if !v.sealed {
		v.addProblem("", 0, "there is no seal at the end: the file was truncated")
	}
	for fingerprint, cert := range v.signers {
		if v.used[fingerprint] {
			continue
		}
		// An unused certificate is harmless, but no signature in the export covers its line. An
		// alteration of the line is detected by verifying the certificate itself.
		issued := cert.NotBefore.Add(time.Minute)
		if err := identity.VerifyChain(cert, nil, v.roots, issued); err != nil {
			v.addProblem("", 0, "an unused certificate was not issued by a trusted authority")
		}
	}
	slices.SortStableFunc(v.result.Decoded, func(a, b ChainRecord) int { return a.At.Compare(b.At) })
}
