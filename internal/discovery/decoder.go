package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
)

// Line is what one line of a watch came to, or a list that was indented over several. Without update and error it was an
// empty line, which is a sign of life.
type Line struct {
	Update *Update
	Err    error
}

// Decoder takes lists apart that come in pieces of any size, entry by entry: it holds the decoded entries of the list
// that has begun, the text of its other fields, and of the entry that is coming. A list is given out when it is whole,
// or with an error when it is found not to be one.
type Decoder struct {
	mapping    Mapping
	limits     Limits
	onLine     func(Line)
	singleList bool // the whole text is one list: ends of lines mean nothing

	update           Update        // the entries so far
	memoryBytes      int           // of them, estimated, in bytes
	err              error         // the first that was found in the list
	fields           []byte        // the list's text without its entries
	hasInput         bool          // something of a list or line has come
	depth            int           // brackets that are open
	inString         bool          // within a string
	escaped          bool          // behind a backslash of one
	lastByte         byte          // the last byte that is no white space
	firstLine        bool          // no line of the list has ended yet
	blankLine        bool          // the present line holds nothing so far
	inEndpoints      bool          // within the array of endpoints
	arrays           int           // such arrays that have begun
	afterComma       bool          // in the array, a comma came last: another entry has to
	entry            region        // the entry that is coming
	decodedEntry     endpoint      // the entry that has come, while it is decoded
	nextList         region        // an object that begins a line, and may be a list by itself
	decodedEndpoints atomic.Uint64 // entries, of all lists
}

// NewDecoder makes a decoder of a watch's lines. each is called, within Decode, with what every one came to.
func NewDecoder(format Mapping, limits Limits, each func(Line)) *Decoder {
	d := &Decoder{mapping: format, limits: limits, onLine: each}
	d.reset()
	return d
}

// Partial tells whether a list or line has begun whose end has not come yet.
func (d *Decoder) IsPartial() bool { return d.hasInput }

// Decoded is the number of entries that have been decoded, of all lists. It may be called from any goroutine, also while
// Decode runs: it tells that a long list goes on.
func (d *Decoder) DecodedEndpoints() uint64 { return d.decodedEndpoints.Load() }

// Decode takes the next piece. Its error is a *LimitError, after which nothing more can be decoded. A list that never
// ends is given up where an empty line follows, which no indented one holds, or another list that can't be a part of it.
func (d *Decoder) Decode(piece []byte) error {
	for at, c := range piece {
		if d.nextList.open && c != '\n' && d.nextList.size(at) >= d.limits.EntryBytes {
			if err := d.handleLongObject(piece, at); err != nil {
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
			if text := d.nextList.end(piece, at); isList(text) {
				if err := d.restartFrom(text, at); err != nil {
					return err
				}
				d.end()
				continue
			}
		}
		if err := d.step(c, piece, at); err != nil {
			return err
		}
	}
	d.entry.retain(piece)
	d.nextList.retain(piece)
	return nil
}

// end gives out what has come as a list or line, and makes ready for the next.
func (d *Decoder) end() {
	var line Line
	text := trimSpace(d.fields)
	switch {
	case len(text) == 0: // an empty line
	case d.err != nil:
		line.Err = d.err
	case d.depth > 0:
		line.Err = errors.New("the list has no end")
	default:
		line.Update, line.Err = d.buildUpdate(text)
	}
	d.reset()
	d.onLine(line)
}

// finish puts the list together from its entries and the text of its other fields.
func (d *Decoder) buildUpdate(text []byte) (*Update, error) {
	var fields listFields
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	if fields.Index == nil {
		return nil, errNoIndex
	}
	if d.arrays > 1 || d.arrays == 1 && (fields.Endpoints == nil || len(fields.Endpoints) > 0) {
		return nil, errors.New("endpoints stands twice")
	}
	for i := range fields.Endpoints { // the key was written in another way
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

// mayHold tells whether an object at the present place can be a part of the list that is open.
func (d *Decoder) mayContainObject() bool {
	return d.inString || d.lastByte == '[' || d.lastByte == ',' || d.lastByte == ':'
}

// step takes one byte of the list that is open.
func (d *Decoder) step(c byte, piece []byte, at int) error {
	d.hasInput = true
	if c == '\n' { // no string holds a bare line feed
		d.firstLine, d.blankLine, d.inString, d.escaped = false, true, false, false
	}
	space := isSpace(c)
	if !space {
		if d.blankLine && !d.firstLine && !d.singleList && c == '{' {
			d.nextList.begin(at)
		}
		d.blankLine, d.lastByte = false, c
	}
	if !d.inEndpoints {
		return d.stepOutsideEntry(c)
	}
	if d.depth == 2 && !d.inString && (c == ',' || c == ']' || c == '}') {
		if err := d.endEntry(c, piece, at); err != nil || c == ',' {
			return err
		}
		d.inEndpoints = false
		return d.stepOutsideEntry(c)
	}
	if !d.entry.open && !space {
		d.entry.begin(at)
	}
	if d.entry.open && d.entry.size(at) >= d.limits.EntryBytes {
		return &LimitError{len(d.update.Workers) + 1, "an entry", d.limits.EntryBytes, "bytes"}
	}
	d.trackNesting(c)
	return nil
}

// outside takes a byte that belongs to no entry.
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

// nest follows strings and brackets.
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

// endEntry decodes the entry that ends before a place, where a comma or the end of the array stands.
func (d *Decoder) endEntry(c byte, piece []byte, at int) error {
	missing := c == ',' || d.afterComma
	d.afterComma = c == ','
	if !d.entry.open {
		if missing && d.err == nil {
			d.err = fmt.Errorf("endpoint %d is missing", len(d.update.Workers)+1)
		}
		return nil
	}
	text := d.entry.end(piece, at)
	if d.err != nil {
		return nil // nothing of the list is taken
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

// startAgain gives the open list up and takes the text, which ends at a place, for the beginning of another.
func (d *Decoder) restartFrom(text []byte, at int) error {
	d.end()
	err := d.Decode(text)
	d.entry.start = at // the text was not a part of the present piece to it
	return err
}

// longRestart has an object become longer than an entry may be. One that holds endpoints is taken for a list by itself.
func (d *Decoder) handleLongObject(piece []byte, at int) error {
	text := d.nextList.end(piece, at)
	if !bytes.Contains(text, endpointsKey) {
		return nil
	}
	return d.restartFrom(text, at)
}

var endpointsKey = []byte(`"endpoints"`)

// isList tells whether a line within another list is a list by itself. One of an indented list may be an entry at the
// most.
func isList(line []byte) bool {
	line = trimSpace(line)
	return line[len(line)-1] == '}' && bytes.Contains(line, endpointsKey) && json.Valid(line)
}

// endsWithKey tells whether a text ends with a key of an object and its colon.
func endsWithKey(text []byte, key string) bool {
	text, colon := bytes.CutSuffix(trimSpace(text), []byte{':'})
	before, named := bytes.CutSuffix(trimSpace(text), []byte(`"`+key+`"`))
	before = trimSpace(before)
	return colon && named && len(before) > 0 && (before[len(before)-1] == '{' || before[len(before)-1] == ',')
}

// isSpace tells of JSON's white space.
func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

func trimSpace(text []byte) []byte { return bytes.Trim(text, " \t\r\n") }
