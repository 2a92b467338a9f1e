package admission

import (
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

type client struct{}

func (client) Answer(*core.Request, core.Answer) {}
func (client) Released(*core.Request)            {}

// loadNames loads a platform file with two tenants, as a scheduler does at startup.
func loadNames(t *testing.T) *config.Names {
	text, err := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
		"settings": map[string]any{"classes": []any{map[string]any{"name": "foglalás", "deadlineUs": 5_000_000}},
			"tenants": []any{map[string]any{"name": "agyag-ház", "quotaRps": 3}, map[string]any{"name": "kék, kancsó", "quotaRps": 2}}}})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	c, err := config.Load(func(key string) string { return map[string]string{config.EnvConfig: path}[key] }, "", false)
	require.NoError(t, err)
	return &c.Names
}

func TestTenantAndHintOfARequest(t *testing.T) {
	c := core.New(core.NewLoop(), rules.Settings{Classes: []rules.Class{{Deadline: 5_000_000, Kind: -1}}}, 1, slog.New(slog.DiscardHandler))
	controller := NewController(c, loadNames(t))
	for id, v := range map[string]struct {
		headers map[string][]string
		tenant  int
		hint    core.Time
	}{
		"first":   {map[string][]string{HeaderTenant: {"agyag-ház"}, HeaderHint: {"340000"}}, 1, 340_000},
		"second":  {map[string][]string{HeaderTenant: {"kék, kancsó"}, HeaderHint: {"12.5"}}, 2, 12},
		"none":    {nil, 0, 0},
		"unknown": {map[string][]string{HeaderTenant: {"kék"}, HeaderHint: {"soon"}}, 0, 0},
		"twice":   {map[string][]string{HeaderTenant: {"agyag-ház", "agyag-ház"}, HeaderHint: {"1", "1"}}, 0, 0},
		"invalid": {map[string][]string{HeaderTenant: {""}, HeaderHint: {"-3"}}, 0, 0},
		"nan":     {map[string][]string{HeaderHint: {"NaN"}}, 0, 0},
		"huge":    {map[string][]string{HeaderHint: {"1e99"}}, 0, 0},
	} {
		request, rejection := controller.Admit(&Request{Method: "POST", Target: "/foglalás/k", Path: "/foglalás/k", Header: func(name string) ([]byte, int) {
			values := map[string][]string{HeaderID: {id}, HeaderTimeLeft: {"5000"}}[name]
			values = append(values, v.headers[name]...)
			if len(values) == 0 {
				return nil, 0
			}
			return []byte(values[0]), len(values)
		}}, client{})
		require.Nil(t, rejection, id)
		assert.Equal(t, []any{v.tenant, v.hint}, []any{request.Job.Tenant, request.Hint}, id)
	}
}

// A refusal has a Retry-After field only if the settings enable it.
func TestRetryAfterFollowsTheSettings(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		c := core.New(core.NewLoop(), rules.Settings{RetryAfter: enabled}, 1, slog.New(slog.DiscardHandler))
		r := NewController(c, loadNames(t)).ReplyTo(core.Answer{Kind: core.Refused, RetryAfter: 1_500_000})
		assert.Equal(t, 503, r.Status)
		assert.Equal(t, map[bool]string{true: "1.500"}[enabled], r.RetryAfter)
	}
}
