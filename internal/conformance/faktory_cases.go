package conformance

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"cobaltflow/internal/faktory/client"
)

// faktoryCases holds all cases. They check the public description of the Faktory work protocol: the specification in
// github.com/contribsys/faktory (docs/protocol-specification.md) and its wiki.
var faktoryCases = slices.Concat(sessionCases, pushCases, fetchCases, outcomeCases, scheduledCases, mutateCases, beatCases,
	infoCases, limitCases)

// sessionCases check the greeting, HELLO and the form of commands.
var sessionCases = []faktoryCase{
	{"greeting", "the server starts with HI and an object with the protocol's version 2", func(e *faktoryEnv) {
		c := e.trackConn(client.Open(e.Address, client.Options{}))
		var greeting struct{ V int }
		e.must(json.Unmarshal([]byte(c.Greeting), &greeting))
		e.expectEqual(2, greeting.V, "v")
	}},
	{"hello-producer", "a HELLO without a wid makes a producer", func(e *faktoryEnv) { e.push(e.dialProducer(), e.newJob(nil)) }},
	{"hello-all-fields", "a HELLO may contain hostname, wid, pid, labels and v", func(e *faktoryEnv) { e.expectNoJob(e.dialWorker()) }},
	{"hello-first", "a command before HELLO is an error and ends the connection", func(e *faktoryEnv) {
		c := e.trackConn(client.Open(e.Address, client.Options{}))
		e.expectError(c, "INFO", "")
		e.expectClosed(c)
	}},
	{"hello-version", "a HELLO of another version is an error", func(e *faktoryEnv) {
		e.expectError(e.trackConn(client.Open(e.Address, client.Options{})), "HELLO", `{"v":99}`)
	}},
	{"hello-malformed", "a HELLO that is not an object is an error", func(e *faktoryEnv) {
		e.expectError(e.trackConn(client.Open(e.Address, client.Options{})), "HELLO", `{`)
	}},
	{"password", "where the greeting has a salt, a wrong hash is an error and a right one is not", func(e *faktoryEnv) {
		c := e.trackConn(client.Open(e.Address, client.Options{}))
		if e.Password == "" {
			if contains(c.Greeting, `"s"`) {
				e.fail("the server requires a password, and none is configured")
			}
			return
		}
		e.expectError(c, "HELLO", `{"v":2,"pwdhash":"00"}`)
		e.dialProducer()
	}},
	{"unknown-verb", "an unknown verb is an error, and the session continues", func(e *faktoryEnv) {
		c := e.dialProducer()
		e.expectError(c, "JUGGLE", "{}")
		e.push(c, e.newJob(nil))
	}},
	{"end", "END closes the connection", func(e *faktoryEnv) {
		c := e.dialProducer()
		e.must(c.Send("END", ""))
		e.expectClosed(c)
	}},
	{"pipelining", "pipelined commands are answered in order", func(e *faktoryEnv) {
		c := e.dialProducer()
		text := ""
		for i := range 20 {
			j, _ := json.Marshal(e.newJob(nil))
			if text += "PUSH " + string(j) + "\r\n"; i%5 == 4 {
				text += "NONSENSE\r\n"
			}
		}
		_, err := io.WriteString(c, text)
		e.must(err)
		for i := range 24 {
			r, err := c.Read()
			e.must(err)
			e.expectEqual(i%6 != 5, r.IsOK(), fmt.Sprint("reply ", i))
		}
	}},
	{"in-pieces", "a command may arrive byte by byte", func(e *faktoryEnv) {
		c := e.dialProducer()
		j := e.newJob(nil)
		text, _ := json.Marshal(j)
		for _, b := range []byte("PUSH " + string(text) + "\r\n") {
			_, err := c.Write([]byte{b})
			e.must(err)
		}
		r, err := c.Read()
		e.must(err)
		e.expectEqual(true, r.IsOK(), "PUSH")
		e.expectEqual(j.JID, e.fetch(e.dialWorker()).JID, "the job")
	}},
}
