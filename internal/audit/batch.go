package audit

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strconv"
)

// Batch is one link of a chain as the state service stores it.
type Batch struct {
	Prev   string   `msgpack:"p"` // hash of the batch before, in hex; empty: the first
	Lines  []string `msgpack:"l"`
	Signer string   `msgpack:"k"` // fingerprint of the signer's certificate
	Sig    string   `msgpack:"s"` // of the hash, base64
}

// hashDomain begins what the hash of a batch is over, so that a batch's signature is good
// for nothing else.
const hashDomain = "micaspindle audit 1"

// hash binds a batch to its chain, its number and the one before. Each field is preceded by
// its length.
func (b *Batch) hash(chain string, number uint64) [sha256.Size]byte {
	h := sha256.New()
	field := func(s string) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		h.Write(size[:])
		_, _ = io.WriteString(h, s)
	}
	field(hashDomain)
	field(chain)
	field(strconv.FormatUint(number, 10))
	field(b.Prev)
	field(b.Signer)
	for _, line := range b.Lines {
		field(line)
	}
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// sign sets a batch's signature.
func (b *Batch) sign(chain string, number uint64, signer Signer) (err error) {
	b.Sig, err = signSum(signer, b.hash(chain, number))
	return err
}

// signSum signs a sum as it is. The error of a key is not passed on: it might tell of the key.
func signSum(signer Signer, sum [sha256.Size]byte) (string, error) {
	sig, err := signer.Key.Sign(rand.Reader, sum[:], crypto.Hash(0))
	if err != nil {
		return "", errors.New("audit: could not be signed")
	}
	return base64.StdEncoding.EncodeToString(sig), nil
}

// Hash is the batch's hash in hex, to which the next one is bound.
func (b *Batch) Hash(chain string, number uint64) string {
	sum := b.hash(chain, number)
	return hex.EncodeToString(sum[:])
}

// Verify checks a batch's signature.
func (b *Batch) Verify(chain string, number uint64, cert *x509.Certificate) error {
	return verifySum(b.hash(chain, number), b.Sig, cert)
}

// verifySum checks a signature, base64, of a sum.
func verifySum(sum [sha256.Size]byte, signature string, cert *x509.Certificate) error {
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok {
		return errors.New("the signer's key is not of the kind Ed25519")
	}
	sig, err := base64.StdEncoding.Strict().DecodeString(signature)
	if err != nil || !ed25519.Verify(key, sum[:], sig) {
		return errors.New("the signature is not the signer's")
	}
	return nil
}

// head says how far a chain went at some time, so that its end can be found
// without reading all of it. It proves nothing.
type head struct {
	Number uint64 `msgpack:"n"`
	Hash   string `msgpack:"h"`
}

// signerRecord has a signer's certificate, stored beside what it has signed.
type signerRecord struct {
	Cert string `msgpack:"c"`
}

// Signer signs batches and seals: a private key with its certificate.
type Signer struct {
	Key  crypto.Signer
	Cert *x509.Certificate
	// ID is the certificate's fingerprint.
	ID string
}

// record is the signer's certificate as it is stored.
func (s *Signer) record() signerRecord {
	return signerRecord{base64.StdEncoding.EncodeToString(s.Cert.Raw)}
}
