// Package wire is the codec of the simulator's protocol: it converts tab-separated lines, batches and settings to and from
// the types of package rules. Command wirehost uses it, and package config reads its settings with ParseSettings.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"cobaltflow/rules"
)

// EventType is the kind of an Event.
type EventType uint8

// The event types. Attach and Destroy start and end an instance; each other one is named after the Dispatcher's method
// that handles it.
const (
	Attach EventType = iota
	Destroy
	List
	Request
	Outcome
	Progress
	ClientDisconnected
	TimerDue
	Probed
	Streaming
	PeerMessage
)

// Event is one line of a batch. Instance and Type are always set, of the others only the fields of the type.
type Event struct {
	Type         EventType
	Instance     string          // the Dispatcher that the event is for
	Seed         uint64          // of Attach
	Settings     *rules.Settings // of Attach
	List         *rules.List
	Request      rules.Request
	Outcome      rules.Outcome // of Outcome; of Streaming only request, attempt, worker and latency
	Progress     rules.Progress
	Probed       rules.ProbeResult
	Disconnected rules.RequestID // of ClientDisconnected
	Token        uint64          // of TimerDue
	From         int             // of PeerMessage: the sender's rank
	Data         []byte          // of PeerMessage
}

// Batch holds the events between a CLOCK line, which gives their time, and the next COMMIT.
type Batch struct {
	Now    rules.Time
	Events []Event
}

// Decoder reads batches from a stream.
type Decoder struct {
	in         *bufio.Reader
	line       int      // number of the last line read, from 1
	instance   string   // named by the last SELECT of the batch
	fields     []string // of the last line; reused
	lineBuffer []byte
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<18), fields: make([]string, 0, 64)}
}

// next returns the fields of the next line. They are valid until the next call.
func (d *Decoder) next() ([]string, error) {
	d.lineBuffer = d.lineBuffer[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		d.lineBuffer = append(d.lineBuffer, part...)
		if err == nil {
			break
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(d.lineBuffer) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	d.line++
	text := strings.TrimSuffix(string(d.lineBuffer[:len(d.lineBuffer)-1]), "\r")
	d.fields = d.fields[:0]
	for {
		i := strings.IndexByte(text, '\t')
		if i < 0 {
			d.fields = append(d.fields, text)
			return d.fields, nil
		}
		d.fields = append(d.fields, text[:i])
		text = text[i+1:]
	}
}

// Next reads one batch into b, whose events it overwrites. It returns io.EOF if the input ends between two batches. Any other
// error names the line and the fault.
func (d *Decoder) Next(b *Batch) error {
	err := d.batch(b)
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("line %d: input ends inside a batch", d.line+1)
	}
	return fmt.Errorf("line %d: %w", d.line, err)
}

func (d *Decoder) batch(b *Batch) error {
	b.Events = b.Events[:0]
	d.instance = ""
	f, err := d.next()
	for err == nil && len(f) == 1 && f[0] == "" { // blank lines may separate batches
		f, err = d.next()
	}
	if err != nil {
		return err
	}
	if f[0] != "CLOCK" || len(f) < 2 {
		return fmt.Errorf("a batch starts with CLOCK and a time, not %q", f[0])
	}
	if b.Now, err = parseInt(f[1]); err != nil {
		return fmt.Errorf("CLOCK: %w", err)
	}
	for {
		if f, err = d.next(); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if f[0] == "COMMIT" {
			return nil
		}
		if err = d.event(f, b); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return fmt.Errorf("%s: %w", f[0], err)
		}
	}
}

// lineReader reads the values of one line in order and keeps the first error. The text "-" stands for an absent value.
type lineReader struct {
	fields []string
	at     int // index of the last value read; field 0 is the event's name
	err    error
}

func (r *lineReader) text() string {
	r.at++
	if r.at >= len(r.fields) {
		if r.err == nil {
			r.err = fmt.Errorf("value %d is missing", r.at)
		}
		return "-"
	}
	return r.fields[r.at]
}

// id reads a value that must not be absent.
func (r *lineReader) id() string {
	s := r.text()
	if (s == "-" || s == "") && r.err == nil {
		r.err = fmt.Errorf("value %d is absent", r.at)
	}
	return s
}

func (r *lineReader) integer() int64 {
	s := r.text()
	if s == "-" {
		return 0
	}
	n, err := parseInt(s)
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("value %d: %w", r.at, err)
	}
	return n
}

func (r *lineReader) index() int {
	n := r.integer()
	if (n < 0 || n > math.MaxInt32) && r.err == nil {
		r.err = fmt.Errorf("value %d: %d is not an index", r.at, n)
		return 0
	}
	return int(n)
}

func (r *lineReader) number() float64 {
	s := r.text()
	if s == "-" {
		return 0
	}
	v, err := parseNumber(s)
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("value %d: %w", r.at, err)
	}
	return v
}

func (r *lineReader) flag() bool {
	switch s := r.text(); s {
	case "1":
		return true
	case "0", "-":
		return false
	default:
		if r.err == nil {
			r.err = fmt.Errorf("value %d: %q is neither 0 nor 1", r.at, s)
		}
		return false
	}
}

var statusesByName = map[string]rules.Status{
	"done": rules.OK, "err": rules.Error, "busy": rules.Refused, "etimedout": rules.TimedOut,
	"econnrefused": rules.Unreachable, "econnreset": rules.Reset, "ecanceled": rules.Cancelled,
	"skipped": rules.NotSent,
}

// status reads the name of an attempt's status; unknown names are rules.Unknown.
func (r *lineReader) status() rules.Status {
	s, known := statusesByName[r.id()]
	if !known {
		return rules.Unknown
	}
	return s
}

// load reads a load report, written as name:value pairs with commas between them. Unknown names are skipped.
func (r *lineReader) load() (l rules.Load) {
	text := r.text()
	if text == "-" || text == "" {
		return l
	}
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, ok := strings.Cut(pair, ":")
		v, err := parseNumber(value)
		if !ok || err != nil {
			if r.err == nil {
				r.err = fmt.Errorf("value %d: %q is not a load value", r.at, pair)
			}
			return l
		}
		switch name {
		case "waiting":
			l.Queue, l.Has = v, l.Has|rules.HasQueue
		case "active":
			l.InFlight, l.Has = v, l.Has|rules.HasInFlight
		case "cpu":
			l.Util, l.Has = v, l.Has|rules.HasUtil
		case "x0":
			l.FreeSlots, l.Has = v, l.Has|rules.HasFreeSlots
		case "x1":
			l.FreeMem, l.Has = v, l.Has|rules.HasFreeMem
		}
	}
	return l
}

// event appends the event of a line to the batch, or handles a SELECT.
func (d *Decoder) event(f []string, b *Batch) error {
	r := lineReader{fields: f}
	e := Event{Instance: d.instance}
	switch f[0] {
	case "SELECT":
		d.instance = r.id()
		return r.err
	case "ATTACH":
		e.Type = Attach
		seed := r.integer()
		e.Seed = uint64(seed)
		if r.err == nil {
			s, err := ParseSettings(f[2:])
			if err != nil {
				return err
			}
			e.Settings = &s
		}
	case "DESTROY":
		e.Type = Destroy
	case "VIEW":
		e.Type = List
		l, err := d.view(&r)
		if err != nil {
			return err
		}
		e.List = l
	case "ORDER":
		e.Type = Request
		q := &e.Request
		q.ID = rules.RequestID(r.id())
		q.Class = r.index()
		q.Tenant = r.index()
		key := r.text()
		if key != "-" {
			k, err := strconv.ParseUint(key, 10, 64)
			if err != nil {
				return fmt.Errorf("value %d: %q is not a key", r.at, key)
			}
			q.Key, q.HasKey = k, true
		}
		q.Deadline = r.integer()
		q.Hint = r.integer()
		q.Slots = r.number()
		q.Memory = r.number()
	case "RESPONSE":
		e.Type = Outcome
		o := &e.Outcome
		o.Request = rules.RequestID(r.id())
		o.Attempt = r.index()
		o.Worker = rules.WorkerID(r.id())
		o.Status = r.status()
		o.Latency = r.integer()
		o.Closed = r.flag()
		r.text()
		o.Load = r.load()
	case "FLOWING":
		e.Type = Streaming
		o := &e.Outcome
		o.Request = rules.RequestID(r.id())
		o.Attempt = r.index()
		o.Worker = rules.WorkerID(r.id())
		o.Latency = r.integer()
	case "HEARTBEAT":
		e.Type = Progress
		p := &e.Progress
		p.Request = rules.RequestID(r.id())
		p.Attempt = r.index()
		p.Worker = rules.WorkerID(r.id())
		kind, value := r.index(), r.number()
		switch kind {
		case 1:
			p.Started = true
		case 2:
			p.FractionDone = value
		default:
			return r.err // an unknown kind of progress is skipped
		}
	case "HANGUP":
		e.Type = ClientDisconnected
		e.Disconnected = rules.RequestID(r.id())
	case "TICK_DUE":
		e.Type = TimerDue
		e.Token = uint64(r.integer())
	case "STATUS_BACK":
		e.Type = Probed
		p := &e.Probed
		p.Worker = rules.WorkerID(r.id())
		p.Status = r.status()
		p.Latency = r.integer()
		p.Load = r.load()
	case "DATAGRAM":
		e.Type = PeerMessage
		e.From = r.index()
		data, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(r.text(), "-"))
		if err != nil {
			return fmt.Errorf("value %d: %w", r.at, err)
		}
		e.Data = data
	default:
		return nil // events that are unknown or not needed are skipped
	}
	if r.err == nil && e.Instance == "" {
		return errors.New("no SELECT before it")
	}
	b.Events = append(b.Events, e)
	return r.err
}

var statesByName = map[string]rules.WorkerState{
	"ready": rules.Ready, "draining": rules.Draining, "gone": rules.Gone,
}

// view reads a worker list: the rest of the VIEW line and the M lines that follow it.
func (d *Decoder) view(r *lineReader) (*rules.List, error) {
	r.integer()
	form, n := r.id(), r.index()
	if r.err != nil {
		return nil, r.err
	}
	l := &rules.List{}
	switch form {
	case "diff":
		l.Form = rules.ListDelta
	case "snapshot":
		l.Form = rules.ListFull
	case "disk":
		l.Form = rules.ListCached
	case "error":
		l.Form = rules.ListFailed
	default:
		return nil, fmt.Errorf("%q is not a list form", form)
	}
	for range n {
		f, err := d.next()
		if err != nil {
			return nil, err
		}
		if f[0] != "M" {
			return nil, fmt.Errorf("%d entries announced, then %q", n, f[0])
		}
		m := lineReader{fields: f}
		e := rules.ListEntry{Worker: rules.WorkerID(m.id()), Zone: m.index(), Kind: m.index(), Cell: m.index()}
		state, known := statesByName[m.id()]
		if !known {
			state = rules.Draining // unknown state: no new jobs are sent there
		}
		e.State, e.Weight, e.StartedAt = state, m.number(), m.integer()
		if m.err != nil {
			return nil, m.err
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

func parseInt(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err == nil {
		return n, nil
	}
	return 0, fmt.Errorf("%q is not a whole number", s)
}

func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("%q is not a number", s)
	}
	return v, nil
}
