package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
)

// Line is the result of decoding one line of a watch, or a list that is indented over several lines. For an empty line, which
// discovery sends as a heartbeat, both fields are nil.
type Line struct {
	Update *Update
	Err    error
}

// Decoder decodes lists that arrive in pieces of any size, entry by entry. It holds the decoded entries of the current list,
// the text of the list's other fields, and the text of the current entry. A list is passed on when it is complete, or as an
// error if it is malformed.
type Decoder struct {
	mapping    Mapping
	limits     Limits
	onLine     func(Line)
	singleList bool // the whole text is one list: line ends do not separate lists

	update           Update        // the current list, with the entries decoded so far
	memoryBytes      int           // estimated memory of these entries
	err              error         // first fault of the current list
	fields           []byte        // text of the current list outside its entries
	hasInput         bool          // a list or line has begun
	depth            int           // open brackets and braces
	inString         bool          // within a JSON string
	escaped          bool          // after a backslash in a string
	lastByte         byte          // last byte that is not white space
	firstLine        bool          // no line of the current list has ended yet
	blankLine        bool          // the current line is blank so far
	inEndpoints      bool          // within the endpoints array
	arrays           int           // endpoints arrays that have begun
	afterComma       bool          // the last entry of the array was followed by a comma, which requires another entry
	entry            region        // text of the current entry
	decodedEntry     endpoint      // the entry being decoded, here to be reused
	nextList         region        // text of an object that begins a line and may be another list
	decodedEndpoints atomic.Uint64 // entries decoded so far, of all lists
}

// NewDecoder creates a decoder of the lines of a watch. onLine is called, within Decode, with the result of each line.
func NewDecoder(mapping Mapping, limits Limits, onLine func(Line)) *Decoder {
	d := &Decoder{mapping: mapping, limits: limits, onLine: onLine}
	d.reset()
	return d
}

// IsPartial reports whether a list or line has begun and its end has not been read yet.
func (d *Decoder) IsPartial() bool { return d.hasInput }

// DecodedEndpoints returns the number of entries that have been decoded, of all lists. It may be called from any goroutine,
// also during Decode, to observe the progress of a long list.
func (d *Decoder) DecodedEndpoints() uint64 { return d.decodedEndpoints.Load() }

// Decode decodes the next piece. Its error is a *LimitError, after which the decoder can't be used any more. An incomplete
// list is abandoned at an empty line, which an indented list never contains, or at another list that can't be part of it.
func (d *Decoder) Decode(piece []byte) error {
	for pos, c := range piece {
		if d.nextList.open && c != '\n' && d.nextList.size(pos) >= d.limits.EntryBytes {
			if err := d.handleLongObject(piece, pos); err != nil {
				return err
			}
		}
		switch {
		case d.singleList:
		case c == '\n' && (d.depth == 0 || d.blankLine):
			d.end()
			continue
		case c == '{' && d.depth > 0 && !d.mayContainObject():
			d.end()
		case c == '\n' && d.nextList.open:
			if text := d.nextList.end(piece, pos); isList(text) {
				if err := d.restartFrom(text, pos); err != nil {
					return err
				}
				d.end()
				continue
			}
		}
		if err := d.step(c, piece, pos); err != nil {
			return err
		}
	}
	d.entry.retain(piece)
	d.nextList.retain(piece)
	return nil
}

// end passes on the current list or line and resets the decoder for the next one.
func (d *Decoder) end() {
	var line Line
	text := trimSpace(d.fields)
	switch {
	case len(text) == 0: // heartbeat
	case d.err != nil:
		line.Err = d.err
	case d.depth > 0:
		line.Err = errors.New("the list is incomplete")
	default:
		line.Update, line.Err = d.buildUpdate(text)
	}
	d.reset()
	d.onLine(line)
}

// buildUpdate returns the list made of the decoded entries and the text of the other fields.
func (d *Decoder) buildUpdate(text []byte) (*Update, error) {
	var fields listFields
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	if fields.Index == nil {
		return nil, errNoIndex
	}
	if d.arrays > 1 || d.arrays == 1 && (fields.Endpoints == nil || len(fields.Endpoints) > 0) {
		return nil, errors.New("duplicate endpoints")
	}
	for i := range fields.Endpoints { // the key was spelled in a way that endsWithKey does not match
		if err := d.update.appendEndpoint(&fields.Endpoints[i], d.mapping); err != nil {
			return nil, err
		}
	}
	list := d.update
	list.Version, list.IsSnapshot = *fields.Index, fields.Snapshot
	return &list, nil
}

func (d *Decoder) reset() {
	d.update, d.memoryBytes, d.err, d.fields = Update{}, 0, nil, d.fields[:0]
	d.hasInput, d.depth, d.inString, d.escaped, d.lastByte = false, 0, false, false, 0
	d.firstLine, d.blankLine = true, true
	d.inEndpoints, d.arrays, d.afterComma = false, 0, false
	d.entry.open, d.nextList.open = false, false
}

// mayContainObject reports whether an object at the current position can be part of the current list.
func (d *Decoder) mayContainObject() bool {
	return d.inString || d.lastByte == '[' || d.lastByte == ',' || d.lastByte == ':'
}

// step processes one byte of the current list.
func (d *Decoder) step(c byte, piece []byte, pos int) error {
	d.hasInput = true
	if c == '\n' { // a JSON string can't contain a bare line feed
		d.firstLine, d.blankLine, d.inString, d.escaped = false, true, false, false
	}
	isBlank := isSpace(c)
	if !isBlank {
		if d.blankLine && !d.firstLine && !d.singleList && c == '{' {
			d.nextList.begin(pos)
		}
		d.blankLine, d.lastByte = false, c
	}
	if !d.inEndpoints {
		return d.stepOutsideEntry(c)
	}
	if d.depth == 2 && !d.inString && (c == ',' || c == ']' || c == '}') {
		if err := d.endEntry(c, piece, pos); err != nil || c == ',' {
			return err
		}
		d.inEndpoints = false
		return d.stepOutsideEntry(c)
	}
	if !d.entry.open && !isBlank {
		d.entry.begin(pos)
	}
	if d.entry.open && d.entry.size(pos) >= d.limits.EntryBytes {
		return &LimitError{len(d.update.Workers) + 1, "an entry", d.limits.EntryBytes, "bytes"}
	}
	d.trackNesting(c)
	return nil
}

// stepOutsideEntry processes a byte outside the entries.
func (d *Decoder) stepOutsideEntry(c byte) error {
	if len(d.fields) >= d.limits.FieldsBytes {
		return &LimitError{0, "its text", d.limits.FieldsBytes, "bytes"}
	}
	if c == '[' && d.depth == 1 && !d.inString && endsWithKey(d.fields, "endpoints") {
		d.inEndpoints, d.afterComma = true, false
		d.arrays++
	}
	d.fields = append(d.fields, c)
	d.trackNesting(c)
	return nil
}

// trackNesting tracks strings and brackets.
func (d *Decoder) trackNesting(c byte) {
	switch {
	case d.escaped:
		d.escaped = false
	case d.inString && c == '\\':
		d.escaped = true
	case c == '"':
		d.inString = !d.inString
	case d.inString:
	case c == '{' || c == '[':
		d.depth++
	case (c == '}' || c == ']') && d.depth > 0:
		d.depth--
	}
}

// endEntry decodes the entry that ends before pos, where c is a comma or the end of the array.
func (d *Decoder) endEntry(c byte, piece []byte, pos int) error {
	missing := c == ',' || d.afterComma
	d.afterComma = c == ','
	if !d.entry.open {
		if missing && d.err == nil {
			d.err = fmt.Errorf("endpoint %d is missing", len(d.update.Workers)+1)
		}
		return nil
	}
	text := d.entry.end(piece, pos)
	if d.err != nil {
		return nil // a list with a fault is dropped as a whole
	}
	number := len(d.update.Workers) + 1
	if number > d.limits.Endpoints {
		return &LimitError{number, "the list", d.limits.Endpoints, "endpoints"}
	}
	e := &d.decodedEntry
	*e = endpoint{}
	if err := json.Unmarshal(text, e); err != nil {
		d.err = fmt.Errorf("endpoint %d: %w", number, err)
		return nil
	}
	if d.memoryBytes += endpointOverheadBytes + len(e.Name) + len(e.Address); d.memoryBytes > d.limits.ListBytes {
		return &LimitError{number, "the decoded list", d.limits.ListBytes, "bytes"}
	}
	d.err = d.update.appendEndpoint(e, d.mapping)
	d.decodedEndpoints.Add(1)
	return nil
}

// restartFrom abandons the current list and decodes the text, which ends before pos, as the beginning of another.
func (d *Decoder) restartFrom(text []byte, pos int) error {
	d.end()
	err := d.Decode(text)
	d.entry.start = pos // the nested Decode counted from the start of text, not of the current piece
	return err
}

// handleLongObject handles an object at the start of a line that is too long for an entry: if it contains endpoints, it is
// the beginning of another list.
func (d *Decoder) handleLongObject(piece []byte, pos int) error {
	text := d.nextList.end(piece, pos)
	if !bytes.Contains(text, endpointsKey) {
		return nil
	}
	return d.restartFrom(text, pos)
}

var endpointsKey = []byte(`"endpoints"`)

// isList reports whether a line within an incomplete list is a complete list itself. A line of an indented list holds one
// entry at most, and so no endpoints.
func isList(line []byte) bool {
	line = trimSpace(line)
	return line[len(line)-1] == '}' && bytes.Contains(line, endpointsKey) && json.Valid(line)
}

// endsWithKey reports whether a text ends with the given key of an object and its colon.
func endsWithKey(text []byte, key string) bool {
	text, colon := bytes.CutSuffix(trimSpace(text), []byte{':'})
	before, named := bytes.CutSuffix(trimSpace(text), []byte(`"`+key+`"`))
	before = trimSpace(before)
	return colon && named && len(before) > 0 && (before[len(before)-1] == '{' || before[len(before)-1] == ',')
}

// isSpace reports whether c is JSON white space.
func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// trimSpace removes JSON white space at both ends.
func trimSpace(text []byte) []byte { return bytes.Trim(text, " \t\r\n") }
