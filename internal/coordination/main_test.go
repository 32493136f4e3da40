package coordination

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// defaultParallelism is the number of simulated clusters that run in parallel unless -parallel is
// given. It exceeds the number of cores, so that the longest tests start early, but must keep the
// process below the race detector's limit of 8,128 goroutines.
const defaultParallelism = 24

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "test.parallel" })
	if !given {
		if err := flag.Set("test.parallel", strconv.Itoa(defaultParallelism)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
