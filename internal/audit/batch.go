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

// Batch is a batch of a chain as it is stored in the state store.
type Batch struct {
	Prev   string   `msgpack:"p"` // hash of the previous batch in hex, empty in the first batch
	Lines  []string `msgpack:"l"`
	Signer string   `msgpack:"k"` // fingerprint of the signer's certificate
	Sig    string   `msgpack:"s"` // signature of the hash, in base64
}

// hashDomain is the domain separator of the hash of a batch. It prevents a batch's signature
// from being accepted for other data.
const hashDomain = "micaspindle audit 1"

// hash computes the hash of the batch with its chain, its number and the hash of the
// previous batch. Each field is preceded by its length.
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

// sign sets the batch's signature.
func (b *Batch) sign(chain string, number uint64, signer Signer) (err error) {
	b.Sig, err = signSum(signer, b.hash(chain, number))
	return err
}

// signSum signs a hash. The error of the key is not passed on, since it might disclose details
// of the key.
func signSum(signer Signer, sum [sha256.Size]byte) (string, error) {
	sig, err := signer.Key.Sign(rand.Reader, sum[:], crypto.Hash(0))
	if err != nil {
		return "", errors.New("audit: signing failed")
	}
	return base64.StdEncoding.EncodeToString(sig), nil
}

// Hash returns the batch's hash in hex, which the next batch contains.
func (b *Batch) Hash(chain string, number uint64) string {
	sum := b.hash(chain, number)
	return hex.EncodeToString(sum[:])
}

// Verify checks the batch's signature.
func (b *Batch) Verify(chain string, number uint64, cert *x509.Certificate) error {
	return verifySum(b.hash(chain, number), b.Sig, cert)
}

// verifySum checks the signature of a hash; the signature is in base64.
func verifySum(sum [sha256.Size]byte, signature string, cert *x509.Certificate) error {
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok {
		return errors.New("the signer's key is not an Ed25519 key")
	}
	sig, err := base64.StdEncoding.Strict().DecodeString(signature)
	if err != nil || !ed25519.Verify(key, sum[:], sig) {
		return errors.New("the signature does not match the signer's key")
	}
	return nil
}

// head names a recent batch of a chain, so that the end of the chain can be found without
// reading all of it. It is not signed and proves nothing.
type head struct {
	Number uint64 `msgpack:"n"`
	Hash   string `msgpack:"h"`
}

// signerRecord stores a signer's certificate next to the batches that it has signed.
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

// record returns the signer's certificate as it is stored.
func (s *Signer) record() signerRecord {
	return signerRecord{base64.StdEncoding.EncodeToString(s.Cert.Raw)}
}
