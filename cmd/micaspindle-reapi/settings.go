package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"micaspindle/internal/identity"
	"micaspindle/internal/repair"
)

// settings is the operators' settings file.
type settings struct {
	Listen string `yaml:"listen"`
	// Controllers are the addresses of the controllers, which decide what clients may do and
	// accept actions as jobs.
	Controllers []string `yaml:"controllers"`
	// Identity turns authentication on. If it is nil, every client may do everything and
	// connections are not encrypted.
	Identity *identitySettings `yaml:"identity"`
	// Class is the job class of build actions.
	Class string `yaml:"class"`
	// Instances maps instance names of build tools to teams.
	Instances map[string]string `yaml:"instances"`
	// ClientResults allows clients with the submit right to write action results.
	ClientResults bool `yaml:"client_results"`
	// Execute runs actions as jobs of the cluster.
	Execute bool `yaml:"execute"`
	// Peers maps the addresses of the other front ends to the names in their certificates. The
	// names are used only with Identity.
	Peers map[string]string `yaml:"peers"`
	// Copies is the number of front ends that hold each blob.
	Copies int `yaml:"copies"`
	// Self is the address at which the other front ends reach this one; default: Listen.
	Self string `yaml:"self"`
	// Batching limits how actions are batched into array jobs.
	Batching batchSettings `yaml:"gather"`
	// Shares are the resources that teams share by weight.
	Shares sharingSettings `yaml:"shares"`
	// Repair limits the verification and re-replication of stored blobs.
	Repair repairSettings `yaml:"repair"`
	// Store is the content-addressed store on disk.
	Store storeSettings `yaml:"store"`
}

// identitySettings names the files with this front end's certificate and key (Own) and with the CA
// certificates that it trusts (Roots).
type identitySettings struct {
	Own   string `yaml:"own"`
	Roots string `yaml:"roots"`
}

// batchSettings limits the batches: MaxWait is the maximum time for which an action waits for
// further actions, and MaxActions the maximum number of actions of a job.
type batchSettings struct {
	MaxWait    time.Duration `yaml:"for"`
	MaxActions int           `yaml:"most"`
}

// repairSettings limits repairs: their rate, the pause between passes (Interval), and the time after
// which the blobs of an unreachable peer are replicated again (Grace).
type repairSettings struct {
	BytesPerSecond float64       `yaml:"bytes_per_second"`
	Interval       time.Duration `yaml:"every"`
	Grace          time.Duration `yaml:"grace"`
}

// storeSettings limits the store. Retention is the minimum time for which a blob is kept after the
// front end has reported it as stored, and MaxResults the maximum number of action results.
type storeSettings struct {
	Dir        string        `yaml:"dir"`
	MaxGB      float64       `yaml:"max_gb"`
	MaxBlobMB  float64       `yaml:"max_blob_mb"`
	Retention  time.Duration `yaml:"promise"`
	MaxResults int           `yaml:"results"`
}

// Units of the settings, in bytes.
const (
	megabyte = 1e6
	gigabyte = 1e9
)

// maxBytes returns the size limit of the store.
func (s *storeSettings) maxBytes() int64 { return int64(s.MaxGB * gigabyte) }

// maxBlobBytes returns the size limit of a blob.
func (s *storeSettings) maxBlobBytes() int64 { return int64(s.MaxBlobMB * megabyte) }

// defaultSettings returns the default settings, which apply where a file sets no value.
func defaultSettings() *settings {
	return &settings{
		Class:    "build",
		Copies:   1,
		Shares:   defaultSharing(),
		Batching: batchSettings{MaxWait: 50 * time.Millisecond, MaxActions: 256},
		Repair:   repairSettings{BytesPerSecond: 20 * megabyte, Interval: 10 * time.Minute, Grace: 2 * time.Minute},
		Store:    storeSettings{MaxGB: 10, MaxBlobMB: 1024, Retention: 10 * time.Minute, MaxResults: 1_000_000},
	}
}

// load reads and validates a settings file.
func load(path string) (*settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := defaultSettings()
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if s.Self == "" {
		s.Self = s.Listen
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check validates all settings and returns the first error.
func (s *settings) check() error {
	checks := []func() error{s.checkAddresses, s.checkService, s.checkStore, s.checkSelf, s.checkSharing, s.checkRepair, s.checkPeers, s.checkInstances}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses validates the addresses of this front end and of the controllers.
func (s *settings) checkAddresses() error {
	if !isAddress(s.Listen) {
		return fmt.Errorf("listen: not an address: %q", s.Listen)
	}
	for _, address := range s.Controllers {
		if !isAddress(address) {
			return fmt.Errorf("controllers: not an address: %q", address)
		}
	}
	return nil
}

// isAddress reports whether text has the form HOST:PORT.
func isAddress(text string) bool {
	_, _, err := net.SplitHostPort(text)
	return err == nil
}

// Upper limits of the batching settings.
const (
	maxBatchWait    = 10 * time.Second
	maxBatchActions = 10_000
)

// checkService validates the settings of authentication, instances, execution, copies and batches.
func (s *settings) checkService() error {
	switch {
	case s.Identity != nil && len(s.Controllers) == 0:
		return errors.New("controllers: missing; with identity set, they decide what a client may do")
	case s.Execute && len(s.Controllers) == 0:
		return errors.New("controllers: missing; with execute set, actions are submitted to them")
	case s.Identity != nil && (s.Identity.Own == "" || s.Identity.Roots == ""):
		return errors.New("identity: own and roots are required")
	case len(s.Instances) == 0:
		return errors.New("instances: missing; they map instance names to teams, for example {\"\": payments}")
	case s.Class == "":
		return errors.New("class: must not be empty")
	case s.Copies < 1 || s.Copies > len(s.Peers)+1:
		return fmt.Errorf("copies: must lie between 1 and %d, the number of front ends", len(s.Peers)+1)
	case s.Batching.MaxWait < 0 || s.Batching.MaxWait > maxBatchWait || s.Batching.MaxActions < 1 || s.Batching.MaxActions > maxBatchActions:
		return errors.New("gather: gather.for must lie between 0 and 10s, and gather.most between 1 and 10000")
	}
	return nil
}

// maxRetention is the upper limit of store.promise.
const maxRetention = 24 * time.Hour

// checkStore validates the settings of the store. Its comparisons also reject NaN.
func (s *settings) checkStore() error {
	store := &s.Store
	switch {
	case store.Dir == "":
		return errors.New("store.dir: missing")
	case !(store.MaxGB > 0) || !(store.MaxBlobMB > 0) || store.MaxBlobMB*megabyte > store.MaxGB*gigabyte:
		return errors.New("store: max_gb and max_blob_mb must be above 0, and a blob must fit the store")
	case store.Retention < 0 || store.Retention > maxRetention:
		return errors.New("store.promise: must lie between 0 and 24h")
	case store.MaxResults < 1:
		return errors.New("store.results: must be at least 1")
	}
	return nil
}

// checkSelf validates the address at which other front ends reach this one.
func (s *settings) checkSelf() error {
	if len(s.Peers) == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(s.Self)
	if err != nil || host == "" || net.ParseIP(host).IsUnspecified() {
		return fmt.Errorf("self: %q is not an address that other front ends can reach; give the one in their peers setting", s.Self)
	}
	return nil
}

// checkSharing validates the resources that teams share.
func (s *settings) checkSharing() error {
	if err := s.Shares.check(s.teams()); err != nil {
		return fmt.Errorf("shares: %w", err)
	}
	return nil
}

// checkRepair validates the limits of repairs.
func (s *settings) checkRepair() error {
	limits := s.repair()
	if err := limits.Check(); err != nil {
		return fmt.Errorf("repair: %w", err)
	}
	return nil
}

// checkPeers validates the addresses and names of the other front ends.
func (s *settings) checkPeers() error {
	for address, name := range s.Peers {
		if !isAddress(address) {
			return fmt.Errorf("peers: not an address: %q", address)
		}
		if s.Identity == nil {
			continue
		}
		if n, err := identity.ParseName(name); err != nil || n.Kind != identity.Service {
			return fmt.Errorf("peers.%s: %q is not the name of a service; give the name in the front end's certificate", address, name)
		}
	}
	return nil
}

// checkInstances validates the teams that instance names map to.
func (s *settings) checkInstances() error {
	for name, team := range s.Instances {
		if team == "" || strings.ContainsAny(team, "/\x00") {
			return fmt.Errorf("instances.%s: %q is no team name; it must not be empty or contain / or a NUL byte", name, team)
		}
	}
	return nil
}

// repair returns the settings of repairs.
func (s *settings) repair() repair.Settings {
	return repair.Settings{Copies: s.Copies, BytesPerSecond: s.Repair.BytesPerSecond, Interval: s.Repair.Interval, Grace: s.Repair.Grace}
}
