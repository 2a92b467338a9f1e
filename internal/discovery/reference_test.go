package discovery

import (
	"bytes"
	"encoding/json"
)

// The decoder is held to this: the text is put together, split into lists, and each is read whole by json.Unmarshal.

// reference reads a text whole.
func reference(text []byte, format Mapping) (out []Line) {
	var l referenceLines
	l.Take(text, func(line []byte) {
		var read Line
		if len(line) > 0 {
			read.Update, read.Err = ParseList(line, format)
		}
		out = append(out, read)
	})
	return out
}

// referenceLines takes what a watch sends apart: one list a line, which may come indented over several, and empty lines.
type referenceLines struct {
	text    []byte // what has come of a list or line
	at      int    // so much of it has been looked at
	depth   int    // brackets that are open there
	quoted  bool   // it is within a string
	escaped bool   // behind a backslash of one
}

// Take adds what has come and gives each whole list, or line that holds none, trimmed, to each. A list that never ends
// is given up where an empty line follows, which no indented one holds, or another list that can't be a part of it: it
// goes out as it is, to be found bad.
func (l *referenceLines) Take(data []byte, each func(line []byte)) {
	l.text = append(l.text, data...)
	cut := func(end int) {
		each(trimSpace(bytes.Clone(l.text[:end])))
		l.text = l.text[:copy(l.text, l.text[end:])]
		l.at, l.depth, l.quoted, l.escaped = 0, 0, false, false
	}
	for l.at < len(l.text) {
		c := l.text[l.at]
		switch {
		case c == '\n' && (l.depth == 0 || l.blank(l.at)): // no string holds a bare line feed
			cut(l.at + 1)
			continue
		case c == '{' && l.depth > 0 && !l.follows():
			cut(l.at)
			continue
		case c == '\n' && l.whole(l.at): // and what is before it never ended
			cut(l.begins(l.at))
			continue
		case c == '\n':
			l.quoted, l.escaped = false, false
		case l.escaped:
			l.escaped = false
		case l.quoted && c == '\\':
			l.escaped = true
		case c == '"':
			l.quoted = !l.quoted
		case l.quoted:
		case c == '{' || c == '[':
			l.depth++
		case (c == '}' || c == ']') && l.depth > 0:
			l.depth--
		}
		l.at++
	}
}

// begins is where the line that ends at a place begins.
func (l *referenceLines) begins(at int) int { return bytes.LastIndexByte(l.text[:at], '\n') + 1 }

// blank tells whether the line that ends at a place holds nothing.
func (l *referenceLines) blank(at int) bool { return len(trimSpace(l.text[l.begins(at):at])) == 0 }

// whole tells whether the line that ends at a place, but does not begin the text, is a list by itself. A line of an
// indented one may be an entry at the most.
func (l *referenceLines) whole(at int) bool {
	begins := l.begins(at)
	line := trimSpace(l.text[begins:at])
	return begins > 0 && line[0] == '{' && line[len(line)-1] == '}' && bytes.Contains(line, []byte(`"endpoints"`)) && json.Valid(line)
}

// follows tells whether an object at the present place can be a part of the list that is open.
func (l *referenceLines) follows() bool {
	if l.quoted {
		return true
	}
	before := bytes.TrimRight(l.text[:l.at], " \t\r\n")
	return len(before) > 0 && (before[len(before)-1] == '[' || before[len(before)-1] == ',' || before[len(before)-1] == ':')
}
