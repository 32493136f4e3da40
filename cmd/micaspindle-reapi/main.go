// Command micaspindle-reapi is the front door for build tools: the Remote Execution API,
// for the queues whose rights the controllers decide.
package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.yaml.in/yaml/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"micaspindle/internal/client"
	"micaspindle/internal/content"
	"micaspindle/internal/gate"
	"micaspindle/internal/identity"
	"micaspindle/internal/repair"
)

type cli struct {
	Config string `required:"" type:"path" help:"Settings (YAML); deploy/gate.yaml shows one."`
	Check  bool   `help:"Check the settings and exit."`
}

// Help shows examples.
func (cli) Help() string {
	return "Examples:\n  micaspindle-reapi --config deploy/gate.yaml --check\n  micaspindle-reapi --config /etc/micaspindle/gate.yaml\n\n" +
		"Exit codes: 0 after a signal, 1 when serving failed, 2 for settings that can't be used."
}

// settings is the operators' file.
type settings struct {
	Listen string `yaml:"listen"`
	// Controllers are asked what a client may do; none: everybody may do
	// everything.
	Controllers []string `yaml:"controllers"`
	Identity    *struct {
		Own   string `yaml:"own"`
		Roots string `yaml:"roots"`
	} `yaml:"identity"`
	// Class is the class of jobs that rules about builds are written for.
	Class string `yaml:"class"`
	// Instances maps instance names of build tools to teams.
	Instances     map[string]string `yaml:"instances"`
	ClientResults bool              `yaml:"client_results"`
	// Execute makes actions jobs of the cluster.
	Execute bool `yaml:"execute"`
	// Peers are the other gates, by address; with identities, each with the name
	// in its certificate.
	Peers  map[string]string `yaml:"peers"`
	Copies int               `yaml:"copies"`
	// Self is the address under which the other gates know this one; default:
	// listen.
	Self   string `yaml:"self"`
	Gather struct {
		For  time.Duration `yaml:"for"`
		Most int           `yaml:"most"`
	} `yaml:"gather"`
	// Shares are what teams share by weight.
	Shares shares `yaml:"shares"`
	// Repair bounds what reading at rest and copying anew take.
	Repair struct {
		BytesPerSecond float64       `yaml:"bytes_per_second"`
		Every          time.Duration `yaml:"every"`
		Grace          time.Duration `yaml:"grace"`
	} `yaml:"repair"`
	Store struct {
		Dir     string        `yaml:"dir"`
		MaxGB   float64       `yaml:"max_gb"`
		MaxBlob float64       `yaml:"max_blob_mb"`
		Promise time.Duration `yaml:"promise"`
		Results int           `yaml:"results"`
	} `yaml:"store"`
}

// usageError marks what the caller must mend; it ends the process with code 2.
type usageError struct{ error }

func load(path string) (*settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &settings{Class: "build", Copies: 1, Shares: defaultShares()}
	s.Gather.For, s.Gather.Most = 50*time.Millisecond, 256
	s.Repair.BytesPerSecond, s.Repair.Every, s.Repair.Grace = 20e6, 10*time.Minute, 2*time.Minute
	s.Store.MaxGB, s.Store.MaxBlob, s.Store.Promise, s.Store.Results = 10, 1024, 10*time.Minute, 1_000_000
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return nil, fmt.Errorf("listen: not an address: %q", s.Listen)
	}
	for _, a := range s.Controllers {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("controllers: not an address: %q", a)
		}
	}
	switch {
	case s.Identity != nil && len(s.Controllers) == 0:
		return nil, errors.New("controllers: missing; with identities, they decide what a client may do")
	case s.Execute && len(s.Controllers) == 0:
		return nil, errors.New("controllers: missing; actions are submitted to them")
	case s.Identity != nil && (s.Identity.Own == "" || s.Identity.Roots == ""):
		return nil, errors.New("identity: own and roots are needed")
	case len(s.Instances) == 0:
		return nil, errors.New("instances: missing; they map instance names to teams, for example {\"\": payments}")
	case s.Class == "":
		return nil, errors.New("class: missing")
	case s.Copies < 1 || s.Copies > len(s.Peers)+1:
		return nil, fmt.Errorf("copies: must lie between 1 and %d, the number of gates", len(s.Peers)+1)
	case s.Gather.For < 0 || s.Gather.For > 10*time.Second || s.Gather.Most < 1 || s.Gather.Most > 10_000:
		return nil, errors.New("gather: for must lie between 0 and 10s, most between 1 and 10000")
	case s.Store.Dir == "":
		return nil, errors.New("store.dir: missing")
	case !(s.Store.MaxGB > 0) || !(s.Store.MaxBlob > 0) || s.Store.MaxBlob*1e6 > s.Store.MaxGB*1e9:
		return nil, errors.New("store: max_gb and max_blob_mb must be above 0, and a blob must fit the store")
	case s.Store.Promise < 0 || s.Store.Promise > 24*time.Hour:
		return nil, errors.New("store.promise: must lie between 0 and 24h")
	case s.Store.Results < 1:
		return nil, errors.New("store.results: must be at least 1")
	}
	if s.Self == "" {
		s.Self = s.Listen
	}
	if host, _, err := net.SplitHostPort(s.Self); len(s.Peers) > 0 && (err != nil || host == "" || net.ParseIP(host).IsUnspecified()) {
		return nil, fmt.Errorf("self: %q is no address that other gates reach; write the one that they have under peers", s.Self)
	}
	if err := s.Shares.check(s.teams()); err != nil {
		return nil, fmt.Errorf("shares: %w", err)
	}
	if r := s.repair(); r.Check() != nil {
		return nil, fmt.Errorf("repair: %w", r.Check())
	}
	for addr, name := range s.Peers {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("peers: not an address: %q", addr)
		}
		if n, err := identity.ParseName(name); s.Identity != nil && (err != nil || n.Kind != identity.Service) {
			return nil, fmt.Errorf("peers.%s: %q is no service; write the name in its certificate", addr, name)
		}
	}
	for name, team := range s.Instances {
		if team == "" || strings.ContainsAny(team, "/\x00") {
			return nil, fmt.Errorf("instances.%s: %q is no team", name, team)
		}
	}
	return s, nil
}

func (s *settings) repair() repair.Settings {
	return repair.Settings{Copies: s.Copies, BytesPerSecond: s.Repair.BytesPerSecond, Every: s.Repair.Every, Grace: s.Repair.Grace}
}

func serve(ctx context.Context, s *settings, log *slog.Logger) error {
	store, found, err := content.Open(filepath.Join(s.Store.Dir, "content"), content.Options{MaxBytes: int64(s.Store.MaxGB * 1e9),
		MaxBlob: int64(s.Store.MaxBlob * 1e6), Promise: s.Store.Promise, Quotas: s.Shares.quotas(int64(s.Store.MaxGB*1e9), s.teams())})
	if err != nil {
		return usageError{err}
	}
	defer store.Close() //nolint:errcheck // the process ends
	log.Info("content store opened", "blobs", found.Blobs, "bytes", found.Bytes, "torn", found.Torn, "kept", found.Kept)
	results, err := content.OpenResults(filepath.Join(s.Store.Dir, "results"), s.Store.Results)
	if err != nil {
		return usageError{err}
	}
	var access gate.Access = gate.Open{}
	var opts []grpc.ServerOption
	config := gate.Config{Instances: s.Instances, ClientResults: s.ClientResults, Class: s.Class, MaxBlob: int64(s.Store.MaxBlob * 1e6),
		Self: s.Self, Grace: s.Repair.Grace, GatherFor: s.Gather.For, GatherMost: s.Gather.Most}
	if config.Shares, err = s.Shares.open(s.teams()); err != nil {
		return usageError{err}
	}
	believe := func(context.Context) bool { return true } // without identities everybody is believed
	if len(s.Peers) > 0 {
		config.IsPeer = believe
	}
	config.IsWorker = believe
	controllers := client.New(s.Controllers, nil, "")
	dial := func(string) credentials.TransportCredentials { return insecure.NewCredentials() }
	if s.Identity != nil {
		keys, err := identity.Load(identity.Files{Own: s.Identity.Own, Roots: s.Identity.Roots})
		if err != nil {
			return usageError{err}
		}
		go keys.Watch(ctx, log)
		opts = append(opts, grpc.Creds(credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
				c := keys.Server(false)
				c.NextProtos = []string{"h2"}
				return c, nil
			}})))
		controllers = client.New(s.Controllers, keys.Client(func(n identity.Name) bool { return n.Kind == identity.Controller }), "")
		asker, err := gate.NewAsker(controllers, s.Class)
		if err != nil {
			return err
		}
		access = asker
		names := map[string]bool{}
		for _, name := range s.Peers {
			names[name] = true
		}
		config.IsPeer = func(ctx context.Context) bool { return names[certifiedName(ctx)] }
		config.Certified = func(ctx context.Context) string {
			name, err := identity.ParseName(certifiedName(ctx))
			if err != nil || !name.Caller() {
				return ""
			}
			return name.String()
		}
		config.IsWorker = func(ctx context.Context) bool {
			return strings.HasPrefix(certifiedName(ctx), string(identity.Worker)+"/")
		}
		dial = func(name string) credentials.TransportCredentials {
			// The certificate of a new connection is the latest.
			return credentials.NewTLS(keys.Client(func(n identity.Name) bool { return n.String() == name }))
		}
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return usageError{err}
	}
	var jobs gate.Jobs
	if s.Execute {
		jobs = gate.Controllers{Client: controllers}
	}
	conns := map[string]*grpc.ClientConn{}
	for addr, name := range s.Peers {
		conn, err := gate.DialPeer(addr, dial(name))
		if err != nil {
			return fmt.Errorf("peer %s: %w", addr, err)
		}
		defer conn.Close() //nolint:errcheck // the process ends
		conns[addr] = conn
	}
	g := gate.New(config, store, results, access, gate.NewPeers(s.Copies, conns, log), jobs, log)
	server := g.Server(opts...)
	go g.Sweep(ctx, gate.DefaultLinger)
	fixer, err := g.Repair(s.repair(), filepath.Join(s.Store.Dir, "repair.json"), log)
	if err != nil {
		return usageError{err}
	}
	go fixer.Run(ctx)
	go func() {
		<-ctx.Done()
		// Calls that are under way may end; those that don't are cut off.
		timer := time.AfterFunc(5*time.Second, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	}()
	log.Info("serving", "addr", l.Addr().String(), "identities", s.Identity != nil)
	if err := server.Serve(l); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	stats := store.Stats()
	log.Info("stopped", "reason", context.Cause(ctx), "blobs", stats.Blobs, "evicted", stats.Evicted, "corrupt", stats.Corrupt)
	return nil
}

// certifiedName is the name in the certificate of a call's connection.
func certifiedName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return ""
	}
	name, err := identity.FromCertificate(info.State.PeerCertificates[0])
	// The connection may have been open for longer than the certificate is good.
	if err != nil || time.Now().After(info.State.PeerCertificates[0].NotAfter) {
		return ""
	}
	return name.String()
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser := kong.Must(&c, kong.Name("micaspindle-reapi"), kong.Description("The Remote Execution API for build tools, on the cluster and with its rights."))
	_, err := parser.Parse(os.Args[1:])
	var s *settings
	if err == nil {
		if s, err = load(c.Config); err != nil {
			err = fmt.Errorf("%s: %w", c.Config, err)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-reapi:", err)
		os.Exit(2)
	}
	if c.Check {
		fmt.Printf("%s is good: %d instances\n", c.Config, len(s.Instances))
		return
	}
	level := slog.LevelInfo
	if text := os.Getenv("LOG_LEVEL"); text != "" {
		_ = level.UnmarshalText([]byte(text))
	}
	if err := serve(ctx, s, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))); err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-reapi:", err)
		if errors.As(err, new(usageError)) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
