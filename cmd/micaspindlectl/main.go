// Command micaspindlectl is the command line of users and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"micaspindle/internal/client"
)

type cli struct {
	Connection `group:"Connection"`
	Output     string `default:"table" enum:"table,json" short:"o" help:"How results are printed: table or json."`

	Submit   submitCmd   `cmd:"" help:"Submit a job."`
	Status   statusCmd   `cmd:"" help:"Show the state of jobs."`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw jobs."`

	Arguments   argumentsCmd   `cmd:"" help:"Show what a job was submitted with."`
	Reassign    reassignCmd    `cmd:"" help:"Move a job that has not started to another queue."`
	WithdrawAll withdrawAllCmd `cmd:"" help:"Withdraw everything that somebody has submitted."`
	Shares      sharesCmd      `cmd:"" help:"Show who has the machines' connections, and which shares moved of late."`
	Top         topCmd         `cmd:"" help:"Show how the cluster stands, again and again."`
	Whoami      whoamiCmd      `cmd:"" help:"Show who the cluster takes you for."`
	Cache       cacheCmd       `cmd:"" help:"Show what gates for build tools hold."`
	Action      actionCmd      `cmd:"" help:"Show how a build action stands."`
	Policy      policyCmd      `cmd:"" help:"Work with the policy: who may do what."`
	Audit       auditCmd       `cmd:"" help:"Read, export and verify the audit."`
	PKI         pkiCmd         `cmd:"" name:"pki" help:"A small certificate authority in a folder."`
	Token       tokenCmd       `cmd:"" help:"Sign a token for a person or a service."`
}

// usageError marks what the caller must mend; it ends the process with code 2.
type usageError struct{ error }

// exitCode tells scripts what kind of failure it was.
func exitCode(err error) int {
	var refusal *client.Refusal
	switch {
	case errors.As(err, new(usageError)):
		return 2
	case errors.As(err, &refusal):
		switch refusal.Status {
		case 400, 422:
			return 2
		case 401, 403:
			return 3
		case 404:
			return 4
		}
	case errors.Is(err, client.ErrUnanswered):
		return 5
	}
	return 1
}

const description = `Speaks to the controllers of a micaspindle cluster.

Exit codes: 0 done, 1 failed, 2 wrong arguments or a request that can never be
done, 3 no good credential or no right, 4 no such job, 5 no controller answered.`

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
