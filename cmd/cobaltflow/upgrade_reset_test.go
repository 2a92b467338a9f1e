package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// longUpgradesVariable is the environment variable that asks for the long form: the number of upgrades for each hold. With
// 20, each of the three tests takes four to eight minutes and needs -timeout 30m.
const longUpgradesVariable = "COBALTFLOW_RESET_UPGRADES"

// Figures of the play.
const (
	resetClients        = 48
	resetClientSockets  = 1000                    // descriptors, so many that no connection is closed for its budget
	earliestKill        = 3700 * time.Millisecond // after SIGTERM, where the longest deadline is 3 s or more
	longestSendDelay    = 6 * time.Millisecond    // of every third request, after its connection
	longestClientPause  = 100 * time.Millisecond  // between two requests of a client
	longestAnswerWait   = 12 * time.Second        // above the time that a request has left
	serveBetween        = 300 * time.Millisecond  // while both processes serve, before SIGTERM
	logClockUncertainty = 20 * time.Millisecond   // between a log line and what a client saw
)

// requestOutcome is how a request of the play ended.
type requestOutcome string

const (
	outcomeAnswered    requestOutcome = "answered"
	outcomeReset       requestOutcome = "reset"       // before any byte of an answer
	outcomeEndOfFile   requestOutcome = "end-of-file" // before any byte of an answer
	outcomeTimedOut    requestOutcome = "timed-out"
	outcomePartial     requestOutcome = "partial-answer"
	outcomeUnconnected requestOutcome = "unconnected" // never sent
	// A kept connection may be closed under a request on its way that is never read, by the protocol; see
	// docs/design/endings.md. One that ends with its killed process is outcomeEndOfFile.
	outcomeKeptEnded requestOutcome = "end-of-file-on-kept-connection"
	outcomeKeptReset requestOutcome = "reset-on-kept-connection"
)

// playedRequest is one request of the play, as its client saw it.
type playedRequest struct {
	client    string // local address
	isReused  bool   // an earlier request was answered on its connection
	connected time.Time
	sent      time.Time
	ended     time.Time
	outcome   requestOutcome
	status    int
	err       error
}

// endedProcess is an old process of the play, and how it ended.
type endedProcess struct {
	*instance
	terminated time.Time
	took       time.Duration // from SIGTERM to its end
	wasKilled  bool
	killedLate time.Duration // by how much the kill came later than the earliest, as the rig itself was held up
	hold       time.Duration // the play's
}

// clientKind tells what the clients of a play do.
type clientKind struct {
	keepsConnections bool // uses each connection until the process closes it or is killed
	hasLongJobs      bool // one job in longJobInterval ends only with its deadline, so that ending processes hold open requests
}

// longJobInterval is the number of jobs of which one is long, where a play has long jobs.
const longJobInterval = 256

// resetPlay sends requests while processes are upgraded one after another.
type resetPlay struct {
	*upgradeHarness
	hold     time.Duration // for which an ending process is stopped, and continued for a third; 0: never stopped
	upgrades int
	clientKind
	nextID atomic.Int64

	mu       sync.Mutex
	requests []playedRequest
	ended    []endedProcess
}

// resetUpgrades returns the number of upgrades for each hold and the holds to play.
func resetUpgrades(t *testing.T) (upgrades int, holds []time.Duration) {
	const shortUpgrades = 2
	text := os.Getenv(longUpgradesVariable)
	if text == "" {
		return shortUpgrades, []time.Duration{0, 100 * time.Millisecond}
	}
	upgrades, err := strconv.Atoi(text)
	require.NoError(t, err, longUpgradesVariable)
	for _, ms := range []int{0, 30, 60, 100, 150} {
		holds = append(holds, time.Duration(ms)*time.Millisecond)
	}
	return upgrades, holds
}

// Guards against a fault of upgrades: a request that was sent on a new connection while the old process ended was reset
// with no answer. The old process is stopped and continued in turns from its SIGTERM on, as on a machine that gives it a
// quarter of its time, and is killed as early as the platform may.
func TestUpgradeOfHeldProcessAnswersEveryRequest(t *testing.T) {
	upgrades, holds := resetUpgrades(t)
	for _, hold := range holds {
		t.Run(fmt.Sprint("hold=", hold), func(t *testing.T) { playResets(t, hold, upgrades, clientKind{}) })
	}
}

// The same with clients that keep their connections and use them until the process closes them or is killed.
func TestUpgradeOfHeldProcessAnswersKeptConnections(t *testing.T) {
	upgrades, holds := resetUpgrades(t)
	for _, hold := range holds {
		t.Run(fmt.Sprint("hold=", hold), func(t *testing.T) { playResets(t, hold, upgrades, clientKind{keepsConnections: true}) })
	}
}

// The same with jobs that are open for longer than the old process may live, so that its connections are in use until it
// answers all that is open, or until the kill.
func TestUpgradeOfHeldProcessAnswersBesideLongJobs(t *testing.T) {
	upgrades, holds := resetUpgrades(t)
	for _, hold := range holds {
		t.Run(fmt.Sprint("hold=", hold), func(t *testing.T) {
			playResets(t, hold, upgrades, clientKind{keepsConnections: true, hasLongJobs: true})
		})
	}
}

// playResets plays one hold, reports it and checks it.
func playResets(t *testing.T, hold time.Duration, upgrades int, kind clientKind) {
	p := &resetPlay{upgradeHarness: newUpgradeHarness(t, "s-1", "s-2"), hold: hold, upgrades: upgrades, clientKind: kind}
	p.sockets = resetClientSockets
	if kind.hasLongJobs {
		p.makeSomeJobsLong()
	}
	p.play()
	outcomes := p.report()
	unanswered := outcomes[outcomeReset] + outcomes[outcomeEndOfFile] + outcomes[outcomeTimedOut] + outcomes[outcomePartial] +
		outcomes[outcomeKeptReset]
	assert.Zero(t, unanswered, "requests without an answer")
	for _, process := range p.ended {
		assert.False(t, process.wasKilled, "the old process had not ended by itself %v after SIGTERM", earliestKill)
	}
}

// makeSomeJobsLong makes the workers accept one job in longJobInterval and never report it as done.
func (p *resetPlay) makeSomeJobsLong() {
	for _, worker := range p.workers {
		complete := worker.Handle
		worker.Handle = func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
			if number, err := strconv.ParseUint(id, 16, 64); err == nil && number%longJobInterval == 0 {
				rw.WriteHeader(202)
				return
			}
			complete(w, id, rw, r)
		}
	}
}

// play runs the clients and the upgrades.
func (p *resetPlay) play() {
	current := p.start()
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for number := range resetClients {
		clients.Go(func() { p.runClient(number, &stopped) })
	}
	for range p.upgrades {
		next := p.start()
		time.Sleep(serveBetween)
		p.ended = append(p.ended, p.end(current))
		current = next
	}
	stopped.Store(true)
	clients.Wait()
}

// end ends an old process by SIGTERM, holds it in turns, and kills it if it is still there at the earliest kill.
func (p *resetPlay) end(old *instance) endedProcess {
	exited := make(chan time.Time, 1)
	result := endedProcess{instance: old, terminated: time.Now(), hold: p.hold}
	old.terminate()
	go func() {
		old.cmd.Wait()
		exited <- time.Now()
	}()
	stopHolding := make(chan struct{})
	var holder sync.WaitGroup
	if p.hold > 0 {
		holder.Go(func() { old.holdInTurns(p.hold, stopHolding) })
	}
	select {
	case at := <-exited:
		result.took = at.Sub(result.terminated)
	case <-time.After(time.Until(result.terminated.Add(earliestKill))):
		result.killedLate = time.Since(result.terminated) - earliestKill
		result.wasKilled = old.cmd.Process.Kill() == nil
		result.took = (<-exited).Sub(result.terminated)
	}
	close(stopHolding)
	holder.Wait()
	return result
}

// holdInTurns stops the process for hold and continues it for a third of that, in turns, until stop is closed.
func (i *instance) holdInTurns(hold time.Duration, stop <-chan struct{}) {
	for {
		for _, turn := range []struct {
			signal syscall.Signal
			length time.Duration
		}{{syscall.SIGSTOP, hold}, {syscall.SIGCONT, hold / 3}} {
			if i.cmd.Process.Signal(turn.signal) != nil {
				return // it has ended
			}
			select {
			case <-time.After(turn.length):
			case <-stop:
				return
			}
		}
	}
}

// runClient sends requests one after another until stopped.
func (p *resetPlay) runClient(number int, stopped *atomic.Bool) {
	rng := rand.New(rand.NewPCG(uint64(number), uint64(p.hold)))
	var kept *clientConnection
	for !stopped.Load() {
		if kept != nil && kept.hasEnded() {
			kept.conn.Close()
			kept = nil
		}
		if kept == nil {
			kept = p.connect()
		}
		if kept != nil && number%3 == 0 && !kept.isUsed {
			time.Sleep(time.Duration(rng.Int64N(int64(longestSendDelay))))
		}
		if kept != nil && !(p.send(kept) && p.keepsConnections) {
			kept.conn.Close()
			kept = nil
		}
		time.Sleep(time.Duration(rng.Int64N(int64(longestClientPause))))
	}
	if kept != nil {
		kept.conn.Close()
	}
}

// clientConnection is one connection of a client.
type clientConnection struct {
	conn      net.Conn
	reader    *bufio.Reader
	connected time.Time
	isUsed    bool // a request was answered on it
}

// hasEnded reports whether the process has ended the connection already, so that a client sends no request on it.
func (c *clientConnection) hasEnded() (ended bool) {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = !errors.Is(err, syscall.EAGAIN)
	})
	return ended || err != nil
}

// connect opens a connection, or records that there is none and returns nil.
func (p *resetPlay) connect() *clientConnection {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", p.listen, longestAnswerWait)
	if err != nil {
		p.record(playedRequest{connected: began, ended: time.Now(), outcome: outcomeUnconnected, err: err})
		return nil
	}
	return &clientConnection{conn: conn, reader: bufio.NewReader(conn), connected: time.Now()}
}

// send sends one request, records how it ended, and reports whether the connection may be used again. After a failed
// write it reads all the same: an answer may have come before the connection ended.
func (p *resetPlay) send(c *clientConnection) (isKept bool) {
	request := playedRequest{client: c.conn.LocalAddr().String(), isReused: c.isUsed, connected: c.connected, sent: time.Now()}
	c.conn.SetDeadline(request.sent.Add(longestAnswerWait))
	connection := "close"
	if p.keepsConnections {
		connection = "keep-alive"
	}
	id := p.nextID.Add(1)
	_, writeErr := fmt.Fprintf(c.conn, "POST /move/k%d HTTP/1.1\r\nHost: n1\r\nX-Correlation-Id: %016x\r\nX-Time-Left-Ms: 10000\r\n"+
		"Content-Length: 2\r\nConnection: %s\r\n\r\n{}", id, id, connection)
	_, err := c.reader.Peek(1)
	if err == nil {
		request.status, isKept, err = readAnswer(c.reader)
		request.outcome = outcomeAnswered
		if err != nil {
			request.outcome = outcomePartial
		}
	} else {
		request.outcome = unansweredOutcome(errors.Join(writeErr, err), c.isUsed)
	}
	request.ended, request.err = time.Now(), errors.Join(writeErr, err)
	c.isUsed = true
	p.record(request)
	return isKept
}

// readAnswer reads one answer whole.
func readAnswer(reader *bufio.Reader) (status int, isKept bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, !response.Close && err == nil, err
}

// unansweredOutcome returns the outcome of a request of whose answer no byte came.
func unansweredOutcome(err error, isReused bool) requestOutcome {
	isReset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcomeTimedOut
	case isReset && isReused:
		return outcomeKeptReset
	case isReset:
		return outcomeReset
	case isReused:
		return outcomeKeptEnded
	}
	return outcomeEndOfFile
}

func (p *resetPlay) record(request playedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, request)
}
