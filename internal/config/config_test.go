package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/deploy"
	"cobaltflow/rules"
)

const platformText = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[]},
 "settings":{"dcs":["suva","lautoka"],"kinds":["gen1"],"caps":{"cancel":true,"mostTries":4,"connIdleUs":60000000},
  "classes":[{"name":"move","effect":"once","aimUs":1000000,"deadlineUs":10000000}],
  "specifics":{"classKind":[-1],"classStretch":[2.0]},"locality":1,"groupSize":2}}`

func loadPlatform(t *testing.T, text string, env map[string]string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(func(key string) string {
		if key == EnvConfig {
			return path
		}
		return env[key]
	}, "", false)
}

func TestLoad(t *testing.T) {
	c, err := loadPlatform(t, platformText, map[string]string{EnvName: "n4"})
	require.NoError(t, err)
	assert.Equal(t, "n4", c.Name, "the environment takes precedence")
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Equal(t, Limits{1, 192, 1024}, c.Limits)
	assert.Equal(t, 0, c.Names.Class("move"))
	assert.Equal(t, -1, c.Names.Class("none"))
	s := c.Settings
	assert.True(t, s.MayCancel)
	assert.Equal(t, []any{4, 1, 2, 2, 1}, []any{s.MaxAttempts, s.Zone, s.GroupSize, s.Zones, s.Kinds})
	assert.Equal(t, rules.Class{LatencyTarget: 1e6, TargetStretch: 2, Deadline: 1e7, Effect: rules.Once, Group: rules.GroupCell, Kind: -1}, s.Classes[0])
	assert.Equal(t, rules.Time(60_000_000), c.Names.ConnIdleTimeout)
}

func TestPeers(t *testing.T) {
	with := strings.NewReplacer(`"cancel":true`, `"cancel":true,"peers":true`, `"seed"`,
		`"peer_listen":"127.0.0.1:9","peers":["127.0.0.1:1","127.0.0.1:2"],"peers_all":"127.0.0.1:3","seed"`).Replace(platformText)
	c, err := loadPlatform(t, with, nil)
	require.NoError(t, err)
	assert.True(t, c.Settings.MayBroadcast)
	assert.Equal(t, []any{"127.0.0.1:9", 2, "127.0.0.1:3"}, []any{c.Peers.Listen, len(c.Peers.ByRank), c.Peers.Group.String()})

	c, err = loadPlatform(t, strings.Replace(platformText, `"cancel":true`, `"cancel":true,"peers":true`, 1), nil)
	require.NoError(t, err)
	assert.False(t, c.Settings.MayBroadcast, "without addresses no messages are sent")
	assert.NotEmpty(t, c.Warnings)

	for _, f := range []struct{ from, to, key string }{
		{`"groupSize":2`, `"groupSize":3`, "peers"},
		{`"groupSize":2`, `"groupSize":2,"rank":2`, "settings.rank"},
		{`"127.0.0.1:2"]`, `"nowhere"]`, "peers.1"},
		{`"127.0.0.1:2"]`, `"127.0.0.1:1"]`, "peers.1"},
		{`"127.0.0.1:3"`, `"all"`, "peers_all"},
		{`"127.0.0.1:9"`, `"here"`, "peer_listen"},
	} {
		_, err := loadPlatform(t, strings.Replace(with, f.from, f.to, 1), nil)
		var configErr *Error
		if assert.ErrorAs(t, err, &configErr, f.to) {
			assert.Equal(t, f.key, configErr.Key, f.to)
		}
	}
}

func TestReloadReadsDiscoveryFromTheFile(t *testing.T) {
	env := map[string]string{EnvName: "n4", EnvDiscovery: "127.0.0.1:9"}
	old, err := loadPlatform(t, platformText, env)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", old.Discovery, "at the start the environment takes precedence")
	path := filepath.Join(t.TempDir(), "next.json")
	reload := func(text string) (*Config, error) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		env[EnvConfig] = path
		return old.Reload(func(key string) string { return env[key] })
	}
	next, err := reload(strings.NewReplacer("8500", "8501", `"sockets":1024`, `"sockets":256`).Replace(platformText))
	require.NoError(t, err)
	assert.Equal(t, []any{"127.0.0.1:8501", 256}, []any{next.Discovery, next.Limits.Sockets})
	assert.Empty(t, old.RestartRequired(next))
	next, err = reload(strings.NewReplacer("8443", "8444", "1000000,", "2000000,").Replace(platformText))
	require.NoError(t, err)
	assert.Equal(t, []string{"listen", "settings"}, old.RestartRequired(next))
	_, err = reload(strings.Replace(platformText, "8500", "none", 1))
	assert.ErrorContains(t, err, "discovery: ")
}

func TestPlatformFileErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ text, key string }{
		{`{`, EnvConfig},
		{`{"name":7}`, "name"},
		{`{}`, "name"},
		{`{"name":"n"}`, "listen"},
		{`{"name":"n","listen":"nowhere"}`, "listen"},
		{`{"name":"n","listen":"127.0.0.1:1"}`, "discovery"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"x"}`, "discovery"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"xyz"}`, "seed"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"cores":0}}`, "limits.cores"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"memory_mb":1}}`, "limits.memory_mb"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":"many"}}`, "limits.sockets"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`, "settings"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":[]}`, "settings"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{}}`, "settings.classes"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"groupSize":"some"}}`, "settings.groupSize"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"classes":[{"aimUs":1}]}}`, "settings.classes.0.name"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"classes":[{"name":"a"}]}}`, "settings.classes.0.deadlineUs"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"tenants":[{"name":"t"},{"name":"t"}]}}`, "settings.tenants.1.name"},
		{`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"tenants":[{"quotaRps":3}]}}`, "settings.tenants.0.name"},
	} {
		_, err := loadPlatform(t, c.text, nil)
		var configErr *Error
		if assert.ErrorAs(t, err, &configErr, c.text) {
			assert.Equal(t, c.key, configErr.Key, c.text)
		}
	}
}

// loadProject loads a project file without a platform file.
func loadProject(t *testing.T, text string, env map[string]string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "cobaltflow.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(func(key string) string { return env[key] }, path, true)
}

func TestProjectFileWorksWithoutAPlatformFile(t *testing.T) {
	c, err := loadProject(t, string(deploy.Example), map[string]string{EnvName: "n7"})
	require.NoError(t, err)
	assert.Equal(t, []any{"n7", "", true}, []any{c.Name, c.Discovery, c.Faktory.IsEnabled()})
	assert.Equal(t, []string{"board-view", "move", "settle"}, c.Names.Classes)
	assert.Equal(t, rules.Class{LatencyTarget: 5e5, Deadline: 5e6, Value: 3, Effect: rules.Repeatable, Kind: -1}, c.Settings.Classes[0])
	assert.Equal(t, rules.Time(1), c.Settings.SlowStartWindow, "without a slow start window jobs do not wait for cold workers")
	assert.Len(t, c.Warnings, 1)
	assert.Equal(t, []int{0, 1, 0}, []int{c.JobClass("BuildBoardView"), c.JobClass("move"), c.JobClass("whatever")})
	assert.Equal(t, []rules.Tenant{{QuotaPerS: 40}, {QuotaPerS: 20}}, c.Settings.Tenants)
	assert.Equal(t, []any{2, 0, 0.1, false}, []any{c.Names.Tenant([]byte("hill-club")), c.Names.Tenant([]byte("nobody")),
		c.Settings.OverQuotaValue, c.Settings.ValueByWork})
	known := strings.Replace(string(deploy.Example), `"workers": []`, `"workers": [{"name":"a","address":"127.0.0.1:9"}]`, 1)
	c, err = loadProject(t, known, nil)
	require.NoError(t, err)
	assert.JSONEq(t, `{"index":0,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:9","zone":"here","type":"any","status":"up","weight":1}]}`, string(c.KnownWorkers))
}

func TestPlatformFileTakesPrecedenceOverTheSection(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(platformText), 0o600))
	c, err := loadProject(t, `{"scheduler":{"name":"other"},"faktory":{"listen":"127.0.0.1:7419"}}`, map[string]string{EnvConfig: path})
	require.NoError(t, err)
	assert.Equal(t, []any{"n3", 1}, []any{c.Name, len(c.Names.Classes)})
}

func TestProjectFileErrorsNameTheKey(t *testing.T) {
	section := func(scheduler, faktory string) string {
		return `{"scheduler":{"name":"n","listen":"127.0.0.1:1","classes":[{"name":"move","effect":"once","deadline_ms":9}]` + scheduler +
			`},"faktory":{"listen":"127.0.0.1:7419"` + faktory + `}}`
	}
	for _, c := range []struct{ text, key string }{
		{section("", ""), ""},
		{`{`, "config"}, {`[]`, "config"}, {`{"schedule":{}}`, "schedule"}, {`{"log":{"level":"loud"}}`, "log.level"},
		{`{"listen":"127.0.0.1:1","beat_s":60}`, "listen"},
		{`{"scheduler":{"name":"n"}}`, "scheduler.listen"},
		{`{"scheduler":{"name":"n","listen":"127.0.0.1:1"}}`, "scheduler.classes"},
		{`{"faktory":{}}`, "name"},
		{section(`,"zone":"x"`, ""), "scheduler.zone"},
		{section(`,"tenants":[{"name":"t"},{"name":"t"}]`, ""), "scheduler.tenants.1.name"},
		{section(`,"tenants":[{"name":"t","quota_per_s":-1}]`, ""), "scheduler.tenants.0.quota_per_s"},
		{section(`,"worth_by":"job"`, ""), "scheduler.worth_by"},
		{section(`,"over_share_worth":2`, ""), "scheduler.over_share_worth"},
		{section(`,"seed":"xyz"`, ""), "scheduler.seed"},
		{section(`,"limits":{"memory_mb":8}`, ""), "scheduler.limits.memory_mb"},
		{section(`,"rules":{"cold_from":2}`, ""), "scheduler.rules.cold_from"},
		{section(`,"workers":[{"name":"a"}]`, ""), "scheduler.workers.0.address"},
		{section(`,"workers":[{"name":"a","address":"127.0.0.1:77777"}]`, ""), "scheduler.workers.0.address"},
		{section(`,"workers":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"127.0.0.1:2"}]`, ""), "scheduler.workers.1.name"},
		{section(`,"classes":[{"name":"m","effect":"maybe","deadline_ms":1}]`, ""), "scheduler.classes.0.effect"},
		{section("", `,"beats_s":1`), "faktory.beats_s"},
		{section("", `,"beat_s":0`), "faktory.beat_s"}, {section("", `,"queue":""`), "faktory.queue"},
		{section("", `,"kept_jobs":0`), "faktory.kept_jobs"}, {section("", `,"max_sessions":900`), "faktory.max_sessions"},
		{section("", `,"jobtypes":{"J":"none"}`), "faktory.jobtypes.J"}, {section("", `,"default_class":"none"`), "faktory.default_class"},
		{section("", `,"max_held_mb":90`), "faktory.max_held_mb"}, {section("", `,"max_command_kb":65536`), "faktory.max_command_kb"},
		{strings.Replace(section("", ""), ":7419", "", 1), "faktory.listen"},
	} {
		_, err := loadProject(t, c.text, nil)
		var configErr *Error
		if c.key == "" {
			assert.NoError(t, err)
		} else if assert.ErrorAs(t, err, &configErr, c.text) {
			assert.Equal(t, c.key, configErr.Key, "%s: %v", c.text, err)
		}
	}
	_, err := Load(func(string) string { return "" }, "no such file", true)
	assert.ErrorContains(t, err, "config: ")
}

// The defaults in the schema are those of the code, and with a platform file the Faktory front is off.
func TestDefaultsMatchTheSchema(t *testing.T) {
	var schema struct {
		Properties map[string]struct {
			Properties map[string]struct{ Default any }
		}
	}
	require.NoError(t, json.Unmarshal(deploy.Schema, &schema))
	text, err := json.Marshal(DefaultFaktory())
	require.NoError(t, err)
	var defaults map[string]any
	require.NoError(t, json.Unmarshal(text, &defaults))
	for key, p := range schema.Properties["faktory"].Properties {
		if p.Default != nil {
			assert.Equal(t, p.Default, defaults[key], key)
		}
		assert.Contains(t, defaults, key)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(platformText), 0o600))
	c, err := Load(func(key string) string { return map[string]string{EnvConfig: path}[key] }, "../../"+File, true)
	require.NoError(t, err)
	assert.False(t, c.Faktory.IsEnabled(), "off with a platform file")
}
