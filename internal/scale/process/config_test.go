package process

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/rules"
)

// The program's own loader reads the files and finds the configured values in them.
func TestProgramReadsTheConfigurationFiles(t *testing.T) {
	c := Config{Name: "s03", Listen: netip.MustParseAddrPort("127.0.2.1:1000"), Admin: netip.MustParseAddrPort("127.0.2.1:1001"),
		HTTP2: netip.MustParseAddrPort("127.0.2.1:1002"), Discovery: netip.MustParseAddrPort("127.0.3.1:1003"), Mode: Push,
		KnownList: json.RawMessage(`{"index":7,"snapshot":true,"endpoints":[]}`), MemoryMB: 256, Sockets: 2048, Seed: 9, Rank: 1, GroupSize: 2,
		Zone: 2, Zones: 3, Tenants: 4, QuotaPerS: 25, Subsystems: json.RawMessage(`{"log":{"format":"json","level":"warn"}}`),
		Peers: &Peers{Listen: netip.MustParseAddrPort("127.0.4.1:1"), Each: []string{"127.0.4.1:2", "127.0.4.1:3"}, All: "127.0.4.1:4"}}
	s := &Scheduler{Config: c, dir: t.TempDir()}
	programText, err := c.marshalProgramFile()
	require.NoError(t, err)
	path := filepath.Join(s.dir, "cobaltflow.json")
	require.NoError(t, os.WriteFile(path, programText, 0o600))
	_, err = s.writePlatform()
	require.NoError(t, err)

	environment := map[string]string{config.EnvConfig: s.path("platform.json")}
	read, err := config.Load(func(key string) string { return environment[key] }, path, true)
	require.NoError(t, err)
	require.Empty(t, read.Warnings)
	require.Equal(t, "s03", read.Name)
	require.True(t, read.DiscoveryIsLocal)
	require.JSONEq(t, string(c.KnownList), string(read.KnownWorkers))
	require.Equal(t, config.Limits{Cores: 1, MemoryMB: 256, Sockets: 2048}, read.Limits)
	require.Equal(t, uint64(9), read.Seed)
	require.Equal(t, 2, read.Settings.GroupSize)
	require.Equal(t, 1, read.Settings.Rank)
	require.Equal(t, 2, read.Settings.Zone)
	require.Equal(t, 3, read.Settings.Zones)
	require.Len(t, read.Settings.Tenants, 4)
	require.True(t, read.Settings.MayProbe && read.Settings.MayBroadcast && read.Settings.LoadInProbes && read.Settings.ReportsStart)
	require.Equal(t, 2, read.Names.Tenant([]byte(TenantName(1))))
	short := read.Settings.Classes[read.Names.Class(ShortClass)]
	require.Equal(t, rules.Repeatable, short.Effect)
	require.Equal(t, (5 * time.Second).Microseconds(), short.Deadline)
	require.Equal(t, rules.Once, read.Settings.Classes[read.Names.Class(LongClass)].Effect)
	require.Equal(t, HTTP2Streams, read.HTTP2.MaxStreams)
	require.Equal(t, "warn", read.Log.Level)
}
