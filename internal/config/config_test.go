package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/rules"
)

const good = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[]},
 "settings":{"dcs":["suva","lautoka"],"kinds":["gen1"],"caps":{"cancel":true,"mostTries":4,"connIdleUs":60000000},
  "classes":[{"name":"move","effect":"once","aimUs":1000000,"deadlineUs":10000000}],
  "specifics":{"classKind":[-1],"classStretch":[2.0]},"locality":1,"groupSize":2}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(func(key string) string {
		if key == EnvConfig {
			return path
		}
		return env[key]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, good, map[string]string{EnvName: "n4"})
	require.NoError(t, err)
	assert.Equal(t, "n4", c.Name, "the environment goes first")
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Equal(t, Limits{1, 192, 1024}, c.Limits)
	assert.Equal(t, 0, c.Names.Class("move"))
	assert.Equal(t, -1, c.Names.Class("none"))
	s := c.Settings
	assert.True(t, s.MayCancel)
	assert.Equal(t, []any{4, 1, 2, 2, 1}, []any{s.MaxAttempts, s.Zone, s.GroupSize, s.Zones, s.Kinds})
	assert.Equal(t, rules.Class{Aim: 1e6, Stretch: 2, Deadline: 1e7, Effect: rules.Once, Group: rules.GroupCell, Kind: -1}, s.Classes[0])
	assert.Equal(t, rules.Time(60_000_000), c.Names.ConnIdle)
}

func TestReloadTakesDiscoveryFromTheFile(t *testing.T) {
	env := map[string]string{EnvName: "n4", EnvDiscovery: "127.0.0.1:9"}
	old, err := load(t, good, env)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", old.Discovery, "at the start the environment goes first")
	path := filepath.Join(t.TempDir(), "next.json")
	again := func(text string) (*Config, error) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		env[EnvConfig] = path
		return old.Reload(func(key string) string { return env[key] })
	}
	next, err := again(strings.NewReplacer("8500", "8501", `"sockets":1024`, `"sockets":256`).Replace(good))
	require.NoError(t, err)
	assert.Equal(t, []any{"127.0.0.1:8501", 256}, []any{next.Discovery, next.Limits.Sockets})
	assert.Empty(t, old.Unchangeable(next))
	next, err = again(strings.NewReplacer("8443", "8444", "1000000,", "2000000,").Replace(good))
	require.NoError(t, err)
	assert.Equal(t, []string{"listen", "settings"}, old.Unchangeable(next))
	_, err = again(strings.Replace(good, "8500", "none", 1))
	assert.ErrorContains(t, err, "discovery: ")
}

func TestFaultsNameTheirKey(t *testing.T) {
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
	} {
		_, err := load(t, c.text, nil)
		var fault *Error
		if assert.ErrorAs(t, err, &fault, c.text) {
			assert.Equal(t, c.key, fault.Key, c.text)
		}
	}
}

func TestFaktoryFile(t *testing.T) {
	for _, c := range []struct{ text, key string }{
		{`{"listen":"127.0.0.1:7419","jobtypes":{"MoveJob":"move"}}`, ""},
		{`{"listen":""}`, ""},
		{`{"listen":7}`, "faktory.listen"},
		{`{"listen":"x"}`, "faktory.listen"},
		{`{"listen":"127.0.0.1:1","beat_s":0}`, "faktory.beat_s"},
		{`{"listen":"127.0.0.1:1","queue":""}`, "faktory.queue"},
		{`{"listen":"127.0.0.1:1","kept_jobs":0}`, "faktory.kept_jobs"},
		{`{"listen":"127.0.0.1:1","max_sessions":4096}`, "faktory.max_sessions"},
		{`{"listen":"127.0.0.1:1","jobtypes":{"J":"none"}}`, "faktory.jobtypes.J"},
	} {
		conf, err := load(t, good, nil)
		require.NoError(t, err)
		path := filepath.Join(t.TempDir(), "faktory.json")
		require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		err = conf.LoadFaktory(path)
		if c.key == "" {
			assert.NoError(t, err, c.text)
			continue
		}
		var fault *Error
		if assert.ErrorAs(t, err, &fault, c.text) {
			assert.Equal(t, c.key, fault.Key)
		}
	}
	conf, _ := load(t, good, nil)
	require.NoError(t, conf.LoadFaktory("../../"+FaktoryFile))
	assert.False(t, conf.Faktory.On(), "off on the platform")
	require.NoError(t, conf.LoadFaktory("no such file"))
	assert.False(t, conf.Faktory.On())
}
