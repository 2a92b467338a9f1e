package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cobaltflow/internal/link"
)

// report logs the play's figures and, for each request with no answer or an error, what the processes' logs tell of its
// connection.
func (p *resetPlay) report() map[requestOutcome]int {
	outcomes, statuses, causes := map[requestOutcome]int{}, map[int]int{}, map[string]int{}
	for _, request := range p.requests {
		if request.outcome == outcomeKeptEnded && !p.wasClosedForShutdown(request) {
			request.outcome = outcomeEndOfFile
		}
		outcomes[request.outcome]++
		if request.outcome == outcomeAnswered {
			statuses[request.status]++
		}
		if request.outcome == outcomeAnswered && (request.status == 200 || request.status == 503) {
			continue
		}
		cause := p.cause(request)
		causes[fmt.Sprintf("%s %d: %s", request.outcome, request.status, cause)]++
		p.t.Logf("%s status=%d client=%s reused=%v connected=%s sent=%s ended=%s cause=%q error=%v", request.outcome, request.status,
			request.client, request.isReused, request.connected.UTC().Format(logTimeFormat), request.sent.UTC().Format(logTimeFormat),
			request.ended.UTC().Format(logTimeFormat), cause, request.err)
	}
	for number, process := range p.ended {
		p.t.Logf("old process %d: killed=%v took=%v killed_late=%v SIGTERM at %s\n%s", number, process.wasKilled,
			process.took.Round(time.Millisecond), process.killedLate.Round(time.Millisecond),
			process.terminated.UTC().Format(logTimeFormat), strings.Join(process.shutdownLines(), "\n"))
	}
	p.t.Logf("hold=%v upgrades=%d requests=%d outcomes=%v statuses=%v refused_callbacks=%d lost_callbacks=%d", p.hold, p.upgrades,
		len(p.requests), outcomes, statuses, p.refusedCallbacks.Load(), p.lostCallbacks.Load())
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		p.t.Logf("cause: %d of %s", causes[cause], cause)
	}
	return outcomes
}

const logTimeFormat = "15:04:05.000"

// cause returns what the logs of the old processes tell of the connection of a request without an answer.
func (p *resetPlay) cause(request playedRequest) string {
	if request.outcome == outcomeUnconnected {
		return "never sent"
	}
	for _, process := range p.ended {
		if process.hadUnregistered("listener-closed", request) {
			return "accepted by the poller and not registered by the loop when its listener was closed"
		}
		if line := process.connectionLine(request); line != "" {
			return "registered by the loop, closed with reason " + logValue(line, "reason")
		}
		if process.hadUnregistered("exit", request) {
			return "accepted by the poller, not registered by the loop at the end"
		}
	}
	if request.outcome == outcomeAnswered {
		return "its job was not reported as done"
	}
	for _, process := range p.ended {
		if process.closedListenerDuring(request) {
			return "never accepted, its listener closed meanwhile"
		}
	}
	for _, process := range p.ended {
		killed := process.terminated.Add(process.took)
		if process.wasKilled && request.connected.Before(killed) && request.ended.After(killed.Add(-logClockUncertainty)) {
			return "no line of its own, a process was killed meanwhile"
		}
	}
	return "something else"
}

// wasClosedForShutdown reports whether an old process closed the request's connection itself, as it ended.
func (p *resetPlay) wasClosedForShutdown(request playedRequest) bool {
	for _, process := range p.ended {
		if logValue(process.connectionLine(request), "reason") == link.Shutdown {
			return true
		}
	}
	return false
}

// shutdownLines returns the log lines of the process's shutdown.
func (process *endedProcess) shutdownLines() (lines []string) {
	for _, text := range []string{"msg=stopping ", `msg="shutdown step"`, "msg=ended "} {
		lines = append(lines, process.linesWith(text)...)
	}
	return lines
}

// connectionLine returns the log line of the end of a request's connection, or an empty string. A later connection may
// have had the same port, so the line's connection must have been registered before the request's connection ended. A
// process that is held in the turn that logs the line seems to have registered the connection later by the hold.
func (process *endedProcess) connectionLine(request playedRequest) string {
	for _, line := range process.linesWith("peer=" + request.client + " ") {
		ageMS, err := strconv.Atoi(logValue(line, "age_ms"))
		if err != nil {
			continue
		}
		registered := logTime(line).Add(-time.Duration(ageMS) * time.Millisecond)
		isSame := registered.After(request.connected.Add(-logClockUncertainty)) &&
			registered.Before(request.ended.Add(process.hold+logClockUncertainty))
		if isSame {
			return line
		}
	}
	return ""
}

// hadUnregistered reports whether the request's connection was accepted and not registered at a step of the shutdown.
func (process *endedProcess) hadUnregistered(step string, request playedRequest) bool {
	for _, line := range process.linesWith("step=" + step + " ") {
		isAfter := logTime(line).After(request.connected.Add(-logClockUncertainty))
		if isAfter && slices.Contains(strings.Split(logValue(line, "unregistered_peers"), ","), request.client) {
			return true
		}
	}
	return false
}

// closedListenerDuring reports whether the process closed its listener between the request's connection and its end.
func (process *endedProcess) closedListenerDuring(request playedRequest) bool {
	for _, line := range process.linesWith("step=listener-closed ") {
		at := logTime(line)
		if at.After(request.connected.Add(-logClockUncertainty)) && at.Before(request.ended.Add(logClockUncertainty)) {
			return true
		}
	}
	return false
}

// linesWith returns the log lines that contain a text.
func (p *program) linesWith(text string) (lines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for line := range strings.SplitSeq(p.log.String(), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// logValue returns the value of a key of a log line, without quotes.
func logValue(line, key string) string {
	_, after, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(after, " ")
	return strings.Trim(value, `"`)
}

// logTime returns the time of a log line, or the zero time.
func logTime(line string) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	at, _ := time.Parse(time.RFC3339Nano, text)
	return at
}
