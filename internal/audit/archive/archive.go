// Package archive writes the audit into files that stand for themselves and
// says of such a file whether anything in it was altered, removed, reordered or
// cut off. The controllers do not use it.
package archive

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"

	"micaspindle/internal/audit"
	"micaspindle/internal/identity"
)

// The lines of an export. Each is exactly what json.Marshal makes of it, so
// that any other byte shows.
type (
	exportHead struct {
		Format int `json:"micaspindle_audit"`
	}
	exportSigner struct {
		Signer string `json:"signer"`
		Cert   string `json:"certificate"`
	}
	exportBatch struct {
		Chain  string            `json:"chain"`
		Number uint64            `json:"number"`
		Prev   string            `json:"prev"`
		Signer string            `json:"signer"`
		Sig    string            `json:"sig"`
		Lines  []json.RawMessage `json:"lines"`
	}
	exportSeal struct {
		Seal   json.RawMessage `json:"seal"`
		Signer string          `json:"signer"`
		Sig    string          `json:"sig"`
	}
)

// Fetch gets batches of a chain that come after a number.
type Fetch func(ctx context.Context, chain string, after uint64) ([]audit.NumberedBatch, error)

// Export writes everything up to a seal: a head, the signers, the batches of
// each chain, and the seal at the end. progress is told how far it is.
func Export(ctx context.Context, w io.Writer, seal *audit.Seal, fetch Fetch, progress func(done, all uint64)) error {
	var body audit.Sealed
	if err := json.Unmarshal([]byte(seal.Text), &body); err != nil {
		return fmt.Errorf("audit: seal: %w", err)
	}
	out := bufio.NewWriter(w)
	put := func(v any) error {
		line, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("audit: export: %w", err)
		}
		_, err = out.Write(append(line, '\n'))
		return err
	}
	if err := put(exportHead{1}); err != nil {
		return err
	}
	for _, c := range seal.Signers {
		der, err := base64.StdEncoding.DecodeString(c)
		if err != nil {
			return fmt.Errorf("audit: a signer's certificate can't be read: %w", err)
		}
		cert, err := x509.ParseCertificate(der)
		if err != nil {
			return fmt.Errorf("audit: a signer's certificate can't be read: %w", err)
		}
		if err := put(exportSigner{identity.Fingerprint(cert), c}); err != nil {
			return err
		}
	}
	var all, done uint64
	for _, end := range body.Chains {
		all += end.Number
	}
	for _, end := range body.Chains {
		for at := uint64(0); at < end.Number; {
			batches, err := fetch(ctx, end.Chain, at)
			if err != nil {
				return err
			}
			if len(batches) == 0 {
				break // the verifier will say what is missing
			}
			for _, n := range batches {
				if n.Number > end.Number {
					at = end.Number
					break
				}
				lines := make([]json.RawMessage, 0, len(n.Batch.Lines))
				for _, l := range n.Batch.Lines {
					lines = append(lines, json.RawMessage(l))
				}
				if err := put(exportBatch{n.Chain, n.Number, n.Batch.Prev, n.Batch.Signer, n.Batch.Sig, lines}); err != nil {
					return err
				}
				at = n.Number
				done++
			}
			progress(done, all)
		}
	}
	if err := put(exportSeal{json.RawMessage(seal.Text), seal.Signer, seal.Sig}); err != nil {
		return err
	}
	return out.Flush()
}

// Problem is something that is not as it was written.
type Problem struct {
	Line   int    `json:"line"`
	Chain  string `json:"chain,omitempty"`
	Batch  uint64 `json:"batch,omitempty"`
	Reason string `json:"reason"`
}

func (p Problem) String() string {
	at := fmt.Sprintf("line %d", p.Line)
	if p.Chain != "" {
		at += fmt.Sprintf(", chain %s, batch %d", p.Chain, p.Batch)
	}
	return at + ": " + p.Reason
}

// Verified is what a verifier has seen.
type Verified struct {
	Records  int              `json:"records"`
	Counted  uint64           `json:"counted"` // with counts taken for what they count
	Batches  int              `json:"batches"`
	Chains   []audit.ChainEnd `json:"chains"`
	SealedAt time.Time        `json:"sealed_at"`
	SealedBy string           `json:"sealed_by"`
	Problems []Problem        `json:"problems"`
	Read     []ReadRecord     `json:"-"`
	Took     time.Duration    `json:"-"`
}

// ReadRecord is a record with its place.
type ReadRecord struct {
	Chain  string `json:"controller"`
	Number uint64 `json:"batch"`
	audit.Record
}

// maxProblems bounds what is reported of a file that is no export at all.
const maxProblems = 100

// maxLine bounds a line of an export.
const maxLine = 4 << 20

// verifier goes through an export line by line.
type verifier struct {
	out     *Verified
	roots   *x509.CertPool
	signers map[string]*x509.Certificate
	used    map[string]bool
	ends    map[string]*audit.ChainEnd
	order   []string
	line    int
	sealed  bool
}

func (v *verifier) problem(chain string, batch uint64, format string, args ...any) {
	if len(v.out.Problems) < maxProblems {
		v.out.Problems = append(v.out.Problems, Problem{v.line, chain, batch, fmt.Sprintf(format, args...)})
	}
}

// Verify reads an export and says what is not as it was written. The records
// it has read come with it, whether there are problems or not.
func Verify(r io.Reader, roots *x509.CertPool) (*Verified, error) {
	begun := time.Now()
	v := &verifier{out: &Verified{Chains: []audit.ChainEnd{}, Problems: []Problem{}}, roots: roots, signers: map[string]*x509.Certificate{},
		used: map[string]bool{}, ends: map[string]*audit.ChainEnd{}}
	in := bufio.NewReaderSize(r, 64<<10)
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
		v.take(line)
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

// exactly decodes a line that must be just what the encoder makes of it.
func exactly(line []byte, out any) bool {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if dec.Decode(out) != nil {
		return false
	}
	again, err := json.Marshal(out)
	return err == nil && bytes.Equal(again, line)
}

func (v *verifier) take(line []byte) {
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
		if !exactly(line, &head) || head.Format != 1 {
			v.problem("", 0, "not an audit export, or of another format")
		}
	case exactly(line, &signer):
		v.signer(&signer)
	case exactly(line, &batch):
		v.batch(&batch)
	case exactly(line, &seal):
		v.seal(&seal)
	default:
		v.problem("", 0, "the line was altered: it is nothing that an export holds")
	}
}

func (v *verifier) signer(s *exportSigner) {
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

// trusted says why a signer may not have signed for a chain at a time.
func (v *verifier) trusted(signer, chain string, at time.Time) (*x509.Certificate, error) {
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

func (v *verifier) batch(e *exportBatch) {
	v.out.Batches++
	end := v.ends[e.Chain]
	if end == nil {
		end = &audit.ChainEnd{Chain: e.Chain}
		v.ends[e.Chain] = end
		v.order = append(v.order, e.Chain)
	}
	switch {
	case e.Number != end.Number+1:
		v.problem(e.Chain, e.Number, "expected batch %d: batches were removed or reordered", end.Number+1)
	case e.Prev != end.Hash:
		v.problem(e.Chain, e.Number, "it does not follow from the batch before")
	}
	b := audit.Batch{Prev: e.Prev, Signer: e.Signer, Sig: e.Sig}
	at := time.Time{}
	for _, raw := range e.Lines {
		b.Lines = append(b.Lines, string(raw))
		var r audit.Record
		if err := json.Unmarshal(raw, &r); err != nil {
			v.problem(e.Chain, e.Number, "a record can't be read")
			continue
		}
		v.out.Records++
		v.out.Counted += max(1, r.Count)
		v.out.Read = append(v.out.Read, ReadRecord{e.Chain, e.Number, r})
		if r.At.After(at) {
			at = r.At
		}
	}
	cert, err := v.trusted(e.Signer, e.Chain, at)
	if err == nil {
		err = b.Verify(e.Chain, e.Number, cert)
	}
	if err != nil {
		v.problem(e.Chain, e.Number, "%v", err)
	}
	end.Number, end.Hash = e.Number, b.Hash(e.Chain, e.Number)
}

func (v *verifier) seal(e *exportSeal) {
	v.sealed = true
	var body audit.Sealed
	if !exactly(e.Seal, &body) {
		v.problem("", 0, "the seal was altered")
		return
	}
	cert, err := v.trusted(e.Signer, body.By, body.At)
	if err == nil {
		err = (&audit.Seal{Text: string(e.Seal), Signer: e.Signer, Sig: e.Sig}).Verify(cert)
	}
	if err != nil {
		v.problem("", 0, "the seal: %v", err)
	}
	v.out.SealedAt, v.out.SealedBy, v.out.Chains = body.At, body.By, body.Chains
	for _, want := range body.Chains {
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

func (v *verifier) finish() {
	if !v.sealed {
		v.problem("", 0, "no seal at the end: the file was cut off")
	}
	for id := range v.signers {
		if !v.used[id] {
			// Certificates of controllers that have signed nothing in here are
			// no harm, but nothing else vouches for such a line.
			if err := identity.VerifyChain(v.signers[id], nil, v.roots, v.signers[id].NotBefore.Add(time.Minute)); err != nil {
				v.problem("", 0, "a certificate that nobody issued was added")
			}
		}
	}
	slices.SortStableFunc(v.out.Read, func(a, b ReadRecord) int { return a.At.Compare(b.At) })
}

// A compressed export is one zstd frame and, in a skippable frame behind it,
// the SHA-256 of the first: zstd's own checksum covers the content but not each
// byte of the frame.
const (
	skippable   = 0x184D2A5A
	trailerSize = 8 + sha256.Size
)

// Compress compresses an export.
func Compress(w io.Writer, write func(io.Writer) error) error {
	h := sha256.New()
	enc, err := zstd.NewWriter(io.MultiWriter(w, h))
	if err != nil {
		return fmt.Errorf("audit: compress: %w", err)
	}
	if err := write(enc); err != nil {
		_ = enc.Close()
		return err
	}
	if err := enc.Close(); err != nil {
		return fmt.Errorf("audit: compress: %w", err)
	}
	trailer := binary.LittleEndian.AppendUint32(nil, skippable)
	trailer = binary.LittleEndian.AppendUint32(trailer, sha256.Size)
	_, err = w.Write(h.Sum(trailer))
	return err
}

// errAltered says that a compressed export is not what was written.
var errAltered = errors.New("audit: the compressed file was altered or cut off")

// Open returns what an export holds, whether it is compressed or not.
func Open(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, []byte{0x28, 0xb5, 0x2f, 0xfd}) {
		return data, nil
	}
	if len(data) < trailerSize {
		return nil, errAltered
	}
	frame, trailer := data[:len(data)-trailerSize], data[len(data)-trailerSize:]
	sum := sha256.Sum256(frame)
	if binary.LittleEndian.Uint32(trailer) != skippable || binary.LittleEndian.Uint32(trailer[4:]) != sha256.Size || !bytes.Equal(trailer[8:], sum[:]) {
		return nil, errAltered
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(1<<30))
	if err != nil {
		return nil, fmt.Errorf("audit: open: %w", err)
	}
	defer dec.Close()
	out, err := dec.DecodeAll(frame, nil)
	if err != nil {
		return nil, errAltered
	}
	return out, nil
}
