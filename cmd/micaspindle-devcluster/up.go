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

// Run starts the cluster, prints how to use it, and waits for an interrupt.
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

// printProcesses prints the addresses, process IDs and log files of controllers and front ends.
func printProcesses(cluster *devcluster.Cluster) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROLLER\tADDRESS\tPROCESS\tLOG")
	for _, node := range cluster.Nodes() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", node.Label, node.Addr, node.Pid(), node.LogFile)
	}
	if err := w.Flush(); err != nil || len(cluster.FrontEnds()) == 0 {
		return err
	}
	fmt.Fprintln(w, "\nFRONT END\tADDRESS\tPROCESS\tLOG")
	for _, frontEnd := range cluster.FrontEnds() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", frontEnd.Label, frontEnd.Addr, frontEnd.Pid(), frontEnd.LogFile)
	}
	return w.Flush()
}

// programPaths returns the paths of the client program and of this program, or their bare names
// if this program's path is unknown.
func programPaths() (client, self string) {
	path, err := os.Executable()
	if err != nil {
		return clientProgram, ownProgram
	}
	return filepath.Join(filepath.Dir(path), clientProgram), path
}

// printClientHints prints client commands for this cluster.
func printClientHints(cluster *devcluster.Cluster, client string) {
	var operations []string
	for _, node := range cluster.Nodes() {
		operations = append(operations, node.Operations)
	}
	credentials := ""
	if identities := cluster.Identities(); identities != nil {
		credentials = fmt.Sprintf("  export SPINDLE_ROOTS=%s\n  export SPINDLE_TOKEN_FILE=%s  # or of %s\n  %s whoami\n  %s policy show\n  %s audit list\n",
			identities.Roots, identities.TokenFile(devcluster.Administrator), strings.Join(identities.OtherNames(), ", "), client, client, client)
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

// reportExits prints a line for each process that exits unexpectedly, until ctx is done.
func reportExits(ctx context.Context, cluster *devcluster.Cluster) {
	exited := make(chan string, len(cluster.Nodes())+len(cluster.FrontEnds()))
	for _, frontEnd := range cluster.FrontEnds() {
		go func() {
			<-frontEnd.Exited()
			exited <- frontEnd.Label
		}()
	}
	for _, node := range cluster.Nodes() {
		go func() {
			<-node.Exited()
			exited <- node.Label
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

// buildHints returns flags for build tools and a sample build command for this cluster.
func buildHints(self string, addresses []string, identities *devcluster.Identities) string {
	scheme, toolFlags, ownFlags := "grpc", "", ""
	if identities != nil {
		scheme = "grpcs"
		toolFlags = fmt.Sprintf(" --tls_certificate=%s --remote_header=\"authorization=Bearer $(cat %s)\"", identities.Roots, identities.TokenFile(devcluster.Builder))
		ownFlags = fmt.Sprintf(" --roots %s --token-file %s", identities.Roots, identities.TokenFile(devcluster.Builder))
	}
	return fmt.Sprintf(`Instance names and their teams: "" = venues, "refunds" = payments, "placements" = placements-desk.
Flags for a build tool:
  --remote_executor=%s://%s --remote_instance_name=refunds%s
A sample build; run again, it is served from the cache:
  %s build --frontends %s --instance refunds%s
`, scheme, addresses[0], toolFlags, self, strings.Join(addresses, ","), ownFlags)
}
