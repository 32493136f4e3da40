package main

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
)

// parse parses command line arguments, with no front ends as the default.
func parse(t *testing.T, args ...string) *cli {
	t.Helper()
	c := new(cli)
	if _, err := kong.Must(c, kong.Vars{"frontends": "0"}).Parse(args); err != nil {
		t.Fatalf("parse arguments %v: got error %v, want none", args, err)
	}
	return c
}

// Former flag names must remain valid: scripts use them.
func TestFormerNamesOfFlags(t *testing.T) {
	for _, name := range []string{"--frontends", "--gates"} {
		if c := parse(t, "up", name, "2"); c.Up.Frontends != 2 {
			t.Errorf("up %s 2: want 2 front ends, got %+v", name, c.Up)
		}
		if c := parse(t, "demo-build", name, "3"); c.DemoBuild.Frontends != 3 {
			t.Errorf("demo-build %s 3: want 3 front ends, got %+v", name, c.DemoBuild)
		}
		if c := parse(t, "build", name, "127.0.0.1:1"); c.Build.Frontends != "127.0.0.1:1" {
			t.Errorf("build %s 127.0.0.1:1: want this address, got %+v", name, c.Build)
		}
	}
	if c := parse(t, "up"); c.Up.Frontends != 0 {
		t.Errorf("up starts %d front ends by default, want 0", c.Up.Frontends)
	}
}

func TestClusterLimitsAreChecked(t *testing.T) {
	for _, args := range [][]string{
		{"up", "--frontends", "6"}, {"up", "--controllers", "0"}, {"up", "--machines", "201"}, {"up", "--sockets", "99"},
		{"up", "--binary", "nowhere"},
	} {
		c := parse(t, args...)
		if err := c.Up.Run(context.Background()); !errors.As(err, new(usageError)) {
			t.Errorf("run with arguments %v: got error %v, want a usage error", args, err)
		}
	}
}

// A wait time is counted in the bucket whose lower bound is the power of two at or below it.
func TestHistogramDoublesItsBounds(t *testing.T) {
	h := hdrhistogram.New(1, math.MaxInt32, 3)
	for _, ms := range []int64{1, 2, 3, 4, 7, 8} {
		if err := h.RecordValue(ms); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	printHistogram(&out, h)
	for _, line := range []string{"2 ms      1 ", "4 ms      2 ", "8 ms      2 ", "16 ms      1 "} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("the histogram has no line %q:\n%s", line, out.String())
		}
	}
}
