package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/faktory"
)

// Faktory is a client or worker of the Faktory work protocol, written from its public specification. Its methods fail the
// test on a malformed reply.
type Faktory struct {
	*RawConn
	HandshakeReply string // the reply to HELLO
}

// NewFaktory connects and sends HELLO; a non-empty wid makes the connection a worker's.
func NewFaktory(t *testing.T, address, wid, password string) *Faktory {
	f := &Faktory{RawConn: Dial(t, address)}
	f.HandshakeReply = f.Reply()
	hello := map[string]any{"v": 2, "hostname": "here", "pid": 1, "labels": []string{"test"}}
	if wid != "" {
		hello["wid"] = wid
	}
	var greeting struct {
		S string `json:"s"`
		I int    `json:"i"`
	}
	require.NoError(t, json.Unmarshal([]byte(strings.TrimPrefix(f.HandshakeReply, "HI ")), &greeting))
	if greeting.S != "" {
		hello["pwdhash"] = faktory.PasswordHash(password, greeting.S, greeting.I)
	}
	text, _ := json.Marshal(hello)
	f.HandshakeReply = f.Do("HELLO", string(text))
	return f
}

// Reply reads one reply. It returns the text of a simple string or bulk string, "(none)" for the null string, an error
// with its leading "-", and "(closed)" at the end of the connection.
func (f *Faktory) Reply() string {
	line, err := f.Reader.ReadString('\n')
	if err != nil {
		return "(closed)"
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch line[0] {
	case '+':
		return line[1:]
	case '$':
		n, err := strconv.Atoi(line[1:])
		require.NoError(f.T, err)
		if n < 0 {
			return "(none)"
		}
		data := make([]byte, n+2)
		_, err = io.ReadFull(f.Reader, data)
		require.NoError(f.T, err)
		return string(data[:n])
	}
	return line
}

// Do sends a command and reads its reply.
func (f *Faktory) Do(verb, arg string) string {
	f.Send(strings.TrimSpace(verb+" "+arg) + "\r\n")
	return f.Reply()
}

// Push pushes a job with leftMS milliseconds to its deadline and returns the reply.
func (f *Faktory) Push(jid, jobtype string, leftMS int) string {
	return f.Do("PUSH", fmt.Sprintf(`{"jid":%q,"jobtype":%q,"args":[1,"a"],"custom":{"time_left_ms":%d}}`, jid, jobtype, leftMS))
}

// Fetch sends one FETCH for the default queue and returns the job's ID and type. Without a job the ID is empty, and
// jobtype holds the reply's text.
func (f *Faktory) Fetch() (jid, jobtype string) {
	text := f.Do("FETCH", "default")
	var job struct{ JID, Jobtype string }
	if json.Unmarshal([]byte(text), &job) != nil {
		return "", text
	}
	return job.JID, job.Jobtype
}

// JobState returns the job's state as TRACK GET reports it.
func (f *Faktory) JobState(jid string) string {
	var track struct{ State string }
	require.NoError(f.T, json.Unmarshal([]byte(f.Do("TRACK", "GET "+jid)), &track))
	return track.State
}
