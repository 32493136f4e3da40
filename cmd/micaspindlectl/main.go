// Command micaspindlectl is the command-line client for users and operators of a cluster.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"micaspindle/internal/client"
)

// cli is the command line.
type cli struct {
	Connection `group:"Connection"`
	Output     string `default:"table" enum:"table,json" short:"o" help:"How results are printed: table or json."`

	Submit    submitCmd    `cmd:"" help:"Submit a job."`
	Status    statusCmd    `cmd:"" help:"Show the state of jobs."`
	Cancel    cancelCmd    `cmd:"" help:"Cancel jobs."`
	CancelAll cancelAllCmd `cmd:"" help:"Cancel all unfinished jobs of one identity."`
	Arguments argumentsCmd `cmd:"" help:"Show the specification that a job was submitted with."`
	Reassign  reassignCmd  `cmd:"" help:"Move a job that has not started to another queue."`

	Top         topCmd         `cmd:"" help:"Show controllers, queues and machines, refreshed continuously."`
	Delegations delegationsCmd `cmd:"" help:"Show which controllers hold the worker connections, and recent delegations."`
	Cache       cacheCmd       `cmd:"" help:"Show the build caches of Remote Execution API front ends."`
	Action      actionCmd      `cmd:"" help:"Show the state of a build action."`

	Whoami whoamiCmd `cmd:"" help:"Show the identity that the cluster sees you as."`
	Policy policyCmd `cmd:"" help:"Manage the access policy."`
	Audit  auditCmd  `cmd:"" help:"List, export and verify the audit log."`
	PKI    pkiCmd    `cmd:"" name:"pki" help:"Manage a small certificate authority in a local directory."`
	Token  tokenCmd  `cmd:"" help:"Issue a token for a person or a service."`

	// The former names of commands, kept for one release.
	Withdraw    cancelCmd      `cmd:"" hidden:"" help:"Former name of cancel."`
	WithdrawAll cancelAllCmd   `cmd:"" hidden:"" help:"Former name of cancel-all."`
	Shares      delegationsCmd `cmd:"" hidden:"" help:"Former name of delegations."`
}

// usageError marks invalid arguments or files, for which the process exits with exitUsage.
type usageError struct{ error }

// Exit codes of the process; description documents them.
const (
	exitFailed     = 1
	exitUsage      = 2
	exitForbidden  = 3
	exitNotFound   = 4
	exitUnanswered = 5
)

// exitCode returns the exit code for an error. Scripts distinguish kinds of failures by it.
func exitCode(err error) int {
	var refusal *client.Refusal
	switch {
	case errors.As(err, new(usageError)):
		return exitUsage
	case errors.As(err, &refusal):
		return refusalExitCode(refusal.Status)
	case errors.Is(err, client.ErrUnanswered):
		return exitUnanswered
	}
	return exitFailed
}

// refusalExitCode returns the exit code for the HTTP status of a controller's refusal.
func refusalExitCode(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return exitUsage
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitForbidden
	case http.StatusNotFound:
		return exitNotFound
	}
	return exitFailed
}

const description = `Command-line client of a micaspindle cluster, for users and operators.

Exit codes: 0 success, 1 failure, 2 wrong arguments or an invalid request, 3 not
authenticated or not authorized, 4 no such job, 5 no controller answered.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser := kong.Must(&c, kong.Name("micaspindlectl"), kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.BindTo(ctx, (*context.Context)(nil)))
	k, err := parser.Parse(os.Args[1:])
	if err == nil {
		err = k.Run(&c)
	} else {
		err = usageError{err}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "micaspindlectl:", err)
		os.Exit(exitCode(err))
	}
}
