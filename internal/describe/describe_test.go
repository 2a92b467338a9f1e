package describe_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"cobaltflow/internal/config"
	"cobaltflow/internal/describe"
	"cobaltflow/internal/faktory"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

func TestValidate(t *testing.T) {
	for _, c := range []struct{ name, text, wantErr string }{
		{"ours", string(describe.OpenAPI), ""},
		{"ours", string(describe.AsyncAPI), ""},
		{"neither", "swagger: 2", "neither"},
		{"no YAML", "a: b: c", "mapping"},
		{"no paths", "openapi: 3.0.3\ninfo: {title: a, version: b}", "paths"},
		{"no info", "asyncapi: 3.0.0", "info"},
		{"other version", "asyncapi: 2.6.0\ninfo: {title: a, version: b}", "asyncapi"},
		{"action", "asyncapi: 3.0.0\ninfo: {title: a, version: b}\noperations: {x: {action: shout, channel: {$ref: '#/info'}}}", "action"},
		{"dangling", "asyncapi: 3.0.0\ninfo: {title: a, version: b}\noperations: {x: {action: send, channel: {$ref: '#/channels/x'}}}", "unresolved reference #/channels/x"},
		{"payload", "asyncapi: 3.0.0\ninfo: {title: a, version: b}\ncomponents: {messages: {m: {payload: {type: 7}}}}", "components.messages.m"},
	} {
		_, err := describe.Validate([]byte(c.text))
		if c.wantErr == "" {
			assert.NoError(t, err, c.name)
		} else {
			assert.ErrorContains(t, err, c.wantErr, c.name)
		}
	}
}

// The OpenAPI description lists exactly the routes that are served, and the response statuses of each.
func TestOpenAPIMatchesTheServedRoutes(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromData(describe.OpenAPI)
	require.NoError(t, err)
	var described []string
	for path, item := range doc.Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	assert.ElementsMatch(t, platform.Routes(), described)

	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	for _, c := range []struct {
		method, path, target, id, body string
	}{
		{"GET", "/-/ready", "", "", ""}, {"GET", "/-/healthy", "", "", ""},
		{"POST", "/v1/job-events", "", "", `{"id":"a","from":"b","state":"done"}`}, {"POST", "/v1/job-events", "", "", `{}`},
		{"POST", "/{class}", "/move", "id-1", ""}, {"POST", "/{class}/{key}", "/settle/k", "id-2", "x"},
		{"POST", "/{class}", "/nothing", "id-3", ""}, {"POST", "/{class}/{key}", "/move/k", "", ""},
		{"POST", "/{class}/{key}", "/move/k", "id-4", strings.Repeat("x", 65537)},
	} {
		if c.target == "" {
			c.target = c.path
		}
		q, _ := http.NewRequest(c.method, n.URL(c.target), strings.NewReader(c.body))
		q.Header.Set(platform.HeaderID, c.id)
		q.Header.Set(platform.HeaderTimeLeft, "3000")
		r, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		r.Body.Close()
		assert.NotNil(t, doc.Paths.Find(c.path).GetOperation(c.method).Responses.Status(r.StatusCode), "%s %s: %d", c.method, c.target, r.StatusCode)
	}
	for name, header := range map[string]string{"ID": platform.HeaderID, "TimeLeft": platform.HeaderTimeLeft,
		"Facts": platform.HeaderFacts, "ClassHeader": platform.HeaderClass} {
		assert.Equal(t, header, doc.Components.Parameters[name].Value.Name)
	}
}

// The AsyncAPI description lists exactly the supported commands, and the messages on the wire match its schemas.
func TestAsyncAPIMatchesTheMessages(t *testing.T) {
	var doc struct {
		Channels   map[string]struct{ Address string }
		Operations map[string]struct{ Action string }
	}
	require.NoError(t, yaml.Unmarshal(describe.AsyncAPI, &doc))
	assert.Equal(t, platform.PathEvents, doc.Channels["jobEvents"].Address)
	var verbs []string
	for name := range doc.Operations {
		if strings.ToUpper(name) == name {
			verbs = append(verbs, name)
		}
	}
	slices.Sort(verbs)
	assert.Equal(t, faktory.Verbs(), verbs)

	assertValid := func(message, text string) {
		t.Helper()
		schema, err := describe.PayloadSchema(describe.AsyncAPI, message)
		require.NoError(t, err)
		v, err := jsonschema.UnmarshalJSON(bytes.NewReader([]byte(text)))
		require.NoError(t, err, text)
		assert.NoError(t, schema.Validate(v), text)
	}
	n := standin.Start(t, func(c *config.Config) {
		c.Faktory.Listen, c.Faktory.Password = "127.0.0.1:0", "pw"
		c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 1, 1
	})
	raw := &standin.Faktory{RawConn: standin.Dial(t, n.Faktory.Address())}
	assertValid("hi", strings.TrimPrefix(raw.Reply(), "HI "))
	w, c := standin.NewFaktory(t, n.Faktory.Address(), "w-1", "pw"), standin.NewFaktory(t, n.Faktory.Address(), "", "pw")
	assert.Equal(t, "(none)", w.Do("FETCH", "default"))
	require.Equal(t, "OK", c.Push("job-0001", "move", 9000))
	assertValid("job", w.Do("FETCH", "default"))
	assertValid("tracked", c.Do("TRACK", "GET job-0001"))
	assertValid("information", c.Do("INFO", ""))
	assertValid("notTaken", c.Do("PUSHB", `[{"jid":"job-0009","jobtype":"none","args":[]}]`))
	assertValid("ACK", `{"jid":"job-0001"}`)
	assert.Equal(t, "OK", w.Do("ACK", `{"jid":"job-0001"}`))
	got := make(chan standin.Answer)
	go func() { got <- n.SendRequest("settle", "k", "id-by-http", 9000, "body") }()
	assertValid("job", w.Do("FETCH", "default"))
	w.Do("ACK", `{"jid":"id-by-http","result":"r"}`)
	assert.Equal(t, "r", (<-got).Body)
	for _, state := range []string{"started", "running", "done", "failed", "returned", "lost"} {
		text, _ := json.Marshal(map[string]any{"id": "a", "from": "b", "state": state, "share": 0.4})
		assertValid("jobEvent", string(text))
	}
}
