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

// drainTimeout is the maximum time for calls in progress to complete after a shutdown signal.
const drainTimeout = 5 * time.Second

// serve runs the front end until ctx ends.
func serve(ctx context.Context, s *settings, log *slog.Logger) error {
	store, err := openStore(s, log)
	if err != nil {
		return err
	}
	defer store.Close() //nolint:errcheck // the process ends
	results, err := blobstore.OpenResults(filepath.Join(s.Store.Dir, "results"), s.Store.MaxResults)
	if err != nil {
		return usageError{err}
	}
	config, err := serviceConfig(s)
	if err != nil {
		return err
	}
	auth, err := newAuthentication(ctx, s, log)
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
	service := reapi.New(*config, store, results, auth.access, reapi.NewPeers(s.Copies, peers, log), jobSubmitter(s, auth), log)
	server := service.Server(auth.serverOptions...)
	go service.Sweep(ctx, reapi.DefaultLinger)
	repairer, err := service.Repair(s.repair(), filepath.Join(s.Store.Dir, "repair.json"), log)
	if err != nil {
		return usageError{err}
	}
	go repairer.Run(ctx)
	go stopOnShutdown(ctx, server)
	log.Info("serving", "addr", listener.Addr().String(), "identities", s.Identity != nil)
	if err := server.Serve(listener); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	stats := store.Stats()
	log.Info("stopped", "reason", context.Cause(ctx), "blobs", stats.Blobs, "evicted", stats.Evicted, "corrupt", stats.Corrupt)
	return nil
}

// openStore opens the content-addressed store, with a quota for each team.
func openStore(s *settings, log *slog.Logger) (*blobstore.Store, error) {
	options := blobstore.Options{
		MaxBytes:  s.Store.maxBytes(),
		MaxBlob:   s.Store.maxBlobBytes(),
		Retention: s.Store.Retention,
		Quotas:    s.Shares.quotas(s.Store.maxBytes(), s.teams()),
	}
	store, recovered, err := blobstore.Open(filepath.Join(s.Store.Dir, "content"), options)
	if err != nil {
		return nil, usageError{err}
	}
	log.Info("content store opened", "blobs", recovered.Blobs, "bytes", recovered.Bytes, "torn", recovered.Incomplete, "kept", recovered.Interrupted)
	return store, nil
}

// serviceConfig returns the configuration of the service without authentication.
func serviceConfig(s *settings) (*reapi.Config, error) {
	shares, err := s.Shares.newShares(s.teams())
	if err != nil {
		return nil, usageError{err}
	}
	return &reapi.Config{
		Instances:       s.Instances,
		ClientResults:   s.ClientResults,
		Class:           s.Class,
		MaxBlob:         s.Store.maxBlobBytes(),
		SelfAddr:        s.Self,
		Grace:           s.Repair.Grace,
		BatchDelay:      s.Batching.MaxWait,
		MaxBatchActions: s.Batching.MaxActions,
		Shares:          shares,
	}, nil
}

// jobSubmitter returns the client that submits actions as jobs, or nil if actions are not executed.
func jobSubmitter(s *settings, auth *authentication) reapi.Jobs {
	if !s.Execute {
		return nil
	}
	return reapi.Controllers{Client: auth.controllers}
}

// dialPeers connects to the other front ends. closeAll closes the connections, also after an error.
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

// stopOnShutdown stops the server once ctx ends. Calls in progress may complete within drainTimeout
// and are cancelled after it.
func stopOnShutdown(ctx context.Context, server *grpc.Server) {
	<-ctx.Done()
	timer := time.AfterFunc(drainTimeout, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}
