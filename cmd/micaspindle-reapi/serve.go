package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"time"

	"google.golang.org/grpc"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi"
)

// drainTimeout is how long calls in progress may take to complete after a signal.
const drainTimeout = 5 * time.Second

// serve runs the front end until ctx ends.
func serve(ctx context.Context, s *settings, log *slog.Logger) error {
	store, err := openStore(s, log)
	if err != nil {
		return err
	}
	defer store.Close() //nolint:errcheck // the process ends
	results, err := blobstore.OpenResults(filepath.Join(s.Store.Dir, "results"), s.Store.Results)
	if err != nil {
		return usageError{err}
	}
	config, err := serviceConfig(s)
	if err != nil {
		return err
	}
	auth, err := authenticate(ctx, s, log)
	if err != nil {
		return err
	}
	auth.apply(config)
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return usageError{err}
	}
	peers, closePeers, err := dialPeers(s, auth)
	defer closePeers()
	if err != nil {
		return err
	}
	service := reapi.New(*config, store, results, auth.access, reapi.NewPeers(s.Copies, peers, log), jobsOf(s, auth), log)
	server := service.Server(auth.serverOptions...)
	go service.Sweep(ctx, reapi.DefaultLinger)
	repairer, err := service.Repair(s.repair(), filepath.Join(s.Store.Dir, "repair.json"), log)
	if err != nil {
		return usageError{err}
	}
	go repairer.Run(ctx)
	go stopAtEnd(ctx, server)
	log.Info("serving", "addr", listener.Addr().String(), "identities", s.Identity != nil)
	if err := server.Serve(listener); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	stats := store.Stats()
	log.Info("stopped", "reason", context.Cause(ctx), "blobs", stats.Blobs, "evicted", stats.Evicted, "corrupt", stats.Corrupt)
	return nil
}

// openStore opens the content-addressed store, which is divided into quotas of teams.
func openStore(s *settings, log *slog.Logger) (*blobstore.Store, error) {
	options := blobstore.Options{
		MaxBytes:  s.Store.maxBytes(),
		MaxBlob:   s.Store.maxBlobBytes(),
		Retention: s.Store.Promise,
		Quotas:    s.Shares.quotas(s.Store.maxBytes(), s.teams()),
	}
	store, found, err := blobstore.Open(filepath.Join(s.Store.Dir, "content"), options)
	if err != nil {
		return nil, usageError{err}
	}
	log.Info("content store opened", "blobs", found.Blobs, "bytes", found.Bytes, "torn", found.Incomplete, "kept", found.Interrupted)
	return store, nil
}

// serviceConfig is the configuration of the service, but for authentication.
func serviceConfig(s *settings) (*reapi.Config, error) {
	shares, err := s.Shares.open(s.teams())
	if err != nil {
		return nil, usageError{err}
	}
	return &reapi.Config{
		Instances:     s.Instances,
		ClientResults: s.ClientResults,
		Class:         s.Class,
		MaxBlob:       s.Store.maxBlobBytes(),
		Self:          s.Self,
		Grace:         s.Repair.Grace,
		GatherFor:     s.Gather.For,
		GatherMost:    s.Gather.Most,
		Shares:        shares,
	}, nil
}

// jobsOf is where actions are submitted as jobs; nil if they are not run.
func jobsOf(s *settings, auth *authentication) reapi.Jobs {
	if !s.Execute {
		return nil
	}
	return reapi.Controllers{Client: auth.controllers}
}

// dialPeers opens connections to the other front ends, and returns what closes them.
func dialPeers(s *settings, auth *authentication) (conns map[string]*grpc.ClientConn, closeAll func(), err error) {
	conns = map[string]*grpc.ClientConn{}
	closeAll = func() {
		for _, conn := range conns {
			_ = conn.Close() // the process ends
		}
	}
	for address, name := range s.Peers {
		conn, err := reapi.DialPeer(address, auth.peerCredentials(name))
		if err != nil {
			return conns, closeAll, fmt.Errorf("peer %s: %w", address, err)
		}
		conns[address] = conn
	}
	return conns, closeAll, nil
}

// stopAtEnd stops the server once ctx ends: calls in progress may complete within drainTimeout,
// then they are cancelled.
func stopAtEnd(ctx context.Context, server *grpc.Server) {
	<-ctx.Done()
	timer := time.AfterFunc(drainTimeout, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}
