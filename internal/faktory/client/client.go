// Package client is a small client of the Faktory work protocol, written from its public description. The conformance
// suite, the demonstration and the measurements use it; it owns one connection and does not retry.
package client

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"cobaltflow/internal/faktory"
)

// Options are the settings of a connection.
type Options struct {
	WID      string // makes the connection a worker's; empty: a client that only pushes
	Password string
	PID      int
	Timeout  time.Duration // of the dial and of each reply; 0: 10 s
}

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	Reader   *bufio.Reader
	Greeting string // the JSON object of the server's HI
	timeout  time.Duration
}

// Reply is one reply of a server.
type Reply struct {
	Text   string // of a simple or bulk string
	IsNull bool   // the null bulk string
	Err    string // of an error reply, with its first word
}

// IsOK reports whether the reply is +OK.
func (r Reply) IsOK() bool { return r.Err == "" && !r.IsNull && r.Text == "OK" }

// ErrClosed says that the server closed the connection.
var ErrClosed = errors.New("the server closed the connection")

// Open connects and reads the greeting, without HELLO.
func Open(address string, o Options) (*Conn, error) {
	if o.Timeout == 0 {
		o.Timeout = 10 * time.Second
	}
	nc, err := net.DialTimeout("tcp", address, o.Timeout)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, Reader: bufio.NewReaderSize(nc, 16<<10), timeout: o.Timeout}
	hi, err := c.Read()
	if err != nil {
		nc.Close()
		return nil, err
	}
	if c.Greeting = strings.TrimPrefix(hi.Text, "HI "); c.Greeting == hi.Text {
		nc.Close()
		return nil, fmt.Errorf("unexpected greeting %q%s", hi.Text, hi.Err)
	}
	return c, nil
}

// Dial connects and sends HELLO.
func Dial(address string, o Options) (*Conn, error) {
	c, err := Open(address, o)
	if err != nil {
		return nil, err
	}
	hello := map[string]any{"v": 2, "hostname": "cobaltflow", "pid": max(1, o.PID), "labels": []string{"cobaltflow"}}
	if o.WID != "" {
		hello["wid"] = o.WID
	}
	var hi struct {
		Salt   string `json:"s"`
		Rounds int    `json:"i"`
	}
	if err := json.Unmarshal([]byte(c.Greeting), &hi); err != nil {
		c.Close()
		return nil, fmt.Errorf("malformed greeting %q", c.Greeting)
	}
	if hi.Salt != "" {
		hello["pwdhash"] = faktory.PasswordHash(o.Password, hi.Salt, hi.Rounds)
	}
	r, err := c.DoJSON("HELLO", hello)
	if err == nil && !r.IsOK() {
		err = fmt.Errorf("HELLO: %s%s", r.Text, r.Err)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Do sends a command as a line and reads its reply.
func (c *Conn) Do(verb, arg string) (Reply, error) {
	if err := c.Send(verb, arg); err != nil {
		return Reply{}, err
	}
	return c.Read()
}

// DoJSON sends a command whose argument is arg as JSON.
func (c *Conn) DoJSON(verb string, arg any) (Reply, error) {
	text, err := json.Marshal(arg)
	if err != nil {
		return Reply{}, err
	}
	return c.Do(verb, string(text))
}

// Send sends a command as a line.
func (c *Conn) Send(verb, arg string) error {
	line := verb + "\r\n"
	if arg != "" {
		line = verb + " " + arg + "\r\n"
	}
	_, err := io.WriteString(c.Conn, line)
	return err
}

// Read reads one reply, within the timeout of the options.
func (c *Conn) Read() (Reply, error) {
	c.SetReadDeadline(time.Now().Add(c.timeout))
	line, err := c.Reader.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		return Reply{}, ErrClosed
	}
	if err != nil {
		return Reply{}, err
	}
	line = line[:max(0, len(line)-2)]
	if len(line) == 0 {
		return Reply{}, errors.New("empty reply")
	}
	switch line[0] {
	case '+':
		return Reply{Text: string(line[1:])}, nil
	case '-':
		return Reply{Err: string(line[1:])}, nil
	case '$':
		n, err := strconv.Atoi(string(line[1:]))
		if err != nil {
			return Reply{}, fmt.Errorf("invalid bulk string length %q", line[1:])
		}
		if n < 0 {
			return Reply{IsNull: true}, nil
		}
		data := make([]byte, n+2)
		if _, err := io.ReadFull(c.Reader, data); err != nil {
			return Reply{}, err
		}
		if data[n] != '\r' || data[n+1] != '\n' {
			return Reply{}, errors.New("bulk string without CRLF at its end")
		}
		return Reply{Text: string(data[:n])}, nil
	}
	return Reply{}, fmt.Errorf("unknown reply type %q", line[0])
}

// Job is a job as it is pushed or fetched.
type Job struct {
	JID        string         `json:"jid"`
	Type       string         `json:"jobtype"`
	Args       []any          `json:"args"`
	Queue      string         `json:"queue,omitempty"`
	At         string         `json:"at,omitempty"`
	Retry      *int           `json:"retry,omitempty"`
	ReserveFor int            `json:"reserve_for,omitempty"`
	Priority   int            `json:"priority,omitempty"`
	Backtrace  int            `json:"backtrace,omitempty"`
	Custom     map[string]any `json:"custom,omitempty"`
	Failure    *Failure       `json:"failure,omitempty"`
}

// Failure is the failure object of a job that has failed before.
type Failure struct {
	RetryCount int      `json:"retry_count"`
	FailedAt   string   `json:"failed_at"`
	Message    string   `json:"message"`
	Type       string   `json:"errtype"`
	Backtrace  []string `json:"backtrace"`
}

// Push pushes a job; a reply other than OK is an error.
func (c *Conn) Push(j Job) error {
	r, err := c.DoJSON("PUSH", j)
	if err == nil && !r.IsOK() {
		err = errors.New(r.Err + r.Text)
	}
	return err
}

// Fetch fetches from queues, in their order; nil: no job came within the server's timeout.
func (c *Conn) Fetch(queues ...string) (*Job, error) {
	r, err := c.Do("FETCH", strings.Join(queues, " "))
	if err != nil || r.IsNull {
		return nil, err
	}
	if r.Err != "" {
		return nil, errors.New(r.Err)
	}
	var j Job
	if err := json.Unmarshal([]byte(r.Text), &j); err != nil {
		return nil, err
	}
	return &j, nil
}

// Ack reports that a job is done.
func (c *Conn) Ack(jid string) error { return c.report("ACK", map[string]any{"jid": jid}) }

// Fail reports that a job has failed.
func (c *Conn) Fail(jid, kind, message string, backtrace ...string) error {
	return c.report("FAIL", map[string]any{"jid": jid, "errtype": kind, "message": message, "backtrace": backtrace})
}

func (c *Conn) report(verb string, arg any) error {
	r, err := c.DoJSON(verb, arg)
	if err == nil && !r.IsOK() {
		err = errors.New(r.Err + r.Text)
	}
	return err
}

// Info returns the object of the reply to INFO.
func (c *Conn) Info() (map[string]any, error) {
	r, err := c.Do("INFO", "")
	if err != nil {
		return nil, err
	}
	out := map[string]any{}
	return out, json.Unmarshal([]byte(r.Text), &out)
}
