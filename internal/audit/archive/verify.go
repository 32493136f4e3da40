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

// Problem is something in an export that is not as it was written.
type Problem struct {
	Line   int    `json:"line"`
	Chain  string `json:"chain,omitempty"`
	Batch  uint64 `json:"batch,omitempty"`
	Reason string `json:"reason"`
}

// String is the place and the reason.
func (p Problem) String() string {
	at := fmt.Sprintf("line %d", p.Line)
	if p.Chain != "" {
		at += fmt.Sprintf(", chain %s, batch %d", p.Chain, p.Batch)
	}
	return at + ": " + p.Reason
}

// Verified is what Verify has found in an export.
type Verified struct {
	Records int `json:"records"`
	// Counted is Records with each count of equal ones as so many.
	Counted  uint64           `json:"counted"`
	Batches  int              `json:"batches"`
	Chains   []audit.ChainEnd `json:"chains"`
	SealedAt time.Time        `json:"sealed_at"`
	SealedBy string           `json:"sealed_by"`
	Problems []Problem        `json:"problems"`
	// Read has all records that could be read, in the order of their times.
	Read []ReadRecord  `json:"-"`
	Took time.Duration `json:"-"`
}

// ReadRecord is a record with its place in the chains.
type ReadRecord struct {
	Chain  string `json:"controller"`
	Number uint64 `json:"batch"`
	audit.Record
}

const (
	// maxProblems bounds what is reported of a file that is no export at all.
	maxProblems = 100
	// maxLine bounds a line of an export, in bytes.
	maxLine = 4 << 20
	// readBuffer is how much is read of a file at once, in bytes.
	readBuffer = 64 << 10
)

// verifier goes through an export line by line.
type verifier struct {
	out   *Verified
	roots *x509.CertPool
	// signers are the certificates that the export holds, by fingerprint; used are those
	// that have signed something.
	signers map[string]*x509.Certificate
	used    map[string]bool
	// ends are the last batches so far, by chain.
	ends map[string]*audit.ChainEnd
	// line is the number of the line that is read, from 1.
	line   int
	sealed bool
}

func newVerifier(roots *x509.CertPool) *verifier {
	return &verifier{
		out:     &Verified{Chains: []audit.ChainEnd{}, Problems: []Problem{}},
		roots:   roots,
		signers: map[string]*x509.Certificate{},
		used:    map[string]bool{},
		ends:    map[string]*audit.ChainEnd{},
	}
}

// problem reports something about a batch, or with chain "" about a line.
func (v *verifier) problem(chain string, batch uint64, format string, args ...any) {
	if len(v.out.Problems) < maxProblems {
		v.out.Problems = append(v.out.Problems, Problem{v.line, chain, batch, fmt.Sprintf(format, args...)})
	}
}

// Verify reads an export and says what is not as it was written. The records
// it has read come with it, whether there are problems or not.
func Verify(r io.Reader, roots *x509.CertPool) (*Verified, error) {
	begun := time.Now()
	v := newVerifier(roots)
	in := bufio.NewReaderSize(r, readBuffer)
	for {
		line, err := readLine(in)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			break
		}
		v.line++
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return v.out, fmt.Errorf("audit: read: %w", err)
			}
			v.problem("", 0, "the last line has no end: the file was cut off")
		}
		v.checkLine(line)
		if err != nil {
			break
		}
	}
	v.finish()
	v.out.Took = time.Since(begun)
	return v.out, nil
}

func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLine {
			return nil, errors.New("a line is too long for an export")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return bytes.TrimSuffix(line, []byte("\n")), err
	}
}

// checkLine checks a line by its kind.
func (v *verifier) checkLine(line []byte) {
	if v.sealed {
		v.problem("", 0, "something follows the seal")
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
			v.problem("", 0, "not an audit export, or of another format")
		}
	case decodeExact(line, &signer):
		v.checkSigner(&signer)
	case decodeExact(line, &batch):
		v.checkBatch(&batch)
	case decodeExact(line, &seal):
		v.checkSeal(&seal)
	default:
		v.problem("", 0, "the line was altered: it is nothing that an export holds")
	}
}

// checkSigner checks and remembers a signer's certificate.
func (v *verifier) checkSigner(s *exportSigner) {
	der, err := base64.StdEncoding.Strict().DecodeString(s.Cert)
	if err != nil {
		v.problem("", 0, "a signer's certificate was altered")
		return
	}
	cert, err := x509.ParseCertificate(der)
	switch {
	case err != nil || identity.Fingerprint(cert) != s.Signer:
		v.problem("", 0, "a signer's certificate was altered")
	case v.signers[s.Signer] != nil:
		v.problem("", 0, "a signer stands there twice")
	default:
		v.signers[s.Signer] = cert
	}
}

// trustedSigner returns a signer's certificate, or why it may not have signed for a chain at
// a time.
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
		return nil, fmt.Errorf("the signer is not to be trusted: %w", err)
	}
	return cert, nil
}

// checkBatch checks that a batch follows from the one before and that its signature holds,
// and takes its records.
func (v *verifier) checkBatch(line *exportBatch) {
	v.out.Batches++
	end := v.endOf(line.Chain)
	switch {
	case line.Number != end.Number+1:
		v.problem(line.Chain, line.Number, "expected batch %d: batches were removed or reordered", end.Number+1)
	case line.Prev != end.Hash:
		v.problem(line.Chain, line.Number, "it does not follow from the batch before")
	}
	batch := audit.Batch{Prev: line.Prev, Signer: line.Signer, Sig: line.Sig}
	for _, raw := range line.Lines {
		batch.Lines = append(batch.Lines, string(raw))
	}
	signedAt := v.takeRecords(line)
	cert, err := v.trustedSigner(line.Signer, line.Chain, signedAt)
	if err == nil {
		err = batch.Verify(line.Chain, line.Number, cert)
	}
	if err != nil {
		v.problem(line.Chain, line.Number, "%v", err)
	}
	end.Number, end.Hash = line.Number, batch.Hash(line.Chain, line.Number)
}

// endOf returns the end of a chain so far.
func (v *verifier) endOf(chain string) *audit.ChainEnd {
	end := v.ends[chain]
	if end == nil {
		end = &audit.ChainEnd{Chain: chain}
		v.ends[chain] = end
	}
	return end
}

// takeRecords reads the records of a batch, and returns the time of the latest one, when the
// batch was signed at the earliest.
func (v *verifier) takeRecords(line *exportBatch) (latest time.Time) {
	for _, raw := range line.Lines {
		var record audit.Record
		if err := json.Unmarshal(raw, &record); err != nil {
			v.problem(line.Chain, line.Number, "a record can't be read")
			continue
		}
		v.out.Records++
		v.out.Counted += max(1, record.Count)
		v.out.Read = append(v.out.Read, ReadRecord{line.Chain, line.Number, record})
		if record.At.After(latest) {
			latest = record.At
		}
	}
	return latest
}

// checkSeal checks the seal's signature, and that the chains end as it says.
func (v *verifier) checkSeal(line *exportSeal) {
	v.sealed = true
	var sealed audit.Sealed
	if !decodeExact(line.Seal, &sealed) {
		v.problem("", 0, "the seal was altered")
		return
	}
	cert, err := v.trustedSigner(line.Signer, sealed.By, sealed.At)
	if err == nil {
		err = (&audit.Seal{Text: string(line.Seal), Signer: line.Signer, Sig: line.Sig}).Verify(cert)
	}
	if err != nil {
		v.problem("", 0, "the seal: %v", err)
	}
	v.out.SealedAt, v.out.SealedBy, v.out.Chains = sealed.At, sealed.By, sealed.Chains
	v.checkEnds(sealed.Chains)
}

// checkEnds compares the ends of the chains with those that were sealed.
func (v *verifier) checkEnds(sealed []audit.ChainEnd) {
	for _, want := range sealed {
		got := v.ends[want.Chain]
		switch {
		case got == nil && want.Number > 0:
			v.problem(want.Chain, want.Number, "the whole chain is missing")
		case got != nil && got.Number < want.Number:
			v.problem(want.Chain, got.Number, "the chain was cut off: it goes on to batch %d", want.Number)
		case got != nil && *got != want:
			v.problem(want.Chain, got.Number, "the chain does not end as it was sealed")
		}
		delete(v.ends, want.Chain)
	}
	for chain, end := range v.ends {
		v.problem(chain, end.Number, "the seal does not know this chain")
	}
}

// finish checks what is known only at the end of the file.
func (v *verifier) finish() {
	if !v.sealed {
		v.problem("", 0, "no seal at the end: the file was cut off")
	}
	for fingerprint, cert := range v.signers {
		if v.used[fingerprint] {
			continue
		}
		// Certificates of controllers that have signed nothing in here are
		// harmless, but nothing else proves such a line.
		issued := cert.NotBefore.Add(time.Minute)
		if err := identity.VerifyChain(cert, nil, v.roots, issued); err != nil {
			v.problem("", 0, "a certificate that nobody issued was added")
		}
	}
	slices.SortStableFunc(v.out.Read, func(a, b ReadRecord) int { return a.At.Compare(b.At) })
}
