package jobs

import (
	"flag"
	"os"
	"testing"
)

// Fixes rapid's seed so that every run draws the same cases; -rapid.checks and -rapid.seed draw more or others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.checks", "4000")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
