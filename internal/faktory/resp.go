package faktory

import (
	"bytes"
	"strconv"
	"strings"
)

// Command is one command of a client: a verb and its argument. The slices are parts of the parsed buffer; Size is the
// number of bytes it took.
type Command struct {
	Verb, Arg []byte
	Size      int
}

// CommandError describes a command that cannot be parsed; the session is closed.
type CommandError string

func (f CommandError) Error() string { return string(f) }

// ParseCommand parses the command at the start of buf, of at most maxBytes bytes. A need above zero is the number of
// bytes that buf must have before another call can succeed. Clients send commands as plain lines; RESP's array form,
// which a generic client of that protocol sends, is accepted as well.
func ParseCommand(buf []byte, c *Command, maxBytes int) (need int, err error) {
	*c = Command{}
	if len(buf) > 0 && buf[0] == '*' {
		return parseArray(buf, c, maxBytes)
	}
	line, at, need, err := readLine(buf, 0, maxBytes)
	if need > 0 || err != nil {
		return need, err
	}
	line = bytes.TrimSpace(line)
	verb, arg, _ := bytes.Cut(line, []byte(" "))
	c.Verb, c.Arg, c.Size = verb, bytes.TrimSpace(arg), at
	return 0, nil
}

// readLine returns the line that starts at from, without its line end, and the position after it.
func readLine(buf []byte, from, maxBytes int) (text []byte, at, need int, err error) {
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 {
		if len(buf)-from > maxBytes {
			return nil, 0, 0, CommandError("command too long")
		}
		return nil, 0, len(buf) + 1, nil
	}
	if i > maxBytes {
		return nil, 0, 0, CommandError("command too long")
	}
	return bytes.TrimSuffix(buf[from:from+i], []byte("\r")), from + i + 1, 0, nil
}

// parseArray parses a command in RESP's array form.
func parseArray(buf []byte, c *Command, maxBytes int) (need int, err error) {
	n, at, need, err := parseLength(buf, 0, '*', 64)
	if need > 0 || err != nil {
		return need, err
	}
	if n == 0 {
		return 0, CommandError("empty command")
	}
	var args [][]byte
	for range n {
		size, start, need, err := parseLength(buf, at, '$', maxBytes)
		if need > 0 || err != nil {
			return need, err
		}
		if start+size+2 > len(buf) {
			return start + size + 2, nil
		}
		if buf[start+size] != '\r' || buf[start+size+1] != '\n' {
			return 0, CommandError("malformed bulk string")
		}
		args = append(args, buf[start:start+size])
		if at = start + size + 2; at > maxBytes {
			return 0, CommandError("command too long")
		}
	}
	c.Verb, c.Size = args[0], at
	if len(args) == 2 {
		c.Arg = args[1]
	} else {
		c.Arg = bytes.Join(args[1:], []byte(" "))
	}
	return 0, nil
}

// parseLength parses a length such as "$12\r\n" that starts at from; kind is its first byte.
func parseLength(buf []byte, from int, kind byte, limit int) (n, at, need int, err error) {
	if from >= len(buf) {
		return 0, 0, len(buf) + 1, nil
	}
	if buf[from] != kind {
		return 0, 0, 0, CommandError("malformed command")
	}
	end := bytes.IndexByte(buf[from:min(len(buf), from+16)], '\n')
	if end < 0 {
		if len(buf)-from >= 16 {
			return 0, 0, 0, CommandError("malformed length")
		}
		return 0, 0, len(buf) + 1, nil
	}
	text := buf[from+1 : from+end]
	if len(text) < 2 || text[len(text)-1] != '\r' {
		return 0, 0, 0, CommandError("malformed length")
	}
	text = text[:len(text)-1]
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, 0, 0, CommandError("malformed length")
		}
		n = n*10 + int(c-'0')
	}
	if n > limit {
		return 0, 0, 0, CommandError("command too long")
	}
	return n, from + end + 1, 0, nil
}

// Replies of the server.

var lineReplacer = strings.NewReplacer("\r", " ", "\n", " ")

func simpleReply(text string) []byte { return []byte("+" + lineReplacer.Replace(text) + "\r\n") }

func errorReply(text string) []byte { return []byte("-ERR " + lineReplacer.Replace(text) + "\r\n") }

func bulkReply(data []byte) []byte {
	const framingBytes = 24
	b := append(make([]byte, 0, len(data)+framingBytes), '$')
	b = append(strconv.AppendInt(b, int64(len(data)), 10), "\r\n"...)
	return append(append(b, data...), "\r\n"...)
}

var (
	replyOK   = []byte("+OK\r\n")
	replyNull = []byte("$-1\r\n")
)
