package claims

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// openTwice opens a table as two processes do.
func openTwice(t *testing.T) [2]*Table {
	path := filepath.Join(t.TempDir(), "ids")
	var both [2]*Table
	for i := range both {
		var err error
		both[i], err = Open(path)
		require.NoError(t, err)
	}
	return both
}

// Guards against an ID that runs at two processes of a scheduler, one after the other.
func TestIDIsClaimedOnceByAllProcesses(t *testing.T) {
	tables := openTwice(t)
	for i := range 1000 {
		id := fmt.Sprint("id-", i)
		require.True(t, tables[i%2].Claim(id, 1))
		require.False(t, tables[0].Claim(id, 2))
		require.False(t, tables[1].Claim(id, 2))
	}
}

// Guards against an ID that two processes claim in the same instant: one of them at most gets it.
func TestConcurrentClaimsHaveOneWinnerAtMost(t *testing.T) {
	const ids, claimers = 2000, 8
	tables := openTwice(t)
	var won [ids]atomic.Int32
	var all sync.WaitGroup
	start := make(chan struct{})
	for claimer := range claimers {
		all.Go(func() {
			<-start
			for i := range ids {
				if tables[claimer%2].Claim(fmt.Sprint("id-", i), 1) {
					won[i].Add(1)
				}
			}
		})
	}
	close(start)
	all.Wait()
	total := 0
	for i := range won {
		require.LessOrEqual(t, won[i].Load(), int32(1))
		total += int(won[i].Load())
	}
	assert.Greater(t, total, ids/2)
}

// The table has a bound: new claims replace the oldest ones, and each is known for as long as thousands that follow it.
func TestOldestClaimsAreForgotten(t *testing.T) {
	table := NewLocal()
	for i := range 4 * slotCount {
		require.True(t, table.Claim(fmt.Sprint("id-", i), int64(i/1000)))
	}
	last := 4*slotCount - 1
	for i := range slotCount / 4 {
		require.False(t, table.Claim(fmt.Sprint("id-", last-i), int64(last/1000)))
	}
	assert.True(t, table.Claim("id-0", int64(last/1000)), "forgotten")
}

// Guards against a process that ends by SIGBUS, since the file system has no space for a page of the table: its blocks are allocated
// before the table is used.
func TestTableHasItsSpaceBeforeItIsUsed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	_, err := Open(path)
	require.NoError(t, err)
	var stat unix.Stat_t
	require.NoError(t, unix.Stat(path, &stat))
	assert.EqualValues(t, tableBytes, stat.Size)
	assert.GreaterOrEqual(t, stat.Blocks*512, int64(tableBytes))
}
