package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc/status"

	"micaspindle/internal/reapi/inspection"
)

// cacheCmd shows the contents of the front ends' caches.
type cacheCmd struct{ frontendsFlag }

// Help describes the output and shows examples.
func (cacheCmd) Help() string {
	return "Shows the cache usage of the teams that you may view, and the totals of a front end if\nyou may view all of its teams.\n\n" +
		"Examples:\n  micaspindlectl cache --frontends 10.0.0.7:8980,10.0.0.8:8980\n  micaspindlectl cache -o json"
}

// cacheView is the cache of one front end as JSON.
type cacheView struct {
	Address string             `json:"gate"`
	Teams   []*inspection.Team `json:"teams"`
	Totals  *inspection.Totals `json:"totals,omitempty"`
	Error   string             `json:"error,omitempty"`
}

// cacheTimeout is the timeout of the request to one front end.
const cacheTimeout = 5 * time.Second

// Run requests the cache statistics of each front end and prints them. If some requests fail, it
// still prints the statistics of the other front ends.
func (k *cacheCmd) Run(ctx context.Context, c *cli) error {
	addresses, err := k.addresses()
	if err != nil {
		return err
	}
	var views []*cacheView
	var failed error
	for _, address := range addresses {
		view, err := c.fetchCache(ctx, address)
		if view == nil {
			return err
		}
		views, failed = append(views, view), errors.Join(failed, err)
	}
	if c.Output == outputJSON {
		return errors.Join(printJSON(views), failed)
	}
	if err := printCaches(views); err != nil {
		return err
	}
	return failed
}

// fetchCache requests the cache statistics of one front end. The view holds the statistics or the
// error; it is nil if the caller's credentials or the address are invalid.
func (c *cli) fetchCache(ctx context.Context, address string) (*cacheView, error) {
	conn, err := c.dialFrontends(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // nothing is written
	ctx, cancel := context.WithTimeout(ctx, min(c.Patience, cacheTimeout))
	defer cancel()
	reply, err := inspection.NewInspectionClient(conn).GetStore(ctx, &inspection.StoreRequest{})
	if err != nil {
		return &cacheView{Address: address, Error: status.Convert(err).Message()}, frontendFailure(address, err)
	}
	return &cacheView{Address: address, Teams: reply.GetTeams(), Totals: reply.GetTotals()}, nil
}

// printCaches shows a table of teams and, if there are totals, a table of these.
func printCaches(views []*cacheView) error {
	var teams, totals [][]any
	for _, v := range views {
		for _, t := range v.Teams {
			teams = append(teams, teamRow(v.Address, t))
		}
		if v.Totals != nil {
			totals = append(totals, totalsRow(v.Address, v.Totals))
		}
	}
	if len(teams) > 0 {
		const header = "FRONT END\tTEAM\tINSTANCES\tBLOBS\tSTORED\tOF QUOTA\tRESERVED\tPINNED\tACTIONS QUEUED\tCALLS QUEUED"
		if err := printTable(header, teams); err != nil {
			return err
		}
	}
	if len(totals) == 0 {
		return nil
	}
	fmt.Println()
	const header = "FRONT END\tSTORED\tOF\tEVICTED\tCORRUPT\tUNDER-REPLICATED\tJOBS\tACTIONS\tREFUSED\tREPAIR\tCOPIED\tRESTORED\tLOST PEERS"
	return printTable(header, totals)
}

// teamRow returns the table row of a team's use of a front end's cache.
func teamRow(address string, t *inspection.Team) []any {
	ofQuota := "-"
	if t.Quota > 0 {
		ofQuota = fmt.Sprintf("%.0f %%", 100*float64(t.Bytes)/float64(t.Quota))
	}
	instances := strings.Join(quoted(t.Instances), " ")
	return []any{address, t.Name, instances, t.Blobs, formatBytes(t.Bytes), ofQuota, formatBytes(t.Promised), formatBytes(t.Pinned),
		t.WaitingActions, t.WaitingCalls}
}

// totalsRow returns the table row of a front end's whole cache and the progress of its repair.
func totalsRow(address string, t *inspection.Totals) []any {
	repair := t.GetRepair()
	progress := fmt.Sprintf("%d/%d", repair.GetDone(), repair.GetOf())
	lost := orNone(strings.Join(repair.GetGone(), " "))
	return []any{address, formatBytes(t.Bytes), formatBytes(t.MaxBytes), t.Evicted, t.Corrupt, t.ShortCopies, t.Jobs, t.Actions,
		t.CallsRefused + t.TransfersRefused, progress, repair.GetCopied(), repair.GetRestored(), lost}
}

// quoted returns the names in quotes, since a name may be empty.
func quoted(names []string) []string {
	var result []string
	for _, n := range names {
		result = append(result, strconv.Quote(n))
	}
	return result
}

// formatBytes formats a number of bytes with a decimal unit.
func formatBytes(n int64) string {
	for _, unit := range []struct {
		size float64
		name string
	}{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}} {
		if float64(n) >= unit.size {
			return fmt.Sprintf("%.1f %s", float64(n)/unit.size, unit.name)
		}
	}
	return fmt.Sprintf("%d B", n)
}
