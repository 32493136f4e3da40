package identity

import (
	"context"
	"crypto"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// Files name a process's own credentials and those it trusts.
type Files struct {
	// Own holds this process's certificate, any intermediate ones, and its
	// private key (PEM), in one file so that a renewal replaces both at once.
	Own string `yaml:"own"`
	// Roots holds the certificates of the authorities to trust (PEM).
	Roots string `yaml:"roots"`
	// TokenKeys holds the public keys that tokens may be signed with (PEM); none
	// means that no token is accepted.
	TokenKeys string `yaml:"token_keys"`
}

// Keyring is what the files held when they were last valid. Open connections
// stay as they were made; new ones use the latest.
type Keyring struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[snapshot]
	// warned is the smallest number of days before which expiry was warned of,
	// by fingerprint; used by the goroutine of Watch.
	warned map[string]int
}

// snapshot is one reading of the files; it never changes.
type snapshot struct {
	own   tls.Certificate
	roots *x509.CertPool
	// certificates are own and roots, for warnings.
	certificates []*x509.Certificate
	tokenKeys    map[string]ed25519.PublicKey
	// digest tells what the files held.
	digest string
}

// Load reads the files.
func Load(files Files) (*Keyring, error) {
	k := &Keyring{files: files, now: time.Now, warned: map[string]int{}}
	read, err := k.read()
	if err != nil {
		return nil, err
	}
	k.current.Store(read)
	return k, nil
}

func (k *Keyring) read() (*snapshot, error) {
	// The digest is taken first: of a file that changes meanwhile, the next look reads all.
	read := &snapshot{digest: k.digestFiles()}
	var err error
	if read.own, err = readOwn(k.files.Own); err != nil {
		return nil, fmt.Errorf("own certificate: %w", err)
	}
	roots, err := readCertificates(k.files.Roots)
	if err != nil {
		return nil, fmt.Errorf("roots: %w", err)
	}
	read.roots = x509.NewCertPool()
	for _, root := range roots {
		read.roots.AddCert(root)
	}
	read.certificates = append([]*x509.Certificate{read.own.Leaf}, roots...)
	if read.tokenKeys, err = readTokenKeys(k.files.TokenKeys); err != nil {
		return nil, fmt.Errorf("token keys: %w", err)
	}
	return read, nil
}

// readOwn reads a certificate with its key, which must prove a name.
func readOwn(path string) (tls.Certificate, error) {
	pair, err := readKeyPair(path)
	if err != nil {
		return tls.Certificate{}, err
	}
	_, err = FromCertificate(pair.Leaf)
	return pair, err
}

func readCertificates(path string) ([]*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	certs, err := ParseCertificates(data)
	if err != nil || len(certs) == 0 {
		return nil, fmt.Errorf("%s does not hold certificates", path)
	}
	return certs, nil
}

// readTokenKeys reads the keys that tokens may be signed with; none without a file.
func readTokenKeys(path string) (map[string]ed25519.PublicKey, error) {
	if path == "" {
		return map[string]ed25519.PublicKey{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	keys, err := ParseTokenKeys(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return keys, nil
}

// digestFiles changes when a file does. It is of the content: a file that is renewed twice
// within the resolution of the file system's clock keeps its time, and often its size.
func (k *Keyring) digestFiles() string {
	hash := sha256.New()
	for _, path := range []string{k.files.Own, k.files.Roots, k.files.TokenKeys} {
		data, err := os.ReadFile(path)
		fmt.Fprintf(hash, "%s %v %d;", path, err == nil, len(data))
		hash.Write(data)
	}
	return string(hash.Sum(nil))
}

const (
	// checkInterval is how often the files are looked at.
	checkInterval = time.Second
	// expiryInterval is how often the certificates' expiry is looked at.
	expiryInterval = time.Hour
)

// expiryDays are how many days ahead expiry is warned of.
var expiryDays = []int{1, 7, 30}

// Watch reloads the files when they change, and warns of certificates that
// expire, until ctx ends. Files that can't be used are logged, and the former content stays.
func (k *Keyring) Watch(ctx context.Context, log *slog.Logger) {
	k.warnOfExpiry(log)
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	warnedAt, failedDigest := k.now(), ""
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if digest := k.digestFiles(); digest != k.current.Load().digest && digest != failedDigest {
			if err := k.reload(log); err != nil {
				// A file that is being written may be complete at the next look.
				log.Error("certificates not read again; the former ones stay", "error", err)
				failedDigest = digest
				continue
			}
			failedDigest = ""
		}
		if k.now().Sub(warnedAt) > expiryInterval {
			warnedAt = k.now()
			k.warnOfExpiry(log)
		}
	}
}

// reload reads the files and uses them from now on.
func (k *Keyring) reload(log *slog.Logger) error {
	read, err := k.read()
	if err != nil {
		return err
	}
	k.current.Store(read)
	leaf := read.own.Leaf
	log.Info("certificates read again", "own", Fingerprint(leaf), "until", leaf.NotAfter, "token_keys", len(read.tokenKeys))
	k.warnOfExpiry(log)
	return nil
}

// warnOfExpiry warns of each certificate once for each of expiryDays.
func (k *Keyring) warnOfExpiry(log *slog.Logger) {
	for _, cert := range k.current.Load().certificates {
		fingerprint := Fingerprint(cert)
		left := cert.NotAfter.Sub(k.now())
		for _, days := range expiryDays {
			if left > time.Duration(days)*24*time.Hour {
				continue
			}
			if before, warned := k.warned[fingerprint]; !warned || days < before {
				k.warned[fingerprint] = days
				log.Warn("certificate ends soon", "subject", cert.Subject.CommonName, "fingerprint", fingerprint, "until", cert.NotAfter, "within_days", days)
			}
			break
		}
	}
}

// Signer returns this process's private key, for signing, and its certificate.
func (k *Keyring) Signer() (crypto.Signer, *x509.Certificate) {
	current := k.current.Load()
	signer, _ := current.own.PrivateKey.(crypto.Signer)
	return signer, current.own.Leaf
}

// Verify returns why a certificate does not chain to the roots at a time, nil if it does.
func (k *Keyring) Verify(cert *x509.Certificate, intermediates []*x509.Certificate, at time.Time) error {
	return VerifyChain(cert, intermediates, k.current.Load().roots, at)
}
