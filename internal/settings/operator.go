package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Bounds of the operator settings.
const (
	minMovePeriod = 100 * time.Millisecond
	minIdleReturn = time.Second
	minLeaseTTL   = time.Second
	maxLeaseTTL   = 10 * time.Minute
)

// Operator has the settings of the operators' file. All are optional.
type Operator struct {
	// UseLimit is the use of a machine's CPUs, as a fraction, below which placement prefers the
	// machine.
	UseLimit float64 `yaml:"limit_share"`
	// MovePeriod is the interval at which the cluster leader moves idle machines between
	// partitions.
	MovePeriod time.Duration `yaml:"move_period"`
	// IdleReturn is the idle time after which a machine is returned to the cloud.
	IdleReturn time.Duration `yaml:"idle_return"`
	// LeaseTTL is the time to live of a controller's lease after its last renewal.
	LeaseTTL time.Duration `yaml:"claim_ttl"`
	// Identity configures authentication. If it is nil, callers are not authenticated, every
	// request is allowed, and connections do not use TLS.
	Identity *Identity `yaml:"identity"`
	// Operations configures the listener for metrics and the overview. If it is nil, no metrics
	// are recorded.
	Operations *Operations `yaml:"operations"`
}

// Operations configures the listener for operators.
type Operations struct {
	// Listen is the address (HOST:PORT) to listen on.
	Listen string `yaml:"listen"`
}

// Identity names the files with a controller's credentials and with the certificates and keys that it
// trusts.
type Identity struct {
	// CredentialsFile is the file with the controller's certificate and key, Roots the one with the trusted
	// root certificates, and TokenKeysFile the one with the public keys of tokens. "{label}" in a
	// file name is replaced by the controller's label.
	CredentialsFile string `yaml:"own"`
	RootsFile       string `yaml:"roots"`
	TokenKeysFile   string `yaml:"token_keys"`
	// Cluster is the name that tokens must be issued for.
	Cluster string `yaml:"cluster"`
	// Bootstrap is the identity that may write the first policy.
	Bootstrap string `yaml:"bootstrap"`
}

// DefaultOperator returns the settings that apply without an operators' file.
func DefaultOperator() Operator {
	return Operator{
		UseLimit:   0.8,
		MovePeriod: time.Second,
		IdleReturn: 15 * time.Second,
		LeaseTTL:   3 * time.Second,
	}
}

// LoadOperator reads and checks the operators' file. Unknown fields are errors. If path is empty, it
// returns the defaults.
func LoadOperator(path string) (Operator, error) {
	operator := DefaultOperator()
	if path == "" {
		return operator, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return operator, fmt.Errorf("operator settings: %w", err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&operator); err != nil && !errors.Is(err, io.EOF) {
		return operator, fmt.Errorf("operator settings: %w", err)
	}
	if err := operator.check(); err != nil {
		return operator, fmt.Errorf("operator settings: %w", err)
	}
	return operator, nil
}

// check returns an error that names the first invalid field.
func (o *Operator) check() error {
	switch {
	case !(o.UseLimit >= 0 && o.UseLimit <= 1):
		return errors.New("limit_share: must be between 0 and 1")
	case o.MovePeriod < minMovePeriod:
		return errors.New("move_period: must be at least 100ms")
	case o.IdleReturn < minIdleReturn:
		return errors.New("idle_return: must be at least 1s")
	case o.LeaseTTL < minLeaseTTL || o.LeaseTTL > maxLeaseTTL:
		return errors.New("claim_ttl: must be between 1s and 10m")
	}
	if o.Operations != nil {
		if err := o.Operations.check(o.Identity != nil); err != nil {
			return err
		}
	}
	if o.Identity != nil {
		return o.Identity.check()
	}
	return nil
}

// check checks the listen address. It must be a loopback address if callers are not authenticated.
func (o *Operations) check(authenticated bool) error {
	host, _, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return fmt.Errorf("operations.listen: %q is not an address of the form HOST:PORT", o.Listen)
	}
	if ip := net.ParseIP(host); !authenticated && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("operations.listen: %s is not a loopback address, which is required without the identity settings", o.Listen)
	}
	return nil
}

// check returns an error that names the first missing field.
func (i *Identity) check() error {
	switch {
	case i.CredentialsFile == "":
		return errors.New("identity.own: missing file name of this controller's certificate and key")
	case i.RootsFile == "":
		return errors.New("identity.roots: missing file name of the trusted root certificates")
	case i.TokenKeysFile != "" && i.Cluster == "":
		return errors.New("identity.cluster: missing cluster name, which is required with token_keys")
	}
	return nil
}
