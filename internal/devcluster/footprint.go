package devcluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// versionRuns is the number of times per round that each program is started to measure its start time.
const versionRuns = 20

// Footprint compares the start time, size and memory of the baseline program and of the
// controllers' program, without authentication.
func (m *Measurement) Footprint(ctx context.Context, progress func(string)) ([]Comparison, error) {
	var startTimes, anonymous, fileBacked [2][]float64
	var size [2]float64
	for round := range m.Rounds {
		for i, binary := range []string{m.Baseline, m.Binary} {
			info, err := os.Stat(binary)
			if err != nil {
				return nil, err
			}
			size[i] = float64(info.Size()) / 1e6
			for range versionRuns {
				started := time.Now()
				if err := exec.CommandContext(ctx, binary, "version").Run(); err != nil {
					return nil, fmt.Errorf("%s version: %w", binary, err)
				}
				startTimes[i] = append(startTimes[i], time.Since(started).Seconds()*1000)
			}
			c, stop, err := m.startCluster(ctx, "footprint", binary, false, 200)
			if err != nil {
				return nil, err
			}
			administrator, err := c.Client(Administrator)
			if err == nil {
				_, err = submitIdleJobs(ctx, administrator, footprintUsers, m.LoadDuration, &atomic.Int64{})
			}
			for _, node := range c.nodes {
				anonymous[i] = append(anonymous[i], residentMB(node.Pid(), "RssAnon:"))
				fileBacked[i] = append(fileBacked[i], residentMB(node.Pid(), "RssFile:"))
			}
			stop()
			if err != nil {
				return nil, err
			}
		}
		progress(fmt.Sprintf("footprint: round %d of %d", round+1, m.Rounds))
	}
	return []Comparison{compareMedians("size of the program", "MB", "within 1.10", size[:1], size[1:]),
		compareMedians("start of the program, without serving", "ms", "within 1.10", startTimes[0], startTimes[1]),
		compareMedians("memory of its own, under submissions", "MB", "within 1.10", anonymous[0], anonymous[1]),
		compareMedians("pages of the program file in memory", "MB", "within 1.10", fileBacked[0], fileBacked[1])}, nil
}

// footprintUsers is the number of concurrent users that submit jobs before memory is measured.
const footprintUsers = 16

// residentMB returns a process's resident memory in MB, of the kind named in /proc/PID/status
// ("RssAnon:" or "RssFile:"), or 0 if it cannot be read.
func residentMB(pid int, kind string) float64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, kind); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
