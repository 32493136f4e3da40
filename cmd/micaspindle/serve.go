package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"micaspindle/internal/coordination"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/identity"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// serveCmd runs the controller.
type serveCmd struct{ files }

// Run serves until a signal or a failure of the engine.
func (s *serveCmd) Run() error {
	set, op, err := s.load()
	if err != nil {
		return usageError{err}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	slog.SetDefault(log)
	limitRuntime(set.Params.MachineLimits.MemMB)
	asked, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return serve(asked, set, op, log)
}

// logLevel is that of the variable LOG_LEVEL; info, if it is not set or unknown.
func logLevel() slog.Level {
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

const (
	// heapShare is the share of the memory limit that the Go runtime may use, so that the
	// process stays below the limit at which it would be killed.
	heapShare = 0.7
	// gcPercent is above the default: the live heap is a small part of the memory limit and
	// the share of a core is small, so collecting less often costs memory that is there.
	gcPercent = 400

	bytesPerMB = 1 << 20
)

// limitRuntime keeps the Go runtime to one core and to the memory limit.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB * heapShare * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

// handOverTimeout is how long a planned shutdown may take to hand over; what is left of it by then
// is recovered as after a crash.
const handOverTimeout = time.Second

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
	client.CrowdedConnections = userSockets(set.Params.MachineLimits.Sockets)
	err := transport.Run(ctx, listeners(ctl, set, op, keys), func(e *transport.Engine) {
		client.Attach(e)
		log.Info("serving", "label", set.Label, "zone", set.Zone, "addr", set.ServeOn)
		go client.SweepUntil(ctx)
		if keys != nil {
			go keys.Watch(ctx, log)
		}
		go handOverWhenAsked(ctx, asked, ctl, end)
		ctl.Run()
	})
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	log.Info("stopped", "reason", context.Cause(ctx))
	return nil
}

// handOverWhenAsked waits until the controller is asked to end, hands its parts over and ends ctx.
func handOverWhenAsked(ctx, asked context.Context, ctl *coordination.Controller, end context.CancelCauseFunc) {
	select {
	case <-asked.Done():
		handOver, cancel := context.WithTimeout(ctx, handOverTimeout)
		defer cancel()
		ctl.HandOver(handOver)
		end(context.Cause(asked))
	case <-ctx.Done():
	}
}

// The bounds of requests and connections of the listeners.
const (
	maxUserBody        = 64 << 10
	maxOperationsBody  = 1 << 10
	maxOperationsConns = 16
	minConnections     = 8
)

// listeners are those for users and workers, for other controllers, and for operators if the
// settings have one. Without keys connections are not encrypted.
func listeners(ctl *coordination.Controller, set *settings.Settings, op settings.Operator, keys *identity.Keyring) []*transport.Listener {
	sockets := set.Params.MachineLimits.Sockets
	users := &transport.Listener{
		Addr:      set.ServeOn,
		Handler:   ctl.Serve,
		MaxBody:   maxUserBody,
		MaxConns:  max(minConnections, userSockets(sockets)),
		OnRefused: ctl.NoteUserConnectionRefused,
	}
	peers := &transport.Listener{
		Addr:      set.ClusterListen,
		Handler:   ctl.ServePeers,
		MaxBody:   peerapi.MaxBody(set.Params.MachineLimits),
		MaxConns:  max(minConnections, sockets/20),
		OnRefused: ctl.NotePeerConnectionRefused,
	}
	if keys != nil {
		users.TLSConfig = func() *tls.Config { return keys.ServerConfig(false) }
		peers.TLSConfig = func() *tls.Config { return keys.ServerConfig(true) }
	}
	if op.Operations == nil {
		return []*transport.Listener{users, peers}
	}
	ctl.Observe()
	operators := &transport.Listener{
		Addr:     op.Operations.Listen,
		Handler:  ctl.ServeOperations,
		MaxBody:  maxOperationsBody,
		MaxConns: maxOperationsConns,
	}
	if keys != nil {
		operators.TLSConfig = func() *tls.Config { return keys.ServerConfig(false) }
	}
	return []*transport.Listener{users, peers, operators}
}

// userSockets is how many of the sockets users and workers may hold.
func userSockets(sockets int) int { return sockets * 3 / 4 }
