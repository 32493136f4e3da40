package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/client"
	"micaspindle/internal/devcluster"
	"micaspindle/internal/identity"
)

// buildCmd runs a sample build through the front ends of a running cluster.
type buildCmd struct {
	Frontends string        `required:"" aliases:"gates" placeholder:"HOST:PORT,..." env:"SPINDLE_GATES" help:"Addresses of Remote Execution API front ends."`
	Instance  string        `help:"Instance name; the front ends map it to a team."`
	Roots     string        `env:"SPINDLE_ROOTS" type:"path" help:"CA certificates to trust; without them connections are not encrypted."`
	Cert      string        `env:"SPINDLE_CERT" type:"path" help:"Your client certificate and key in one file."`
	TokenFile string        `env:"SPINDLE_TOKEN_FILE" type:"path" help:"File that holds your token."`
	Name      string        `default:"sample" help:"Name of the build; builds of different names share no cached actions."`
	Sources   int           `default:"100" help:"Number of source files to compile (1 to 50000), with a link action for each ten and one for all."`
	Seconds   float64       `default:"0" help:"Duration of each action."`
	Limit     time.Duration `default:"10m" help:"Time limit of the build."`
	AtOnce    int           `default:"256" help:"Number of concurrent actions (1 to 10000)."`
	Digest    string        `default:"sha256" enum:"sha256,blake3" help:"Digest function: sha256 or blake3."`
	Output    string        `default:"table" enum:"table,json" help:"How the result is printed: table or json."`
}

// Help shows examples.
func (buildCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster build --frontends 127.0.0.1:8980\n  micaspindle-devcluster build --frontends 127.0.0.1:8980,127.0.0.1:8981 --instance refunds --sources 1000 --output json\n\n" +
		"Exit codes: 0 success, 1 an action failed or the output is wrong, 2 wrong arguments."
}

// Upper bounds of the flags.
const (
	maxSources           = 50_000
	maxConcurrentActions = 10_000
	maxActionSeconds     = 3600
)

// Run runs the sample build.
func (b *buildCmd) Run(ctx context.Context) error {
	if b.Sources < 1 || b.Sources > maxSources || b.AtOnce < 1 || b.AtOnce > maxConcurrentActions || b.Seconds < 0 || b.Seconds > maxActionSeconds || b.Limit <= 0 {
		return usageError{errors.New("--sources must lie between 1 and 50000, --at-once between 1 and 10000, --seconds between 0 and 3600, --limit above 0")}
	}
	credentials := identity.CredentialFiles{Roots: b.Roots, Cert: b.Cert, TokenFile: b.TokenFile}
	tlsConfig, token, err := credentials.Load(func(n identity.Name) bool { return n.Kind == identity.Service })
	if err != nil {
		return usageError{err}
	}
	conn, err := buildtool.Dial(client.SplitAddresses(b.Frontends), tlsConfig, token)
	if err != nil {
		return usageError{err}
	}
	defer conn.Close() //nolint:errcheck // the process ends
	ctx, cancel := context.WithTimeoutCause(ctx, b.Limit, fmt.Errorf("the build took longer than its time limit of %v", b.Limit))
	defer cancel()
	tool := buildtool.New(conn, b.Instance)
	tool.Concurrency = b.AtOnce
	if b.Digest == "blake3" {
		tool.DigestFunction = repb.DigestFunction_BLAKE3
	}
	report, err := devcluster.Build(ctx, tool, b.Name, b.Sources, b.Seconds, newProgress())
	if err != nil {
		return err
	}
	return printBuilds(b.Output, []devcluster.NamedReport{{Name: b.Name, Report: report}})
}
