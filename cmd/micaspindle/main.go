// Command micaspindle is one controller of the cluster scheduler.
package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination"
	"micaspindle/internal/identity"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

type cli struct {
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Settings settingsCmd `cmd:"" help:"Work with settings files."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type files struct {
	Config   string `required:"" type:"path" help:"The platform's settings file (JSON)."`
	Operator string `type:"path" help:"The operators' own settings (YAML), optional."`
}

func (f files) load() (*settings.Settings, settings.Operator, error) {
	set, err := settings.Load(f.Config)
	if err != nil {
		return nil, settings.Operator{}, err
	}
	op, err := settings.LoadOperator(f.Operator)
	return set, op, err
}

type settingsCmd struct {
	Check checkCmd `cmd:"" help:"Check settings files and exit."`
}

type checkCmd struct{ files }

// Run checks the files.
func (c *checkCmd) Run() error {
	set, _, err := c.load()
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("settings of %s are good: %d controllers, %d teams\n", set.Label, set.Params.Count, len(set.Params.Teams))
	return nil
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("micaspindle", version, runtime.Version())
	return nil
}

type serveCmd struct{ files }

// usageError marks what the caller must mend; it ends the process with code 2.
type usageError struct{ error }

// Run serves until a signal or a failure of the engine.
func (s *serveCmd) Run() error {
	set, op, err := s.load()
	if err != nil {
		return usageError{err}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	slog.SetDefault(log)
	// One thread's worth of a core, and a heap that stays below the limit at
	// which the process would be killed.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Params.MachineLimits.MemMB * 0.7 * (1 << 20)))
	// The live heap is a small part of that, and the share of a core is small:
	// collecting less often costs memory that is there.
	debug.SetGCPercent(400)

	asked, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return serve(asked, set, op, log)
}

// handOverFor is how long a planned end may take to hand over; what is left of it by then
// is found as after any other end.
const handOverFor = time.Second

// serve runs the controller until it is asked to end, and then hands over first.
func serve(asked context.Context, set *settings.Settings, op settings.Operator, log *slog.Logger) error {
	ctx, end := context.WithCancelCause(context.WithoutCancel(asked))
	defer end(nil)
	client := transport.NewClient()
	ctl := coordination.New(ctx, set, op, client, log)
	var keys *identity.Keyring
	if op.Identity != nil {
		var err error
		if keys, err = identify(ctl, client, set, op.Identity); err != nil {
			return usageError{err}
		}
	}
	sockets := set.Params.MachineLimits.Sockets
	client.Crowded = sockets * 3 / 4
	listeners := []*transport.Listener{
		{Addr: set.ServeOn, Handler: ctl.Serve, MaxBody: 64 << 10, MaxConns: max(8, sockets*3/4), Full: ctl.UsersFull},
		{Addr: set.ClusterListen, Handler: ctl.ServePeers, MaxBody: coordination.MaxPeerBody(set.Params.MachineLimits),
			MaxConns: max(8, sockets/20), Full: ctl.PeersFull},
	}
	if keys != nil {
		listeners[0].Secure = func() *tls.Config { return keys.Server(false) }
		listeners[1].Secure = func() *tls.Config { return keys.Server(true) }
	}
	if op.Operations != nil {
		ctl.Observe()
		l := &transport.Listener{Addr: op.Operations.Listen, Handler: ctl.ServeOperations, MaxBody: 1 << 10, MaxConns: operatorsMost}
		if keys != nil {
			l.Secure = func() *tls.Config { return keys.Server(false) }
		}
		listeners = append(listeners, l)
	}
	err := transport.Run(ctx, listeners, func(e *transport.Engine) {
		client.Attach(e)
		log.Info("serving", "label", set.Label, "zone", set.Zone, "addr", set.ServeOn)
		go client.SweepUntil(ctx)
		if keys != nil {
			go keys.Watch(ctx, log)
		}
		go func() {
			select {
			case <-asked.Done():
				hand, cancel := context.WithTimeout(ctx, handOverFor)
				defer cancel()
				ctl.HandOver(hand)
				end(context.Cause(asked))
			case <-ctx.Done():
			}
		}()
		ctl.Run()
	})
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	log.Info("stopped", "reason", context.Cause(ctx))
	return nil
}

// operatorsMost is how many connections operators may hold.
const operatorsMost = 16

// identify turns identities on: TLS to users, workers and other controllers,
// and a controller that asks who comes. The state service and the cloud are the
// platform's and stay in the clear.
func identify(ctl *coordination.Controller, client *transport.Client, set *settings.Settings, id *settings.Identity) (*identity.Keyring, error) {
	path := func(name string) string { return strings.ReplaceAll(name, "{label}", set.Label) }
	keys, err := identity.Load(identity.Files{Own: path(id.Own), Roots: path(id.Roots), TokenKeys: path(id.TokenKeys)})
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	_, cert := keys.Signer()
	if name, err := identity.FromCertificate(cert); err != nil || name.Kind != identity.Controller || name.ID != set.Label {
		return nil, fmt.Errorf("identity.own: the certificate is for %s, but this is controller/%s", name, set.Label)
	}
	if id.Bootstrap != "" {
		if name, err := identity.ParseName(id.Bootstrap); err != nil || !name.Caller() {
			return nil, fmt.Errorf("identity.bootstrap: %q is no person and no service", id.Bootstrap)
		}
	}
	peers := map[string]string{}
	for _, o := range set.Others {
		peers[o.PeerAddr] = o.Label
	}
	client.Secure = func(addr string) *tls.Config {
		if addr == set.Services.State || addr == set.Services.Cloud {
			return nil
		}
		label, isPeer := peers[addr]
		return keys.Client(func(n identity.Name) bool {
			if isPeer {
				return n.Kind == identity.Controller && n.ID == label
			}
			return n.Kind == identity.Worker
		})
	}
	bound := time.Duration(set.Params.TimeBoundMS * float64(time.Millisecond))
	err = ctl.Identify(coordination.Identities{Tokens: identity.NewTokens(keys, id.Cluster, bound), Bootstrap: id.Bootstrap, ClockBound: bound,
		Signer: func() audit.Signer {
			key, cert := keys.Signer()
			return audit.Signer{Key: key, Cert: cert, ID: identity.Fingerprint(cert)}
		}})
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return keys, nil
}

func logLevel() slog.Level {
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("micaspindle"), kong.Description("A cluster scheduler that places work where contention is least."))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle:", err)
		os.Exit(2)
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle:", err)
		if errors.As(err, new(usageError)) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
