package faktory

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const longest = 128 << 10

func TestParseCommandAtEverySplit(t *testing.T) {
	for _, c := range []struct{ text, verb, arg, fault string }{
		{text: "INFO\r\n", verb: "INFO"},
		{text: "END\n", verb: "END"},
		{text: "FETCH a b\r\n", verb: "FETCH", arg: "a b"},
		{text: "PUSH {\"jid\":\"a b\"}\r\n", verb: "PUSH", arg: "{\"jid\":\"a b\"}"},
		{text: "\r\n"},
		{text: "*1\r\n$4\r\nINFO\r\n", verb: "INFO"},
		{text: "*3\r\n$5\r\nFETCH\r\n$1\r\na\r\n$1\r\nb\r\n", verb: "FETCH", arg: "a b"},
		{text: "*0\r\n", fault: "empty"},
		{text: "*x\r\n", fault: "malformed length"},
		{text: "*99\r\n", fault: "too long"},
		{text: "*1\r\n+INFO\r\n", fault: "malformed command"},
		{text: "*1\r\n$999999999\r\n", fault: "too long"},
		{text: "*1\r\n$2\r\nINFO\r\n", fault: "malformed bulk"},
		{text: "*" + strings.Repeat("1", 40), fault: "malformed length"},
		{text: strings.Repeat("x", longest+2), fault: "too long"},
	} {
		var got Command
		need, err := ParseCommand([]byte(c.text), &got, longest)
		if c.fault != "" {
			assert.ErrorContains(t, err, c.fault, c.text[:min(30, len(c.text))])
			continue
		}
		assert.NoError(t, err, c.text)
		assert.Zero(t, need, c.text)
		assert.Equal(t, c.verb, string(got.Verb), c.text)
		assert.Equal(t, c.arg, string(got.Arg), c.text)
		assert.Equal(t, len(c.text), got.Size)
		for i := range len(c.text) { // truncated at every byte
			need, err := ParseCommand([]byte(c.text[:i]), &got, longest)
			assert.NoError(t, err)
			assert.Greater(t, need, i, "%q is not whole", c.text[:i])
		}
		_, err = ParseCommand([]byte(c.text+"INFO\r\n"), &got, longest)
		assert.NoError(t, err)
		assert.Equal(t, len(c.text), got.Size)
	}
}

func TestRepliesStayOnOneLine(t *testing.T) {
	assert.Equal(t, "-ERR a  b\r\n", string(errorReply("a\r\nb")))
	assert.Equal(t, "$3\r\na\r\n\r\n", string(bulkReply([]byte("a\r\n"))))
}
