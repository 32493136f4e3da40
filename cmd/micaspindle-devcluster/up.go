package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"micaspindle/internal/devcluster"
)

// upCmd runs a cluster until it is interrupted.
type upCmd struct {
	clusterFlags
	frontendFlags
}

// Help shows examples.
func (upCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster up\n  micaspindle-devcluster up --frontends 2 --identities\n  micaspindle-devcluster up --controllers 5 --dir /tmp/cluster --log-level debug\n  micaspindle-devcluster up --machines 60 --sockets 120"
}

// Run runs a cluster until it is interrupted.
func (u *upCmd) Run(ctx context.Context) error {
	cluster, stop, err := u.start(ctx, u.frontendFlags)
	if err != nil {
		return err
	}
	defer stop()
	if err := printProcesses(cluster); err != nil {
		return err
	}
	client, self := programPaths()
	printClientHints(cluster, client)
	if addresses := cluster.FrontEndAddrs(); len(addresses) > 0 {
		fmt.Print(buildHints(self, addresses, cluster.Identities()))
	}
	fmt.Println("Ctrl-C stops the cluster.")
	reportExits(ctx, cluster)
	fmt.Println("\nstopping")
	return nil
}

// printProcesses shows the addresses, process ids and logs of controllers and front ends.
func printProcesses(cluster *devcluster.Cluster) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROLLER\tADDRESS\tPROCESS\tLOG")
	for _, n := range cluster.Nodes() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", n.Label, n.Addr, n.Pid(), n.LogFile)
	}
	if err := w.Flush(); err != nil || len(cluster.FrontEnds()) == 0 {
		return err
	}
	fmt.Fprintln(w, "\nFRONT END\tADDRESS\tPROCESS\tLOG")
	for _, g := range cluster.FrontEnds() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", g.Label, g.Addr, g.Pid(), g.LogFile)
	}
	return w.Flush()
}

// programPaths are the paths of the client program and of this one; their names, if the
// directory is not known.
func programPaths() (client, self string) {
	path, err := os.Executable()
	if err != nil {
		return clientProgram, ownProgram
	}
	return filepath.Join(filepath.Dir(path), clientProgram), path
}

// printClientHints prints commands to try, ready to copy.
func printClientHints(cluster *devcluster.Cluster, client string) {
	var operations []string
	for _, n := range cluster.Nodes() {
		operations = append(operations, n.Operations)
	}
	credentials := ""
	if h := cluster.Identities(); h != nil {
		credentials = fmt.Sprintf("  export SPINDLE_ROOTS=%s\n  export SPINDLE_TOKEN_FILE=%s  # or of %s\n  %s whoami\n  %s policy show\n  %s audit list\n",
			h.Roots, h.TokenFile(devcluster.Administrator), strings.Join(h.Others(), ", "), client, client, client)
	}
	fmt.Printf(`
Teams: placements-desk, payments, venues. To try, in another terminal:
  export SPINDLE_CONTROLLERS=%s
  export SPINDLE_OPERATIONS=%s
%s  %s submit --team payments --class refund-batch --urgency high --tasks 8 --estimate 5s
  %s status job-ID --wait
  %s cancel job-ID
  %s top
  %s delegations
`, strings.Join(cluster.Addrs(), ","), strings.Join(operations, ","), credentials, client, client, client, client, client)
}

// reportExits reports processes that exit by themselves, until ctx ends.
func reportExits(ctx context.Context, cluster *devcluster.Cluster) {
	exited := make(chan string, len(cluster.Nodes())+len(cluster.FrontEnds()))
	for _, g := range cluster.FrontEnds() {
		go func() {
			<-g.Exited()
			exited <- g.Label
		}()
	}
	for _, n := range cluster.Nodes() {
		go func() {
			<-n.Exited()
			exited <- n.Label
		}()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case label := <-exited:
			if ctx.Err() == nil {
				fmt.Printf("%s has exited; its log says why\n", label)
			}
		}
	}
}

// buildHints are the flags for a build tool and a command to try, ready to copy.
func buildHints(self string, addresses []string, h *devcluster.Identities) string {
	scheme, toolFlags, ownFlags := "grpc", "", ""
	if h != nil {
		scheme = "grpcs"
		toolFlags = fmt.Sprintf(" --tls_certificate=%s --remote_header=\"authorization=Bearer $(cat %s)\"", h.Roots, h.TokenFile(devcluster.Builder))
		ownFlags = fmt.Sprintf(" --roots %s --token-file %s", h.Roots, h.TokenFile(devcluster.Builder))
	}
	return fmt.Sprintf(`Instances: "" is venues', "refunds" payments', "placements" placements-desk's. Flags for a build tool:
  --remote_executor=%s://%s --remote_instance_name=refunds%s
A sample build, the second time from the cache:
  %s build --frontends %s --instance refunds%s
`, scheme, addresses[0], toolFlags, self, strings.Join(addresses, ","), ownFlags)
}
