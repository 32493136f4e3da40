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

// parse is the command line of arguments.
func parse(t *testing.T, args ...string) *cli {
	t.Helper()
	c := new(cli)
	if _, err := kong.Must(c, kong.Vars{"frontends": "0"}).Parse(args); err != nil {
		t.Fatalf("%v: %v", args, err)
	}
	return c
}

// Scripts may still use the former names of flags.
func TestFormerNamesOfFlags(t *testing.T) {
	for _, name := range []string{"--frontends", "--gates"} {
		if c := parse(t, "up", name, "2"); c.Up.Frontends != 2 {
			t.Errorf("up %s: %+v", name, c.Up)
		}
		if c := parse(t, "demo-build", name, "3"); c.DemoBuild.Frontends != 3 {
			t.Errorf("demo-build %s: %+v", name, c.DemoBuild)
		}
		if c := parse(t, "build", name, "127.0.0.1:1"); c.Build.Frontends != "127.0.0.1:1" {
			t.Errorf("build %s: %+v", name, c.Build)
		}
	}
	if c := parse(t, "up"); c.Up.Frontends != 0 {
		t.Errorf("%d front ends by default", c.Up.Frontends)
	}
}

func TestClusterLimitsAreChecked(t *testing.T) {
	for _, args := range [][]string{
		{"up", "--frontends", "6"}, {"up", "--controllers", "0"}, {"up", "--machines", "201"}, {"up", "--sockets", "99"},
		{"up", "--binary", "nowhere"},
	} {
		c := parse(t, args...)
		if err := c.Up.Run(context.Background()); !errors.As(err, new(usageError)) {
			t.Errorf("%v: %v", args, err)
		}
	}
}

// A wait counts on the line of the power of two below it.
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
			t.Errorf("no line %q in:\n%s", line, out.String())
		}
	}
}
