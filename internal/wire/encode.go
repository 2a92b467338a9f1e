package wire

import (
	"bufio"
	"encoding/base64"
	"io"
	"strconv"
	"strings"

	"cobaltflow/rules"
)

// Encoder writes replies: the actions of each instance, then FINISHED. It implements rules.Actions for the instance that
// Select has named.
type Encoder struct {
	out            *bufio.Writer
	instance       string
	contextWritten bool   // whether the CONTEXT line of the instance has been written
	num            []byte // buffer of integer
}

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{out: bufio.NewWriterSize(w, 1<<16)} }

// Select sets the instance whose actions follow. An instance without actions does not appear in the reply.
func (e *Encoder) Select(instance string) {
	if instance != e.instance {
		e.instance, e.contextWritten = instance, false
	}
}

// Finish ends the reply and flushes it. It returns the first error of a write.
func (e *Encoder) Finish() error {
	e.instance, e.contextWritten = "", false
	e.out.WriteString("FINISHED\n")
	return e.out.Flush()
}

// begin starts the line of an action, after the CONTEXT line if that is due.
func (e *Encoder) begin(action string) {
	if !e.contextWritten {
		e.out.WriteString("CONTEXT\t")
		e.out.WriteString(e.instance)
		e.out.WriteByte('\n')
		e.contextWritten = true
	}
	e.out.WriteString(action)
}

func (e *Encoder) text(s string) {
	e.out.WriteByte('\t')
	e.out.WriteString(s)
}

func (e *Encoder) integer(n int64) {
	e.out.WriteByte('\t')
	e.num = strconv.AppendInt(e.num[:0], n, 10)
	e.out.Write(e.num)
}

func (e *Encoder) end() { e.out.WriteByte('\n') }

var _ rules.Actions = (*Encoder)(nil)

// Send implements rules.Actions.
func (e *Encoder) Send(r rules.RequestID, until rules.Time, w rules.WorkerID) {
	e.begin("CALL_OUT")
	e.text(string(r))
	e.integer(until)
	e.text(string(w))
	e.end()
}

// Cancel implements rules.Actions.
func (e *Encoder) Cancel(r rules.RequestID, attempt int) {
	e.begin("RETRACT")
	e.text(string(r))
	e.integer(int64(attempt))
	e.end()
}

// Refuse implements rules.Actions.
func (e *Encoder) Refuse(r rules.RequestID, retryAfter rules.Time, _ rules.Reason) {
	e.begin("REFUSE")
	e.text(string(r))
	e.integer(retryAfter)
	e.end()
}

// Fail implements rules.Actions.
func (e *Encoder) Fail(r rules.RequestID, _ rules.Reason) {
	e.begin("GIVE_UP")
	e.text(string(r))
	e.end()
}

// Timer implements rules.Actions.
func (e *Encoder) Timer(delay rules.Time, token uint64) {
	e.begin("REMIND")
	e.integer(delay)
	e.integer(int64(token))
	e.end()
}

// Probe implements rules.Actions.
func (e *Encoder) Probe(w rules.WorkerID) {
	e.begin("SAMPLE")
	e.text(string(w))
	e.end()
}

// Broadcast implements rules.Actions.
func (e *Encoder) Broadcast(data []byte) {
	e.begin("POST")
	e.text("*")
	e.text(base64.StdEncoding.EncodeToString(data))
	e.end()
}

// Watch implements rules.Actions.
func (e *Encoder) Watch(on bool) {
	if e.begin("TAIL"); on {
		e.text("1")
	} else {
		e.text("0")
	}
	e.end()
}

// Fetch implements rules.Actions.
func (e *Encoder) Fetch() {
	e.begin("GET_LIST")
	e.end()
}

var oneLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log implements rules.Actions.
func (e *Encoder) Log(text string) {
	e.begin("LOG")
	e.text(oneLine.Replace(text))
	e.end()
}

// Fault reports that the Dispatcher of the selected instance has failed.
func (e *Encoder) Fault(text string) {
	e.begin("BAIL_OUT")
	e.text(oneLine.Replace(text))
	e.end()
}
