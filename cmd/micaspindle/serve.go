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
type serveCmd struct{ settingsFiles }

// Run serves until a signal arrives or the transport engine fails.
func (s *serveCmd) Run() error {
	set, op, err := s.load()
	if err != nil {
		return usageError{err}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	slog.SetDefault(log)
	limitRuntime(set.Params.ProcessLimits.MemMB)
	shutdown, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return serve(shutdown, set, op, log)
}

// logLevel returns the level that the environment variable LOG_LEVEL names, or info if it is unset
// or unknown.
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
	// heapFraction is the fraction of the memory limit that the Go runtime may use. The rest is a
	// margin, since the process is killed when it exceeds the limit.
	heapFraction = 0.7
	// gcPercent is above the default, to trade memory for CPU time: the live heap is small
	// compared to the memory limit, and the controller has only a fraction of a core.
	gcPercent = 400

	bytesPerMB = 1 << 20
)

// limitRuntime keeps the Go runtime to one core and to the memory limit.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB * heapFraction * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

// handOverTimeout is the maximum time for handing over the partitions in a planned shutdown. Other
// controllers take over the remaining partitions as after a crash.
const handOverTimeout = time.Second

// serve runs the controller until shutdown is done. It then hands over the partitions and stops.
func serve(shutdown context.Context, set *settings.Settings, op settings.Operator, log *slog.Logger) error {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(shutdown))
	defer cancel(nil)
	client := transport.NewClient()
	ctl := coordination.New(ctx, set, op, client, log)
	var keys *identity.Keyring
	if op.Identity != nil {
		var err error
		if keys, err = enableAuthentication(ctl, client, set, op.Identity); err != nil {
			return usageError{err}
		}
	}
	client.MaxConnectionsForIdle = userSockets(set.Params.ProcessLimits.Sockets)
	err := transport.Run(ctx, listeners(ctl, set, op, keys), func(e *transport.Engine) {
		client.Attach(e)
		log.Info("serving", "label", set.Label, "zone", set.Zone, "addr", set.ServeOn)
		go client.CloseIdleUntilDone(ctx)
		if keys != nil {
			go keys.Watch(ctx, log)
		}
		go handOverOnShutdown(ctx, shutdown, ctl, cancel)
		ctl.Run()
	})
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	log.Info("stopped", "reason", context.Cause(ctx))
	return nil
}

// handOverOnShutdown waits until shutdown is done, hands over the controller's partitions and
// cancels ctx. It returns early if ctx ends first.
func handOverOnShutdown(ctx, shutdown context.Context, ctl *coordination.Controller, cancel context.CancelCauseFunc) {
	select {
	case <-shutdown.Done():
		handOverCtx, cancelHandOver := context.WithTimeout(ctx, handOverTimeout)
		defer cancelHandOver()
		ctl.HandOver(handOverCtx)
		cancel(context.Cause(shutdown))
	case <-ctx.Done():
	}
}

// Limits of the listeners: the size of a request body, in bytes, and the number of connections.
const (
	maxUserBody        = 64 << 10
	maxOperationsBody  = 1 << 10
	maxOperationsConns = 16
	minConnections     = 8
)

// listeners returns the listeners for users and workers, for other controllers and, if the settings
// have an operations address, for operators. Without keys, connections are not encrypted.
func listeners(ctl *coordination.Controller, set *settings.Settings, op settings.Operator, keys *identity.Keyring) []*transport.Listener {
	sockets := set.Params.ProcessLimits.Sockets
	users := &transport.Listener{
		Addr:      set.ServeOn,
		Handler:   ctl.Serve,
		MaxBody:   maxUserBody,
		MaxConns:  max(minConnections, userSockets(sockets)),
		OnRefused: ctl.RecordRefusedUserConnection,
	}
	peers := &transport.Listener{
		Addr:      set.ClusterListen,
		Handler:   ctl.ServePeers,
		MaxBody:   peerapi.MaxBody(set.Params.ProcessLimits),
		MaxConns:  max(minConnections, sockets/20),
		OnRefused: ctl.RecordRefusedPeerConnection,
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

// userSockets returns the number of the controller's sockets that users and workers may use.
func userSockets(sockets int) int { return sockets * 3 / 4 }
