package jobs

import (
	"flag"
	"os"
	"testing"
)

// The same worlds are drawn in every run: more, or others, with -rapid.checks and -rapid.seed.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.checks", "4000")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
