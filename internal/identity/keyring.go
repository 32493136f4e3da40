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

// Files are the paths of a process's own credentials and of the certificates and keys that it trusts.
type Files struct {
	// CredentialsFile holds this process's certificate, any intermediate certificates and the private
	// key (PEM). They share one file so that a renewal replaces them atomically.
	CredentialsFile string `yaml:"own"`
	// RootsFile holds the trusted root certificates (PEM).
	RootsFile string `yaml:"roots"`
	// TokenKeysFile holds the public keys that verify tokens (PEM). Without it, no token is
	// accepted.
	TokenKeysFile string `yaml:"token_keys"`
}

// Keyring holds the credentials of the last valid version of the files. A reload affects new
// connections only.
type Keyring struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[snapshot]
	// expiryWarnings holds, by fingerprint, the smallest of expiryWarningDays that was logged for
	// a certificate. Only the goroutine of Watch uses it.
	expiryWarnings map[string]int
}

// snapshot is the content of the files at one time. It is immutable.
type snapshot struct {
	own   tls.Certificate
	roots *x509.CertPool
	// certificates are the own certificate and the roots, whose expiry is watched.
	certificates []*x509.Certificate
	tokenKeys    map[string]ed25519.PublicKey
	// digest is the hash of the files.
	digest string
}

// Load returns a keyring with the content of the files.
func Load(files Files) (*Keyring, error) {
	k := &Keyring{files: files, now: time.Now, expiryWarnings: map[string]int{}}
	loaded, err := k.read()
	if err != nil {
		return nil, err
	}
	k.current.Store(loaded)
	return k, nil
}

func (k *Keyring) read() (*snapshot, error) {
	// The digest is computed first, so that the next check detects a file that changes during the read.
	loaded := &snapshot{digest: k.digestFiles()}
	var err error
	if loaded.own, err = readOwnCertificate(k.files.CredentialsFile); err != nil {
		return nil, fmt.Errorf("own certificate: %w", err)
	}
	roots, err := readCertificates(k.files.RootsFile)
	if err != nil {
		return nil, fmt.Errorf("roots: %w", err)
	}
	loaded.roots = x509.NewCertPool()
	for _, root := range roots {
		loaded.roots.AddCert(root)
	}
	loaded.certificates = append([]*x509.Certificate{loaded.own.Leaf}, roots...)
	if loaded.tokenKeys, err = readTokenKeys(k.files.TokenKeysFile); err != nil {
		return nil, fmt.Errorf("token keys: %w", err)
	}
	return loaded, nil
}

// readOwnCertificate reads a certificate with its private key. The certificate must hold a name.
func readOwnCertificate(path string) (tls.Certificate, error) {
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

// readTokenKeys reads the public keys that verify tokens. An empty path means no keys.
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

// digestFiles returns a hash of the files' content. Modification times don't suffice: a file
// that is written twice within the resolution of the file system's clock keeps its time.
func (k *Keyring) digestFiles() string {
	hash := sha256.New()
	for _, path := range []string{k.files.CredentialsFile, k.files.RootsFile, k.files.TokenKeysFile} {
		data, err := os.ReadFile(path)
		fmt.Fprintf(hash, "%s %v %d;", path, err == nil, len(data))
		hash.Write(data)
	}
	return string(hash.Sum(nil))
}

const (
	// reloadCheckInterval is the interval of checks for changed files.
	reloadCheckInterval = time.Second
	// expiryCheckInterval is the interval of checks for certificates that expire soon.
	expiryCheckInterval = time.Hour
)

// expiryWarningDays are the numbers of days before expiry at which a warning is logged, ascending.
var expiryWarningDays = []int{1, 7, 30}

// Watch reloads the files when they change, and logs a warning for certificates that expire soon,
// until ctx is done. If a reload fails, it logs the error and keeps the previous content.
func (k *Keyring) Watch(ctx context.Context, log *slog.Logger) {
	k.warnOfExpiry(log)
	tick := time.NewTicker(reloadCheckInterval)
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
				// The file may be half written; its next change is read again.
				log.Error("reloading certificates failed; the previous ones stay in use", "error", err)
				failedDigest = digest
				continue
			}
			failedDigest = ""
		}
		if k.now().Sub(warnedAt) > expiryCheckInterval {
			warnedAt = k.now()
			k.warnOfExpiry(log)
		}
	}
}

// reload reads the files and replaces the current snapshot.
func (k *Keyring) reload(log *slog.Logger) error {
	loaded, err := k.read()
	if err != nil {
		return err
	}
	k.current.Store(loaded)
	leaf := loaded.own.Leaf
	log.Info("certificates read again", "own", Fingerprint(leaf), "until", leaf.NotAfter, "token_keys", len(loaded.tokenKeys))
	k.warnOfExpiry(log)
	return nil
}

// warnOfExpiry logs one warning per certificate and element of expiryWarningDays.
func (k *Keyring) warnOfExpiry(log *slog.Logger) {
	for _, cert := range k.current.Load().certificates {
		fingerprint := Fingerprint(cert)
		left := cert.NotAfter.Sub(k.now())
		for _, days := range expiryWarningDays {
			if left > time.Duration(days)*24*time.Hour {
				continue
			}
			if before, warned := k.expiryWarnings[fingerprint]; !warned || days < before {
				k.expiryWarnings[fingerprint] = days
				log.Warn("certificate expires soon", "subject", cert.Subject.CommonName, "fingerprint", fingerprint, "until", cert.NotAfter, "within_days", days)
			}
			break
		}
	}
}

// Signer returns this process's private key and the certificate that verifies its signatures.
func (k *Keyring) Signer() (crypto.Signer, *x509.Certificate) {
	current := k.current.Load()
	signer, _ := current.own.PrivateKey.(crypto.Signer)
	return signer, current.own.Leaf
}

// Verify returns an error unless a certificate chains to the trusted roots and is valid at the time.
func (k *Keyring) Verify(cert *x509.Certificate, intermediates []*x509.Certificate, at time.Time) error {
	return VerifyChain(cert, intermediates, k.current.Load().roots, at)
}
