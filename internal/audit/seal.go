package audit

import (
	"context"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"micaspindle/internal/storage"
)

// NumberedBatch is a batch with its place.
type NumberedBatch struct {
	Chain  string `msgpack:"chain"`
	Number uint64 `msgpack:"number"`
	Batch  Batch  `msgpack:"batch"`
}

// Seal states how far each chain goes at a moment, signed by the controller
// that was asked. An export ends in one, so that nothing can be cut off its end.
type Seal struct {
	Text   string `msgpack:"seal"` // Sealed, as JSON
	Signer string `msgpack:"signer"`
	Sig    string `msgpack:"sig"`
	// Signers are the certificates of all who signed, base64.
	Signers []string `msgpack:"signers"`
}

// Sealed is what a seal says.
type Sealed struct {
	At     time.Time  `json:"at"`
	By     string     `json:"by"`
	Chains []ChainEnd `json:"chains"`
}

// ChainEnd is the last batch of a chain.
type ChainEnd struct {
	Chain  string `json:"chain"`
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
}

// Verify checks a seal's signature.
func (s *Seal) Verify(cert *x509.Certificate) error {
	return verifySum(sealSum(s.Text, s.Signer), s.Sig, cert)
}

func sealSum(text, signer string) [32]byte {
	return sha256.Sum256([]byte("micaspindle audit seal 1\n" + signer + "\n" + text))
}

// Seal reads the ends of all chains and signs them.
func (l *Log) Seal(ctx context.Context) (*Seal, error) {
	body := Sealed{At: time.Now().UTC(), By: l.chain, Chains: []ChainEnd{}}
	err := l.all(ctx, headPrefix, headPrefix, func(key string, raw []byte) error {
		chain := strings.TrimPrefix(key, headPrefix)
		number, hash, err := l.end(ctx, chain, raw)
		if err != nil {
			return err
		}
		body.Chains = append(body.Chains, ChainEnd{chain, number, hash})
		return nil
	})
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("audit: seal: %w", err)
	}
	signer := l.signer()
	seal := &Seal{Text: string(text), Signer: signer.ID}
	if seal.Sig, err = sign(signer, sealSum(seal.Text, seal.Signer)); err != nil {
		return nil, err
	}
	own := base64.StdEncoding.EncodeToString(signer.Cert.Raw)
	seal.Signers = []string{own}
	err = l.all(ctx, signerPrefix, signerPrefix, func(_ string, raw []byte) error {
		var rec signerRecord
		if err := storage.Decode(raw, &rec); err != nil {
			return err
		}
		if rec.Cert != own {
			seal.Signers = append(seal.Signers, rec.Cert)
		}
		return nil
	})
	return seal, err
}

// all hands over everything under a prefix that comes after a key.
func (l *Log) all(ctx context.Context, prefix, after string, f func(key string, raw []byte) error) error {
	for {
		list, err := l.store.Page(ctx, prefix, after, 50)
		if err != nil {
			return err
		}
		for _, it := range list.Items {
			if err := f(it.Key, it.Value); err != nil {
				return err
			}
			after = it.Key
		}
		if !list.More {
			return nil
		}
	}
}

// Batches reads batches of a chain that come after a number, as many as an
// answer may hold.
func (l *Log) Batches(ctx context.Context, chain string, after uint64, size int) ([]NumberedBatch, error) {
	list, err := l.store.Page(ctx, BatchPrefix(chain), BatchKey(chain, after), 50)
	if err != nil {
		return nil, err
	}
	var out []NumberedBatch
	for _, it := range list.Items {
		var b Batch
		_, number, ok := ParseBatchKey(it.Key)
		if err := storage.Decode(it.Value, &b); err != nil || !ok {
			return nil, fmt.Errorf("audit: %s can't be read", it.Key)
		}
		if size -= len(it.Value) + 64; size < 0 && len(out) > 0 {
			break
		}
		out = append(out, NumberedBatch{chain, number, b})
	}
	return out, nil
}
