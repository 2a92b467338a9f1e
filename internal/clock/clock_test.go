package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// schedulerFolders are the packages that run in a scheduler. The test harness, the measurements and the fakes read clocks
// of their own.
var schedulerFolders = []string{"rules", "internal/config", "internal/core", "internal/directive", "internal/discovery",
	"internal/faktory", "internal/front", "internal/gateway", "internal/http1", "internal/jobs", "internal/link", "internal/log",
	"internal/ownership", "internal/platform", "internal/replica", "internal/sites"}

// clockFuncs are the functions of package time that read a clock.
var clockFuncs = []string{"Now", "Since", "Until"}

// No package of the scheduler but this one may read a clock: code that uses time.Now would depend on steps of the wall
// clock. A deadline of a standard library connection, which is given as a date, would be harmless (time.Now().Add
// contains the monotonic clock's reading), but the test does not allow for it.
func TestNoOtherPackageReadsAClock(t *testing.T) {
	for _, folder := range schedulerFolders {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "faktory/client") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok {
					if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(clockFuncs, s.Sel.Name) {
						t.Errorf("%s reads a clock with time.%s", files.Position(s.Pos()), s.Sel.Name)
					}
				}
				return true
			})
			return nil
		})
		require.NoError(t, err)
	}
}

// A step of the wall clock changes Wall and leaves Monotonic alone.
func TestWallClockStepLeavesMonotonicAlone(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		monotonic, wall := Monotonic(), Wall()
		StepWall(by)
		assert.Less(t, Monotonic()-monotonic, time.Second)
		assert.InDelta(t, by.Seconds(), Wall().Sub(wall).Seconds(), 1)
		StepWall(-by)
	}
}
