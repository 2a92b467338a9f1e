package admin

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"cobaltflow/internal/core"
	"cobaltflow/internal/directive"
	"cobaltflow/internal/link"
)

// order is an operator's call that changes something.
type command struct {
	key    directive.Key
	on     bool
	okText string // the answer when it is in force
}

// directiveOf reads a call that changes something; ok is false for any other, and for one that names no known worker.
func (f *Front) parseCommand(method, path string) (o command, ok bool) {
	if method != "POST" {
		return command{}, false
	}
	switch path {
	case PathDrain:
		return command{directive.Drain, true, "draining: the clients are sent away\n"}, true
	case PathResume:
		return command{directive.Drain, false, "serving\n"}, true
	}
	rest, ok := strings.CutPrefix(path, PathWorkers)
	worker, verb, whole := strings.Cut(rest, "/")
	if !ok || !whole || worker == "" || !f.directives.IsKnownWorker(worker) {
		return command{}, false
	}
	switch verb {
	case "disable":
		return command{directive.WorkerDisabled(worker), true, "out of rotation: " + worker + "\n"}, true
	case "enable":
		return command{directive.WorkerDisabled(worker), false, "in rotation: " + worker + "\n"}, true
	}
	return command{}, false
}

// unknownWorker is the answer to a call on table workers that directiveOf did not take.
func (f *Front) unknownWorker(rest string) (int, string) {
	worker, verb, _ := strings.Cut(rest, "/")
	if worker == "" || verb != "disable" && verb != "enable" {
		return 404, "no such call: " + PathWorkers + rest + "; want " + PathWorkers + "ID/disable or /enable\n"
	}
	return 404, "no table worker " + worker + " is listed\n"
}

// tell has a directive put in force in every process of this scheduler, and answers then, or when the caller's time is
// nearly over.
func (f *Front) applyCommand(k *call, o command) {
	left := k.Opened + CallTimeout - answerMargin - f.loop.Now()
	f.directives.Change(o.key, o.on, time.Duration(left/core.Millisecond)*time.Millisecond, func(err error) {
		age := f.loop.Now() - k.Opened
		f.log.Info("admin: told", "key", string(o.key), "on", o.on, "out_of_rotation", f.core.WorkersOutOfRotation(), "after_ms",
			age/core.Millisecond, "error", err)
		if k.Ended || k.ClosedLocally || k.answered {
			return
		}
		switch {
		case err == nil:
			f.answer(k, link.Answered, 200, o.okText)
		case errors.Is(err, directive.ErrFull):
			f.answer(k, link.BadInput, 409, "no more than "+strconv.Itoa(MaxDisabledWorkers)+" table workers may be out by hand at once\n")
		default:
			f.answer(k, link.NoAnswer, 503, err.Error()+"; it goes on being tried\n")
		}
	})
}
