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

// scheduler is what runs in a scheduler; the rig, the measurements and the stand-ins keep clocks of their own.
var schedulerFolders = []string{"rules", "internal/config", "internal/core", "internal/directive", "internal/discovery",
	"internal/faktory", "internal/front", "internal/gateway", "internal/http1", "internal/jobs", "internal/link", "internal/log",
	"internal/ownership", "internal/platform", "internal/replica", "internal/sites"}

// asks are the functions of package time that read a clock.
var clockFuncs = []string{"Now", "Since", "Until"}

// Nothing in the scheduler but this package reads a clock. A connection's deadline of the standard library, which takes a
// date, is the exception: time.Now().Add within it is a span of the monotonic clock.
func TestNothingElseReadsAClock(t *testing.T) {
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

func TestAStepOfTheWallClockIsNoneOfTheOther(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		monotonic, wall := Monotonic(), Wall()
		StepWall(by)
		assert.Less(t, Monotonic()-monotonic, time.Second)
		assert.InDelta(t, by.Seconds(), Wall().Sub(wall).Seconds(), 1)
		StepWall(-by)
	}
}
