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
	// Controllers decide what a client may do; none: every client may do everything.
	Controllers []string `yaml:"controllers"`
	// Identity turns authentication on; nil: connections are not encrypted.
	Identity *identitySettings `yaml:"identity"`
	// Class is the job class of build actions.
	Class string `yaml:"class"`
	// Instances maps instance names of build tools to teams.
	Instances map[string]string `yaml:"instances"`
	// ClientResults lets clients that may submit write action results.
	ClientResults bool `yaml:"client_results"`
	// Execute runs actions as jobs of the cluster.
	Execute bool `yaml:"execute"`
	// Peers are the other front ends, by address; with identities, each with the name in its
	// certificate.
	Peers map[string]string `yaml:"peers"`
	// Copies is how many front ends hold each blob.
	Copies int `yaml:"copies"`
	// Self is the address under which the other front ends know this one; default: Listen.
	Self string `yaml:"self"`
	// Gather bounds how actions are batched into array jobs.
	Gather batchSettings `yaml:"gather"`
	// Shares are the resources that teams share by weight.
	Shares sharingSettings `yaml:"shares"`
	// Repair bounds the verification and re-replication of stored blobs.
	Repair repairSettings `yaml:"repair"`
	// Store is the content-addressed store on disk.
	Store storeSettings `yaml:"store"`
}

// identitySettings name the files that prove who this front end is and whom it trusts.
type identitySettings struct {
	Own   string `yaml:"own"`
	Roots string `yaml:"roots"`
}

// batchSettings bound how long an action waits for others to share a job with, and how many
// actions a job has.
type batchSettings struct {
	For  time.Duration `yaml:"for"`
	Most int           `yaml:"most"`
}

// repairSettings bound the rate of repairs, the pause between passes, and how long a peer may
// be unreachable before its blobs are replicated anew.
type repairSettings struct {
	BytesPerSecond float64       `yaml:"bytes_per_second"`
	Every          time.Duration `yaml:"every"`
	Grace          time.Duration `yaml:"grace"`
}

// storeSettings bound the store; Promise is how long a blob stays that a client was told is
// there, Results how many action results are kept.
type storeSettings struct {
	Dir     string        `yaml:"dir"`
	MaxGB   float64       `yaml:"max_gb"`
	MaxBlob float64       `yaml:"max_blob_mb"`
	Promise time.Duration `yaml:"promise"`
	Results int           `yaml:"results"`
}

// Units of the settings, in bytes.
const (
	megabyte = 1e6
	gigabyte = 1e9
)

// maxBytes is the size limit of the store.
func (s *storeSettings) maxBytes() int64 { return int64(s.MaxGB * gigabyte) }

// maxBlobBytes is the size limit of a blob.
func (s *storeSettings) maxBlobBytes() int64 { return int64(s.MaxBlob * megabyte) }

// defaultSettings are the values of settings that a file leaves out.
func defaultSettings() *settings {
	return &settings{
		Class:  "build",
		Copies: 1,
		Shares: defaultSharing(),
		Gather: batchSettings{For: 50 * time.Millisecond, Most: 256},
		Repair: repairSettings{BytesPerSecond: 20 * megabyte, Every: 10 * time.Minute, Grace: 2 * time.Minute},
		Store:  storeSettings{MaxGB: 10, MaxBlob: 1024, Promise: 10 * time.Minute, Results: 1_000_000},
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

// check finds the first setting that can't be used.
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

// isAddress says whether text has the form HOST:PORT.
func isAddress(text string) bool {
	_, _, err := net.SplitHostPort(text)
	return err == nil
}

// The bounds of batching.
const (
	maxGatherTime  = 10 * time.Second
	maxGatherCount = 10_000
)

// checkService validates what is served to whom, and how actions are run.
func (s *settings) checkService() error {
	switch {
	case s.Identity != nil && len(s.Controllers) == 0:
		return errors.New("controllers: missing; with identities, they decide what a client may do")
	case s.Execute && len(s.Controllers) == 0:
		return errors.New("controllers: missing; actions are submitted to them")
	case s.Identity != nil && (s.Identity.Own == "" || s.Identity.Roots == ""):
		return errors.New("identity: own and roots are needed")
	case len(s.Instances) == 0:
		return errors.New("instances: missing; they map instance names to teams, for example {\"\": payments}")
	case s.Class == "":
		return errors.New("class: missing")
	case s.Copies < 1 || s.Copies > len(s.Peers)+1:
		return fmt.Errorf("copies: must lie between 1 and %d, the number of front ends", len(s.Peers)+1)
	case s.Gather.For < 0 || s.Gather.For > maxGatherTime || s.Gather.Most < 1 || s.Gather.Most > maxGatherCount:
		return errors.New("gather: for must lie between 0 and 10s, most between 1 and 10000")
	}
	return nil
}

// maxPromise bounds store.promise.
const maxPromise = 24 * time.Hour

// checkStore validates the settings of the store. The comparisons refuse NaN too.
func (s *settings) checkStore() error {
	store := &s.Store
	switch {
	case store.Dir == "":
		return errors.New("store.dir: missing")
	case !(store.MaxGB > 0) || !(store.MaxBlob > 0) || store.MaxBlob*megabyte > store.MaxGB*gigabyte:
		return errors.New("store: max_gb and max_blob_mb must be above 0, and a blob must fit the store")
	case store.Promise < 0 || store.Promise > maxPromise:
		return errors.New("store.promise: must lie between 0 and 24h")
	case store.Results < 1:
		return errors.New("store.results: must be at least 1")
	}
	return nil
}

// checkSelf validates the address that other front ends reach this one at.
func (s *settings) checkSelf() error {
	if len(s.Peers) == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(s.Self)
	if err != nil || host == "" || net.ParseIP(host).IsUnspecified() {
		return fmt.Errorf("self: %q is no address that other front ends reach; write the one that they have under peers", s.Self)
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
			return fmt.Errorf("peers.%s: %q is no service; write the name in its certificate", address, name)
		}
	}
	return nil
}

// checkInstances validates the teams behind instance names.
func (s *settings) checkInstances() error {
	for name, team := range s.Instances {
		if team == "" || strings.ContainsAny(team, "/\x00") {
			return fmt.Errorf("instances.%s: %q is no team", name, team)
		}
	}
	return nil
}

// repair are the limits of repairs.
func (s *settings) repair() repair.Settings {
	return repair.Settings{Copies: s.Copies, BytesPerSecond: s.Repair.BytesPerSecond, Every: s.Repair.Every, Grace: s.Repair.Grace}
}
