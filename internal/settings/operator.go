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

// Bounds of the operators' settings.
const (
	minMovePeriod = 100 * time.Millisecond
	minIdleReturn = time.Second
	minLeaseTTL   = time.Second
	maxLeaseTTL   = 10 * time.Minute
)

// Operator are the operators' own settings, all optional.
type Operator struct {
	// LimitShare is the fraction of a machine's CPUs in use below which the machine counts as
	// under its limit.
	LimitShare float64 `yaml:"limit_share"`
	// MovePeriod is how often the cluster leader moves idle machines between partitions.
	MovePeriod time.Duration `yaml:"move_period"`
	// IdleReturn is how long a machine may be idle before it is returned to the cloud.
	IdleReturn time.Duration `yaml:"idle_return"`
	// LeaseTTL is the time to live of a controller's lease after its last renewal.
	LeaseTTL time.Duration `yaml:"claim_ttl"`
	// Identity makes the controller authenticate callers; nil: everybody may do everything,
	// over connections without TLS.
	Identity *Identity `yaml:"identity"`
	// Operations serves metrics and the overview to operators; nil: nothing is measured.
	Operations *Operations `yaml:"operations"`
}

// Operations is the operators' listener.
type Operations struct {
	// Listen is an address, HOST:PORT.
	Listen string `yaml:"listen"`
}

// Identity names the files of a controller's credentials and of the roots that it trusts.
type Identity struct {
	// Own has the controller's certificate and key, Roots the trusted root certificates,
	// TokenKeys the public keys of tokens. "{label}" in a name stands for the controller's
	// label.
	Own       string `yaml:"own"`
	Roots     string `yaml:"roots"`
	TokenKeys string `yaml:"token_keys"`
	// Cluster is the name that tokens must be issued for.
	Cluster string `yaml:"cluster"`
	// Bootstrap is the identity that may write the first policy.
	Bootstrap string `yaml:"bootstrap"`
}

// DefaultOperator returns the settings that hold without an operators' file.
func DefaultOperator() Operator {
	return Operator{
		LimitShare: 0.8,
		MovePeriod: time.Second,
		IdleReturn: 15 * time.Second,
		LeaseTTL:   3 * time.Second,
	}
}

// LoadOperator reads and checks the operators' file; unknown fields are errors. An empty path gives
// the defaults.
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

// check returns the first error in the settings, which names the field.
func (o *Operator) check() error {
	switch {
	case !(o.LimitShare >= 0 && o.LimitShare <= 1):
		return errors.New("limit_share: must lie between 0 and 1")
	case o.MovePeriod < minMovePeriod:
		return errors.New("move_period: must be at least 100ms")
	case o.IdleReturn < minIdleReturn:
		return errors.New("idle_return: must be at least 1s")
	case o.LeaseTTL < minLeaseTTL || o.LeaseTTL > maxLeaseTTL:
		return errors.New("claim_ttl: must lie between 1s and 10m")
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

// check returns what is wrong with the listener. Where callers are not authenticated it must be on
// loopback.
func (o *Operations) check(authenticated bool) error {
	host, _, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return fmt.Errorf("operations.listen: %q is no HOST:PORT", o.Listen)
	}
	if ip := net.ParseIP(host); !authenticated && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("operations.listen: %s: without identities only a loopback address may tell", o.Listen)
	}
	return nil
}

// check returns which file or name is missing.
func (i *Identity) check() error {
	switch {
	case i.Own == "":
		return errors.New("identity.own: missing; it names the file with this controller's certificate and key")
	case i.Roots == "":
		return errors.New("identity.roots: missing; it names the file with the certificates to trust")
	case i.TokenKeys != "" && i.Cluster == "":
		return errors.New("identity.cluster: missing; tokens are issued for a cluster by name")
	}
	return nil
}
