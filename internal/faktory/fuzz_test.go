package faktory

import (
	"encoding/json"
	"testing"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
)

// The parser never consumes more bytes than there are, and needs more than there are when a command is incomplete.
func FuzzParseCommand(f *testing.F) {
	for _, seed := range []string{"PUSH {}\r\n", "*2\r\n$4\r\nPUSH\r\n$2\r\n{}\r\n", "*1\r\n$0\r\n\r\n", "\n", "*-1\r\n", "$5\r\nabc", "*2\r\n$1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Command
		need, err := ParseCommand(data, &c, 4096)
		switch {
		case err != nil:
		case need > 0:
			if need <= len(data) {
				t.Fatalf("needs %d bytes although %d are there", need, len(data))
			}
		case c.Size <= 0 || c.Size > len(data):
			t.Fatalf("consumed %d of %d bytes", c.Size, len(data))
		case len(c.Verb)+len(c.Arg) > c.Size:
			t.Fatal("verb and argument are longer than the command")
		}
	})
}

// An accepted payload is valid JSON with valid fields, and its args are found in it.
func FuzzParseJob(f *testing.F) {
	for _, seed := range []string{
		`{"jid":"job-0001","jobtype":"move","args":[1,"a"],"custom":{"time_left_ms":9000,"key":"k","slots":2}}`,
		`{"jid":"job-0001","jobtype":"move","args":[],"at":"2030-01-01T00:00:00Z","retry":-1,"priority":9,"reserve_for":60}`,
		`{"jid":"job-0001","jobtype":"move","args":[[]],"custom":{"unique_for":1.5,"unique_until":"start","expires_at":"2030-01-01T00:00:00Z"}}`,
		`{"jid":"job-0001","jobtype":"move","args":[],"args":{}}`, `{"\u006aid":"job-0001"}`, `{"jid":1e400}`, `[]`, `{"args":[`,
	} {
		f.Add([]byte(seed))
	}
	conf := &config.Config{Names: config.Names{Classes: []string{"move"}}, Faktory: config.DefaultFaktory()}
	front := &Front{conf: conf, loop: core.NewLoop()}
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := front.parseJob(data, "here")
		if err != nil {
			return
		}
		var args []json.RawMessage
		if err := json.Unmarshal(argsOf(j), &args); err != nil {
			t.Fatalf("args are %q of %q", argsOf(j), data)
		}
		if !json.Valid([]byte(j.Payload)) || !isValidID(j.ID) || !isValidQueueName(j.Queue) || j.Priority < 1 || j.Priority > 9 || j.Retry < -1 {
			t.Fatalf("%+v of %q", j, data)
		}
	})
}

// custom.account and custom.hint_us become the job's tenant and hint; unknown and null values are ignored.
func TestJobAccountAndHintAreParsed(t *testing.T) {
	conf, err := config.LoadExample()
	if err != nil {
		t.Fatal(err)
	}
	front := &Front{conf: conf, loop: core.NewLoop()}
	for custom, want := range map[string][2]int64{
		`{"account":"hill-club","hint_us":7}`: {2, 7}, `{"account":"nobody"}`: {}, `{"account":null,"hint_us":null}`: {}, `{}`: {},
	} {
		j, err := front.parseJob([]byte(`{"jid":"job-0001","jobtype":"move","args":[],"custom":`+custom+`}`), "here")
		if err != nil {
			t.Fatal(err)
		}
		got := [2]int64{}
		if j.Options != nil {
			got = [2]int64{int64(j.Tenant), j.Hint}
		}
		if got != want {
			t.Errorf("%s: tenant and hint %v, want %v", custom, got, want)
		}
	}
}

// A pattern that compiles can be matched against any text.
func FuzzGlob(f *testing.F) {
	for _, seed := range []string{"*a*", "[abc]?", `\[`, "[", "[^]]", `[\`, "[z-a]", "**"} {
		f.Add(seed, "text")
	}
	f.Fuzz(func(_ *testing.T, pattern, text string) {
		if re, err := compileGlob(pattern); err == nil && re != nil {
			re.MatchString(text)
		}
	})
}
