package coordination

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// clustersAtOnce is how many simulated clusters run beside each other, unless -parallel
// says it. It is more than there are cores, so that the longest begin early: each is
// mostly one goroutine at a time. Twelve of them had at most 1,606 goroutines; the race
// detector allows 8,128.
const clustersAtOnce = 24

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "test.parallel" })
	if !given {
		if err := flag.Set("test.parallel", strconv.Itoa(clustersAtOnce)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
