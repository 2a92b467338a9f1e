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
var faktoryCases = slices.Concat(sessionCases, pushCases, fetchCases, reportCases, scheduledCases, mutateCases, beatCases,
	infoCases, limitCases)

// sessionCases are greeting, HELLO and the form of commands.
var sessionCases = []faktoryCase{
	{"greeting", "the server speaks first: HI and an object with the protocol's version 2", func(k *fk) {
		c := k.add(client.Open(k.Address, client.Options{}))
		var hi struct{ V int }
		k.must(json.Unmarshal([]byte(c.Greeting), &hi))
		k.equal(2, hi.V, "v")
	}},
	{"hello-producer", "a HELLO without a wid makes a producer", func(k *fk) { k.push(k.producer(), k.job(nil)) }},
	{"hello-all-fields", "a HELLO may carry hostname, wid, pid, labels and v", func(k *fk) { k.none(k.worker()) }},
	{"hello-first", "a command before HELLO is an error and ends the connection", func(k *fk) {
		c := k.add(client.Open(k.Address, client.Options{}))
		k.errs(c, "INFO", "")
		k.closed(c)
	}},
	{"hello-version", "a HELLO of another version is an error", func(k *fk) {
		k.errs(k.add(client.Open(k.Address, client.Options{})), "HELLO", `{"v":99}`)
	}},
	{"hello-malformed", "a HELLO that is no object is an error", func(k *fk) {
		k.errs(k.add(client.Open(k.Address, client.Options{})), "HELLO", `{`)
	}},
	{"password", "where the greeting has a salt, a wrong hash is an error and a right one is not", func(k *fk) {
		c := k.add(client.Open(k.Address, client.Options{}))
		if k.Password == "" {
			if has(c.Greeting, `"s"`) {
				k.fail("the server asks for a password and none was given")
			}
			return
		}
		k.errs(c, "HELLO", `{"v":2,"pwdhash":"00"}`)
		k.producer()
	}},
	{"unknown-verb", "a verb that is not known is an error, and the session goes on", func(k *fk) {
		c := k.producer()
		k.errs(c, "JUGGLE", "{}")
		k.push(c, k.job(nil))
	}},
	{"end", "END closes the connection", func(k *fk) {
		c := k.producer()
		k.must(c.Send("END", ""))
		k.closed(c)
	}},
	{"pipelining", "commands sent without waiting are answered in their order", func(k *fk) {
		c := k.producer()
		text := ""
		for i := range 20 {
			j, _ := json.Marshal(k.job(nil))
			if text += "PUSH " + string(j) + "\r\n"; i%5 == 4 {
				text += "NONSENSE\r\n"
			}
		}
		_, err := io.WriteString(c, text)
		k.must(err)
		for i := range 24 {
			r, err := c.Read()
			k.must(err)
			k.equal(i%6 != 5, r.IsOK(), fmt.Sprint("reply ", i))
		}
	}},
	{"in-pieces", "a command may come byte by byte", func(k *fk) {
		c := k.producer()
		j := k.job(nil)
		text, _ := json.Marshal(j)
		for _, b := range []byte("PUSH " + string(text) + "\r\n") {
			_, err := c.Write([]byte{b})
			k.must(err)
		}
		r, err := c.Read()
		k.must(err)
		k.equal(true, r.IsOK(), "PUSH")
		k.equal(j.JID, k.fetch(k.worker()).JID, "the job")
	}},
}
