// Command wirehost runs Dispatchers of package rules for the simulator: it reads batches of events from standard input and
// writes the actions of each batch to standard output, in the simulator's protocol (package wire).
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"cobaltflow/internal/wire"
	"cobaltflow/rules"
)

func main() {
	debug.SetGCPercent(400) // the batches are short-lived: collect less often
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(out)
	instances := map[string]*rules.Dispatcher{}
	var b wire.Batch
	for {
		if err := dec.Next(&b); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		for i := range b.Events {
			enc.Select(b.Events[i].Instance)
			if text := apply(instances, enc, b.Now, &b.Events[i]); text != "" {
				enc.Fault(text)
				break
			}
		}
		if err := enc.Finish(); err != nil {
			return err
		}
	}
}

// apply hands one event to its instance. It returns the text of a panic of the Dispatcher, whose stack it writes to
// standard error; empty: there was none.
func apply(instances map[string]*rules.Dispatcher, enc *wire.Encoder, now rules.Time, e *wire.Event) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint("panic: ", r)
			fmt.Fprintf(os.Stderr, "wirehost: %s: %s\n%s", e.Instance, fault, debug.Stack())
		}
	}()
	switch e.Type {
	case wire.Attach:
		instances[e.Instance] = rules.New(*e.Settings, e.Seed, now, enc)
		return ""
	case wire.Destroy:
		delete(instances, e.Instance)
		return ""
	}
	d := instances[e.Instance]
	if d == nil {
		return "" // an event for an instance that is not running
	}
	switch e.Type {
	case wire.List:
		d.List(now, e.List)
	case wire.Request:
		d.Request(now, &e.Request)
	case wire.Outcome:
		d.Outcome(now, &e.Outcome)
	case wire.Progress:
		d.Progress(now, &e.Progress)
	case wire.ClientDisconnected:
		d.ClientDisconnected(now, e.Disconnected)
	case wire.TimerDue:
		d.TimerDue(now, e.Token)
	case wire.Probed:
		d.Probed(now, &e.Probed)
	case wire.PeerMessage:
		d.PeerMessage(now, e.From, e.Data)
	case wire.Streaming:
		d.Streaming(now, e.Outcome.Request, e.Outcome.Attempt)
	}
	return ""
}
