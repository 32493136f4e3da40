package scenario

import (
	"fmt"
	"io"
	"strings"
)

// tableHeader names the columns of Table.
const tableHeader = "SITE\tDAY\tSTARTED\tDONE\tTOLD\tTEAM\tLARGEST\tIN TIME\tUSEFUL\tSOCKETS\tCPU\tOWNERLESS S\tLATE S\tREFUSED\tTOOK S\tVERDICT\n"

// Table writes a row for each result, with columns separated by tabs.
func Table(out io.Writer, results []Result) error {
	var rows strings.Builder
	rows.WriteString(tableHeader)
	for i := range results {
		results[i].writeRow(&rows)
	}
	_, err := io.WriteString(out, rows.String())
	return err
}

// writeRow writes a result as a row of the table.
func (r *Result) writeRow(out *strings.Builder) {
	verdict := "ok"
	if len(r.Failed) > 0 {
		verdict = "NO: " + strings.Join(r.Failed, "; ")
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t", r.Site, r.Scenario, r.Started, r.Done, r.Confirmed, r.Team, r.Largest, r.InTime)
	fmt.Fprintf(out, "%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%d\t%.0f\t%s\n",
		r.UsefulSpend, r.SocketUsage, r.CPUUsage, r.LeaderlessS, r.SubmitP99S, r.Refusals, r.ElapsedS, verdict)
}

// String returns the share and the name of the class or team, or "-" if the share is undefined.
func (l LowestShare) String() string {
	if l.Share > 1 {
		return "-"
	}
	return fmt.Sprintf("%.2f %s", l.Share, l.Name)
}
