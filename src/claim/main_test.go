package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed of the property tests, so that results are
// reproducible, and their default number of runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261202")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "12000")
	}
	os.Exit(m.Run())
}
