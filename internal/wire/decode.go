// Package wire is the codec of the simulator's wire: tab-separated lines, batches and settings to
// and from the types of package rules. It decides nothing.
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

// EventType names the events of a batch.
type EventType uint8

// The events of the wire, in the words of package rules.
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

// Event is one line of a batch, with the instance it is for. Only the field of its type is set.
type Event struct {
	Type         EventType
	Instance     string
	Seed         uint64
	Settings     *rules.Settings
	List         *rules.List
	Request      rules.Request
	Outcome      rules.Outcome // also Streaming: request, attempt, worker, latency
	Progress     rules.Progress
	Probed       rules.ProbeResult
	Disconnected rules.RequestID
	Token        uint64
	From         int    // of Peer
	Data         []byte // of Peer
}

// Batch is what one CLOCK ... COMMIT holds.
type Batch struct {
	Now    rules.Time
	Events []Event
}

// Decoder reads batches.
type Decoder struct {
	in         *bufio.Reader
	line       int
	instance   string
	fields     []string
	lineBuffer []byte
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<18), fields: make([]string, 0, 64)}
}

// next gives the fields of the next line.
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

// Next reads one batch into b. It gives io.EOF where input ends between batches; any other error
// names the line and the fault.
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
	for err == nil && len(f) == 1 && f[0] == "" { // blank lines may part batches
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

// reader takes the values of one line in turn and keeps the first fault.
type lineReader struct {
	fields []string
	at     int
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

// id is a value that must be there.
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
		r.err = fmt.Errorf("value %d: %d is no index", r.at, n)
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

func (r *lineReader) status() rules.Status {
	s, known := statusesByName[r.id()]
	if !known {
		return rules.Unknown
	}
	return s
}

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
				r.err = fmt.Errorf("value %d: %q is no load figure", r.at, pair)
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
				return fmt.Errorf("value %d: %q is no key", r.at, key)
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
		n := &e.Progress
		n.Request = rules.RequestID(r.id())
		n.Attempt = r.index()
		n.Worker = rules.WorkerID(r.id())
		what, value := r.index(), r.number()
		switch what {
		case 1:
			n.Started = true
		case 2:
			n.FractionDone = value
		default:
			return r.err // a kind of note not known yet
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
		return nil // an event not known yet, or one that nothing here needs
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
		return nil, fmt.Errorf("%q is no form of a list", form)
	}
	for range n {
		f, err := d.next()
		if err != nil {
			return nil, err
		}
		if f[0] != "M" {
			return nil, fmt.Errorf("%d entries told, then %q", n, f[0])
		}
		m := lineReader{fields: f}
		e := rules.ListEntry{Worker: rules.WorkerID(m.id()), Zone: m.index(), Kind: m.index(), Cell: m.index()}
		state, known := statesByName[m.id()]
		if !known {
			state = rules.Draining // a phase not known yet: nothing new goes there
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
	return 0, fmt.Errorf("%q is no whole number", s)
}

func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("%q is no number", s)
	}
	return v, nil
}
