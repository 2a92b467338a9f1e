package conformance

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"cobaltflow/internal/faktory/client"
)

// faktoryCases is the table. What they check is the public description of the protocol: the work protocol's
// specification of github.com/contribsys/faktory (docs/protocol-specification.md) and its wiki.
var faktoryCases = slices.Concat(sessionCases, pushCases, fetchCases, outcomeCases, scheduledCases, mutateCases, beatCases,
	infoCases, limitCases)

// sessionCases are greeting, HELLO and the form of commands.
var sessionCases = []faktoryCase{
	{"greeting", "the server speaks first: HI and an object with the protocol's version 2", func(k *faktoryEnv) {
		c := k.trackConn(client.Open(k.Address, client.Options{}))
		var hi struct{ V int }
		k.must(json.Unmarshal([]byte(c.Greeting), &hi))
		k.expectEqual(2, hi.V, "v")
	}},
	{"hello-producer", "a HELLO without a wid makes a producer", func(k *faktoryEnv) { k.push(k.dialProducer(), k.newJob(nil)) }},
	{"hello-all-fields", "a HELLO may carry hostname, wid, pid, labels and v", func(k *faktoryEnv) { k.expectNoJob(k.dialWorker()) }},
	{"hello-first", "a command before HELLO is an error and ends the connection", func(k *faktoryEnv) {
		c := k.trackConn(client.Open(k.Address, client.Options{}))
		k.expectError(c, "INFO", "")
		k.expectClosed(c)
	}},
	{"hello-version", "a HELLO of another version is an error", func(k *faktoryEnv) {
		k.expectError(k.trackConn(client.Open(k.Address, client.Options{})), "HELLO", `{"v":99}`)
	}},
	{"hello-malformed", "a HELLO that is no object is an error", func(k *faktoryEnv) {
		k.expectError(k.trackConn(client.Open(k.Address, client.Options{})), "HELLO", `{`)
	}},
	{"password", "where the greeting has a salt, a wrong hash is an error and a right one is not", func(k *faktoryEnv) {
		c := k.trackConn(client.Open(k.Address, client.Options{}))
		if k.Password == "" {
			if contains(c.Greeting, `"s"`) {
				k.fail("the server asks for a password and none was given")
			}
			return
		}
		k.expectError(c, "HELLO", `{"v":2,"pwdhash":"00"}`)
		k.dialProducer()
	}},
	{"unknown-verb", "a verb that is not known is an error, and the session goes on", func(k *faktoryEnv) {
		c := k.dialProducer()
		k.expectError(c, "JUGGLE", "{}")
		k.push(c, k.newJob(nil))
	}},
	{"end", "END closes the connection", func(k *faktoryEnv) {
		c := k.dialProducer()
		k.must(c.Send("END", ""))
		k.expectClosed(c)
	}},
	{"pipelining", "commands sent without waiting are answered in their order", func(k *faktoryEnv) {
		c := k.dialProducer()
		text := ""
		for i := range 20 {
			j, _ := json.Marshal(k.newJob(nil))
			if text += "PUSH " + string(j) + "\r\n"; i%5 == 4 {
				text += "NONSENSE\r\n"
			}
		}
		_, err := io.WriteString(c, text)
		k.must(err)
		for i := range 24 {
			r, err := c.Read()
			k.must(err)
			k.expectEqual(i%6 != 5, r.IsOK(), fmt.Sprint("reply ", i))
		}
	}},
	{"in-pieces", "a command may come byte by byte", func(k *faktoryEnv) {
		c := k.dialProducer()
		j := k.newJob(nil)
		text, _ := json.Marshal(j)
		for _, b := range []byte("PUSH " + string(text) + "\r\n") {
			_, err := c.Write([]byte{b})
			k.must(err)
		}
		r, err := c.Read()
		k.must(err)
		k.expectEqual(true, r.IsOK(), "PUSH")
		k.expectEqual(j.JID, k.fetch(k.dialWorker()).JID, "the job")
	}},
}
