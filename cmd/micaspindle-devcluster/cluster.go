package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"micaspindle/internal/devcluster"
)

// Names of the project's programs that this command starts or mentions.
const (
	controllerProgram = "micaspindle"
	frontendProgram   = "micaspindle-reapi"
	clientProgram     = "micaspindlectl"
	ownProgram        = "micaspindle-devcluster"
)

// Bounds of the flags.
const (
	maxControllers = 9
	maxFrontends   = 5
	maxMachines    = 200
	minSockets     = 100
	maxSockets     = 10_000
)

// Rate limits of the fake state store.
const (
	stateWritesPerSecond   = 60
	stateRequestsPerSecond = 400
)

// readyTimeout bounds the startup of a cluster.
const readyTimeout = 20 * time.Second

// clusterFlags configure the cluster to start.
type clusterFlags struct {
	Controllers int    `default:"3" help:"Number of controllers (1 to 9)."`
	Binary      string `type:"path" help:"Controller program; default: micaspindle in the directory of this program."`
	Dir         string `type:"path" help:"Directory for settings and logs; default: a temporary one, removed at the end."`
	LogLevel    string `default:"info" enum:"error,info,debug" help:"Log level of the controllers: error, info or debug."`
	Policy      string `type:"path" help:"With --identities: initial access policy file; default: an administrator and the roles of deploy/policy.example.yaml."`
	Identities  bool   `help:"Enable authentication: TLS, certificates, tokens, an access policy and the audit log."`
	Machines    int    `default:"24" help:"Maximum number of worker machines (1 to 200)."`
	Sockets     int    `default:"2000" help:"Socket limit of each controller (100 to 10000); with a low limit, controllers delegate worker connections to each other."`
}

// frontendFlags configure the cluster's Remote Execution API front ends.
type frontendFlags struct {
	Frontends      int    `aliases:"gates" default:"${frontends}" help:"Number of Remote Execution API front ends (0 to 5)."`
	FrontendBinary string `aliases:"gate-binary" type:"path" help:"Front end program; default: micaspindle-reapi in the directory of this program."`
}

// start starts the cluster and waits until it is ready. The returned function stops it and
// removes its directory if that is temporary.
func (f *clusterFlags) start(ctx context.Context, frontends frontendFlags) (*devcluster.Cluster, func(), error) {
	if err := f.validate(frontends); err != nil {
		return nil, nil, err
	}
	options, err := f.options(frontends)
	if err != nil {
		return nil, nil, err
	}
	removeDirectory, err := f.makeDirectory()
	if err != nil {
		return nil, nil, err
	}
	options.Dir = f.Dir
	if f.Identities {
		if options.Identities, err = devcluster.PrepareIdentities(f.Dir, f.Controllers); err != nil {
			return nil, nil, err
		}
	}
	cluster, err := devcluster.Start(ctx, options)
	if err != nil {
		removeDirectory()
		return nil, nil, err
	}
	if err := f.awaitReady(ctx, cluster); err != nil {
		cluster.Stop()
		return nil, nil, err // the directory is kept for its logs
	}
	return cluster, func() { cluster.Stop(); removeDirectory() }, nil
}

// validate validates the flags.
func (f *clusterFlags) validate(frontends frontendFlags) error {
	switch {
	case frontends.Frontends < 0 || frontends.Frontends > maxFrontends:
		return usageError{errors.New("--frontends must lie between 0 and 5")}
	case f.Controllers < 1 || f.Controllers > maxControllers:
		return usageError{errors.New("--controllers must lie between 1 and 9")}
	case f.Machines < 1 || f.Machines > maxMachines:
		return usageError{errors.New("--machines must lie between 1 and 200")}
	case f.Sockets < minSockets || f.Sockets > maxSockets:
		return usageError{errors.New("--sockets must lie between 100 and 10000")}
	}
	return nil
}

// options returns the cluster's options except for its directory and identities.
func (f *clusterFlags) options(frontends frontendFlags) (devcluster.Options, error) {
	options := devcluster.Options{
		Controllers: f.Controllers,
		LogLevel:    f.LogLevel,
		WriteRPS:    stateWritesPerSecond,
		RPS:         stateRequestsPerSecond,
		Machines:    f.Machines,
		Sockets:     f.Sockets,
		FrontEnds:   frontends.Frontends,
	}
	var err error
	if options.Binary, err = devcluster.FindBinary(f.Binary, controllerProgram); err != nil {
		return options, usageError{err}
	}
	if frontends.Frontends == 0 {
		return options, nil
	}
	if options.FrontEndBinary, err = devcluster.FindBinary(frontends.FrontendBinary, frontendProgram); err != nil {
		return options, usageError{err}
	}
	return options, nil
}

// makeDirectory creates the cluster's directory. The returned function removes it if it is
// temporary.
func (f *clusterFlags) makeDirectory() (remove func(), err error) {
	if f.Dir != "" {
		if err := os.MkdirAll(f.Dir, 0o700); err != nil {
			return nil, usageError{err}
		}
		return func() {}, nil
	}
	if f.Dir, err = temporaryDirectory(); err != nil {
		return nil, err
	}
	return func() { _ = os.RemoveAll(f.Dir) }, nil
}

// temporaryDirectory creates a directory for a cluster's files in the system's temporary directory.
func temporaryDirectory() (string, error) { return os.MkdirTemp("", ownProgram+"-") }

// awaitReady waits until the cluster is ready. With identities it then writes the access policy.
func (f *clusterFlags) awaitReady(ctx context.Context, cluster *devcluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.AwaitReady(ctx); err != nil {
		return err
	}
	if !f.Identities {
		return nil
	}
	if err := cluster.WritePolicy(ctx, f.Policy); err != nil {
		return usageError{fmt.Errorf("--policy: %w", err)}
	}
	return nil
}
