package procfs

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadOwnProcess(t *testing.T) {
	resident, err := Memory(os.Getpid(), ResidentMemory)
	require.NoError(t, err)
	peak, err := Memory(os.Getpid(), PeakResidentMemory)
	require.NoError(t, err)
	require.Positive(t, resident)
	require.GreaterOrEqual(t, peak, resident)

	before, err := Descriptors(os.Getpid())
	require.NoError(t, err)
	f, err := os.Open(os.DevNull)
	require.NoError(t, err)
	after, err := Descriptors(os.Getpid())
	require.NoError(t, err)
	require.Equal(t, before+1, after)
	require.NoError(t, f.Close())

	first, err := ProcessorTime(os.Getpid())
	require.NoError(t, err)
	later := first
	for later <= first { // until the process has used one more tick
		later, err = ProcessorTime(os.Getpid())
		require.NoError(t, err)
	}
}

func TestReadFailsForUnknownProcessOrKey(t *testing.T) {
	const noProcess = 1 << 30 // above the largest process ID of Linux
	_, err := ProcessorTime(noProcess)
	require.Error(t, err)
	_, err = Memory(noProcess, ResidentMemory)
	require.Error(t, err)
	_, err = Memory(os.Getpid(), "VmNothing")
	require.ErrorIs(t, err, errFormat)
	_, err = Descriptors(noProcess)
	require.Error(t, err)
}
