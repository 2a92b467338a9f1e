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

// command is an operator's request to change a directive.
type command struct {
	key    directive.Key
	on     bool
	okText string // body of the answer once the directive is in force
}

// parseCommand returns the command of a request; ok is false if the request is none, or names an unknown worker.
func (f *Front) parseCommand(method, path string) (cmd command, ok bool) {
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
	worker, verb, hasVerb := strings.Cut(rest, "/")
	if !ok || !hasVerb || worker == "" || !f.directives.IsKnownWorker(worker) {
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

// unknownWorker returns the status and body for a request below PathWorkers that parseCommand did not accept.
func (f *Front) unknownWorker(rest string) (int, string) {
	worker, verb, _ := strings.Cut(rest, "/")
	if worker == "" || verb != "disable" && verb != "enable" {
		return 404, "no such call: " + PathWorkers + rest + "; want " + PathWorkers + "ID/disable or /enable\n"
	}
	return 404, "no table worker " + worker + " is listed\n"
}

// applyCommand sets a directive, and answers when it is in force in every process of this scheduler, or shortly before the
// request times out.
func (f *Front) applyCommand(c *conn, cmd command) {
	timeLeft := c.Opened + RequestTimeout - answerMargin - f.loop.Now()
	f.directives.Change(cmd.key, cmd.on, time.Duration(timeLeft/core.Millisecond)*time.Millisecond, func(err error) {
		age := f.loop.Now() - c.Opened
		f.log.Info("admin: directive set", "key", string(cmd.key), "on", cmd.on, "out_of_rotation", f.core.WorkersOutOfRotation(), "after_ms",
			age/core.Millisecond, "error", err)
		if c.Ended || c.ClosedLocally || c.answered {
			return
		}
		switch {
		case err == nil:
			f.answer(c, link.Answered, 200, cmd.okText)
		case errors.Is(err, directive.ErrFull):
			f.answer(c, link.BadInput, 409, "no more than "+strconv.Itoa(MaxDisabledWorkers)+" table workers may be out by hand at once\n")
		default:
			f.answer(c, link.NoAnswer, 503, err.Error()+"; it goes on being tried\n")
		}
	})
}
