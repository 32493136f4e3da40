package audit

import (
	"context"
	"crypto/sha256"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"micaspindle/internal/storage"
)

// NumberedBatch is a batch with its chain and its number.
type NumberedBatch struct {
	Chain  string `msgpack:"chain"`
	Number uint64 `msgpack:"number"`
	Batch  Batch  `msgpack:"batch"`
}

// Seal is a signed list of the last batches of all chains. The controller that serves the
// request signs it. An export ends with a seal, so that truncation is detected.
type Seal struct {
	Text   string `msgpack:"seal"` // SealBody, as JSON
	Signer string `msgpack:"signer"`
	Sig    string `msgpack:"sig"`
	// Signers are the certificates of all signers, in base64.
	Signers []string `msgpack:"signers"`
}

// SealBody is the signed content of a seal.
type SealBody struct {
	At     time.Time  `json:"at"`
	By     string     `json:"by"`
	Chains []ChainEnd `json:"chains"`
}

// ChainEnd identifies the last batch of a chain.
type ChainEnd struct {
	Chain  string `json:"chain"`
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
}

// Verify checks the seal's signature.
func (s *Seal) Verify(cert *x509.Certificate) error {
	return verifySum(sealSum(s.Text, s.Signer), s.Sig, cert)
}

// sealDomain is the domain separator of the signature of a seal.
const sealDomain = "micaspindle audit seal 1"

func sealSum(text, signer string) [sha256.Size]byte {
	return sha256.Sum256([]byte(sealDomain + "\n" + signer + "\n" + text))
}

// Seal finds the ends of all chains and signs the list of them.
func (l *Log) Seal(ctx context.Context) (*Seal, error) {
	body := SealBody{At: time.Now().UTC(), By: l.chain}
	var err error
	if body.Chains, err = l.chainEnds(ctx); err != nil {
		return nil, err
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("audit: cannot encode seal: %w", err)
	}
	signer := l.signer()
	seal := &Seal{Text: string(text), Signer: signer.ID}
	if seal.Sig, err = signSum(signer, sealSum(seal.Text, seal.Signer)); err != nil {
		return nil, err
	}
	seal.Signers, err = l.signers(ctx, signer.record())
	return seal, err
}

// chainEnds returns the ends of all chains.
func (l *Log) chainEnds(ctx context.Context) ([]ChainEnd, error) {
	ends := []ChainEnd{}
	err := l.scan(ctx, headPrefix, headPrefix, func(key string, raw []byte) error {
		chain := strings.TrimPrefix(key, headPrefix)
		number, hash, err := l.findEnd(ctx, chain, raw)
		if err != nil {
			return err
		}
		ends = append(ends, ChainEnd{chain, number, hash})
		return nil
	})
	return ends, err
}

// signers returns the certificates of all signers in base64, this controller's own first.
func (l *Log) signers(ctx context.Context, own signerRecord) ([]string, error) {
	certs := []string{own.Cert}
	err := l.scan(ctx, signerPrefix, signerPrefix, func(_ string, raw []byte) error {
		var record signerRecord
		if err := storage.Decode(raw, &record); err != nil {
			return err
		}
		if record.Cert != own.Cert {
			certs = append(certs, record.Cert)
		}
		return nil
	})
	return certs, err
}
