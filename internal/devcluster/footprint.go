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

// versionRuns is how often a program is started to measure its start.
const versionRuns = 20

// Footprint compares the start, size and memory of two programs, without identities.
func (m *Measurement) Footprint(ctx context.Context, say func(string)) ([]Figure, error) {
	var start, own, mapped [2][]float64
	var size [2]float64
	for round := range m.Rounds {
		for i, binary := range []string{m.Against, m.Binary} {
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
				start[i] = append(start[i], time.Since(started).Seconds()*1000)
			}
			c, stop, err := m.startCluster(ctx, "footprint", binary, false, 200)
			if err != nil {
				return nil, err
			}
			users, err := c.Client(Administrator)
			if err == nil {
				_, err = submitIdleJobs(ctx, users, footprintUsers, m.For, &atomic.Int64{})
			}
			for _, node := range c.nodes {
				own[i] = append(own[i], residentMB(node.Pid(), "RssAnon:"))
				mapped[i] = append(mapped[i], residentMB(node.Pid(), "RssFile:"))
			}
			stop()
			if err != nil {
				return nil, err
			}
		}
		say(fmt.Sprintf("footprint: round %d of %d", round+1, m.Rounds))
	}
	return []Figure{newFigure("size of the program", "MB", "within 1.10", size[:1], size[1:]),
		newFigure("start of the program, without serving", "ms", "within 1.10", start[0], start[1]),
		newFigure("memory of its own, under submissions", "MB", "within 1.10", own[0], own[1]),
		newFigure("pages of the program file in memory", "MB", "within 1.10", mapped[0], mapped[1])}, nil
}

// footprintUsers is how many users submit jobs while memory is measured.
const footprintUsers = 16

// residentMB returns the resident memory of one kind (RssAnon, RssFile) of a process.
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
