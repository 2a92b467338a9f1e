package discovery

import (
	"bytes"
	"encoding/json"
)

// reference is the implementation that the decoder is compared with: it splits the complete text into lists and parses each
// with json.Unmarshal.
func reference(text []byte, mapping Mapping) (out []Line) {
	var l referenceLines
	l.Add(text, func(line []byte) {
		var read Line
		if len(line) > 0 {
			read.Update, read.Err = ParseList(line, mapping)
		}
		out = append(out, read)
	})
	return out
}

// referenceLines splits the text of a watch into lists, one per line or indented over several lines, and empty lines.
type referenceLines struct {
	text    []byte // of the current list or line
	pos     int    // bytes of text already examined
	depth   int    // open brackets and braces at pos
	quoted  bool   // pos is within a JSON string
	escaped bool   // after a backslash in a string
}

// Add appends data and passes each complete list or other line, trimmed, to onLine. An incomplete list is abandoned at an
// empty line, which an indented list never contains, or at another list that can't be part of it: it is passed on as it is,
// and fails to parse.
func (l *referenceLines) Add(data []byte, onLine func(line []byte)) {
	l.text = append(l.text, data...)
	cut := func(end int) {
		onLine(trimSpace(bytes.Clone(l.text[:end])))
		l.text = l.text[:copy(l.text, l.text[end:])]
		l.pos, l.depth, l.quoted, l.escaped = 0, 0, false, false
	}
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		switch {
		case c == '\n' && (l.depth == 0 || l.isBlank(l.pos)): // a JSON string can't contain a bare line feed
			cut(l.pos + 1)
			continue
		case c == '{' && l.depth > 0 && !l.mayContainObject():
			cut(l.pos)
			continue
		case c == '\n' && l.isList(l.pos): // the list before it is incomplete
			cut(l.lineStart(l.pos))
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
		l.pos++
	}
}

// lineStart returns the start of the line that ends at pos.
func (l *referenceLines) lineStart(pos int) int { return bytes.LastIndexByte(l.text[:pos], '\n') + 1 }

// isBlank reports whether the line that ends at pos is blank.
func (l *referenceLines) isBlank(pos int) bool {
	return len(trimSpace(l.text[l.lineStart(pos):pos])) == 0
}

// isList reports whether the line that ends at pos, and is not the first of the text, is a complete list itself. A line of an
// indented list holds one entry at most.
func (l *referenceLines) isList(pos int) bool {
	start := l.lineStart(pos)
	line := trimSpace(l.text[start:pos])
	return start > 0 && line[0] == '{' && line[len(line)-1] == '}' && bytes.Contains(line, []byte(`"endpoints"`)) && json.Valid(line)
}

// mayContainObject reports whether an object at the current position can be part of the current list.
func (l *referenceLines) mayContainObject() bool {
	if l.quoted {
		return true
	}
	before := bytes.TrimRight(l.text[:l.pos], " \t\r\n")
	return len(before) > 0 && (before[len(before)-1] == '[' || before[len(before)-1] == ',' || before[len(before)-1] == ':')
}
