package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"cobaltflow/internal/core"
	"cobaltflow/internal/discovery"
	"cobaltflow/internal/http1"
	"cobaltflow/internal/link"
	"cobaltflow/rules"
)

const (
	// The watch is reopened when nothing has arrived for watchSilenceTimeout (a line is due every 2 s), when a list that
	// has begun makes no progress for watchStallTimeout, and when a call has no answer after watchAnswerTimeout.
	watchSilenceTimeout = 3 * core.Second
	watchStallTimeout   = core.Second
	watchAnswerTimeout  = 3 * core.Second
	watchDialTimeout    = core.Second // for a connection to be established
	// maxListDuration bounds the time for which a long list counts as progress while its endpoints keep arriving.
	maxListDuration = 10 * core.Second

	// The mean wait before the first retry is retryWaitPerScheduler for each scheduler of the fleet, since all may have to
	// retry at once, but at least minRetryWait. It doubles with each further failure, at most maxRetryDoublings times.
	minRetryWait          = 200 * core.Millisecond
	retryWaitPerScheduler = 20 * core.Millisecond
	maxRetryDoublings     = 3
	// A scheduler counts as informed of a change 6 s after the discovery server has it and is reachable, however many
	// calls failed before. So calls that fail in a row begin at most maxCallInterval apart, which leaves 1 s for the
	// connection and the answer of the next call. A wait that would be longer ends in the last 1/lateRetryParts of the
	// remaining time.
	maxCallInterval = 5 * core.Second
	lateRetryParts  = 5
	// maxFirstRetryWait bounds the mean wait before the first retry, for any number of schedulers. A scheduler counts as
	// informed of what a silent watch missed 6 s after the silence began. Of that time, watchSilenceTimeout passes until
	// the silence is noticed, and the connection and the answer need the rest.
	maxFirstRetryWait = 600 * core.Millisecond
	// refusedListRetryWait is the mean wait after a list that exceeds a limit: the next one will probably exceed it too,
	// and such a list is long.
	refusedListRetryWait = 1600 * core.Millisecond

	// A discovery server on the local machine answers at once, and a scheduler counts as informed of whatever it holds,
	// received or not. So a call and the wait after it take at most 1/4 + 1/8 of the drain grace, within these bounds; the
	// mean wait is 1/12 of the grace, the longest one and a half times that.
	localAnswerParts, minLocalAnswerTimeout, maxLocalAnswerTimeout = 4, 60 * core.Millisecond, 500 * core.Millisecond
	localRetryParts, minLocalRetryWait                             = 12, 20 * core.Millisecond

	watchRandStream = 0x77617463 // "watc": the stream of the seeded generator that jitters the waits
)

// localAnswerTimeout returns how long a local discovery server may take to begin its answer. grace is the time for
// which jobs may still be sent to a worker that has begun to drain.
func localAnswerTimeout(grace core.Time) core.Time {
	return min(max(grace/localAnswerParts, minLocalAnswerTimeout), maxLocalAnswerTimeout)
}

// localRetryWait returns the mean wait before a local discovery server is called again.
func localRetryWait(grace core.Time) core.Time {
	return min(max(grace/localRetryParts, minLocalRetryWait), minRetryWait)
}

// discoveryWatch follows the worker list of the discovery server on one connection, as a chunked answer that stays
// open. It can be moved to another address; events of an earlier address carry an older epoch and are ignored.
type discoveryWatch struct {
	front            *Front
	dial             dialFunc
	address          string
	epoch            int       // number of the address; callbacks of an earlier one are ignored
	version          int64     // of the list received from this address
	needsFullList    bool      // the full list is requested first: its version may not continue that of the known list
	lastReceived     core.Time // when an answer or a line arrived last, or the connection was established
	lastDial         core.Time // when the last dial began
	callCount        int       // calls sent
	answerBegun      bool      // the answer to the last call has begun
	hasPartialLine   bool      // a line has begun and is not complete yet
	stalledSince     core.Time // when a partial line or unread input was first seen without progress; 0: there is none
	decodedEndpoints uint64    // endpoints decoded on this connection when last checked, those of an incomplete list included
	lastDecoded      core.Time // when decodedEndpoints last grew
	listRefused      bool      // the last list exceeded a limit
	reopensAtOnce    bool      // the list is applied, and the watch needs another connection, without a wait
	link             *link.Link
	stream           *discoveryStream // the reader of the connection
	isStopped        bool
	failures         int // calls that failed in a row
	rng              *rand.Rand
}

func newDiscoveryWatch(f *Front, address string, version int64) *discoveryWatch {
	// The list that is known at the start may be outdated. Where the discovery server is local, a full list costs
	// little and is requested first: unlike a watch, its answer also shows that nothing has changed.
	return &discoveryWatch{front: f, dial: dialTCP, address: address, version: version, needsFullList: f.conf.DiscoveryIsLocal, rng: rand.New(rand.NewPCG(f.conf.Seed, watchRandStream))}
}

// scheduleRetry reopens the watch after a wait. One discovery server may serve all schedulers and fail calls when there
// are too many of them: with eighty schedulers that retry every 0.2 s it answers none. So the mean wait grows with the
// number of schedulers and doubles with each failure in a row, within maxCallInterval. It is randomised, because
// schedulers that failed together would otherwise retry together.
//
// A local discovery server has no other client. It is called again soon, whatever the number of schedulers and of
// failures.
func (w *discoveryWatch) scheduleRetry(epoch int) {
	now := w.front.loop.Now()
	wait := retryWait(w.front.conf.Settings.GroupSize, w.failures, now-max(w.lastDial, w.lastReceived), w.rng.Float64())
	if w.front.conf.DiscoveryIsLocal {
		wait = jitter(localRetryWait(w.front.conf.Settings.DrainGrace), w.rng.Float64())
	}
	if w.listRefused {
		wait, w.listRefused = jitter(refusedListRetryWait, w.rng.Float64()), false
	}
	w.failures++
	w.front.loop.At(now+wait, func() { w.open(epoch) })
}

// retryWait returns how long a scheduler waits before it calls discovery again. failures is the number of calls that
// failed in a row before the last one, elapsed the time since that one began or last received something, random a
// number in [0, 1). The next call begins within maxCallInterval of that time. A wait that would exceed it is drawn from
// the last part of the remaining time, because later calls are fewer calls.
func retryWait(schedulers, failures int, elapsed core.Time, random float64) core.Time {
	mean := max(minRetryWait, retryWaitPerScheduler*core.Time(schedulers)) << min(failures, maxRetryDoublings)
	if failures == 0 {
		mean = min(mean, maxFirstRetryWait)
	}
	remaining := max(maxCallInterval-elapsed, minRetryWait)
	if wait := jitter(mean, random); wait <= remaining {
		return wait
	}
	return remaining - core.Time(random*float64(remaining/lateRetryParts))
}

// jitter returns a wait between half and one and a half times the mean; random is in [0, 1).
func jitter(mean core.Time, random float64) core.Time {
	return mean/2 + core.Time(random*float64(mean))
}

// moveTo follows another address from now on. The known list is kept until the new address has sent one.
func (w *discoveryWatch) moveTo(address string) {
	if w.isStopped || address == w.address {
		return
	}
	w.front.log.Info("discovery: address changed", "from", w.address, "to", address)
	w.address, w.needsFullList = address, true
	w.epoch++
	w.failures = 0
	if l := w.link; l != nil {
		w.link = nil
		l.Close(link.AddressChanged)
	}
	w.open(w.epoch)
}

// open dials the discovery server and starts the watch, unless the watch is stopped or has moved since epoch.
func (w *discoveryWatch) open(epoch int) {
	if w.isStopped || epoch != w.epoch || w.address == "" { // without discovery the known list stays in force
		return
	}
	loop, address, dial := w.front.loop, w.address, w.dial
	w.lastDial = loop.Now()
	timeout := watchDialTimeout
	if w.front.conf.DiscoveryIsLocal {
		timeout = w.answerTimeout()
	}
	go func() { // a dial blocks and must not run on the loop
		nc, err := dial(address, time.Duration(timeout)*time.Microsecond)
		loop.Post(func() {
			if err != nil {
				w.front.recordDialFailure("discovery", address, 0)
				if epoch == w.epoch { // otherwise the failure concerns an earlier address
					w.scheduleRetry(epoch)
				}
				return
			}
			if w.isStopped || epoch != w.epoch {
				w.closeLate(nc, address)
				return
			}
			w.front.recordDialSuccess(address)
			l := &link.Link{}
			l.Init(nc, "discovery", address, loop.Now())
			s := newDiscoveryStream(w, l)
			w.link, w.stream, w.lastReceived, w.answerBegun, w.hasPartialLine, w.stalledSince = l, s, loop.Now(), false, false, 0
			w.decodedEndpoints, w.lastDecoded, w.reopensAtOnce = 0, loop.Now(), false
			nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return s.read() })
			nc.AddCloseCallback(func(netpoll.Connection) error {
				s.readEnd()
				loop.Post(func() { w.onLinkEnded(l, epoch) })
				return nil
			})
			if !nc.IsActive() {
				loop.Post(func() { w.onLinkEnded(l, epoch) })
			}
			if w.needsFullList {
				w.sendCall(l, PathTargets)
			} else {
				w.sendWatchCall(l)
			}
			w.armSilenceTimer(l)
		})
	}()
}

// closeLate closes a connection that was established after the watch had stopped or moved. The server may have accepted
// it long before, so that it gets a line in the log like any other connection.
func (w *discoveryWatch) closeLate(nc netpoll.Connection, address string) {
	reason := link.AddressChanged
	if w.isStopped {
		reason = link.Shutdown
	}
	nc.Close()
	link.LogEnd(w.front.log, "discovery", address, reason, 0, 0)
}

// sendCall sends a GET request for target and sets the time limit for the beginning of its answer.
func (w *discoveryWatch) sendCall(l *link.Link, target string) {
	l.Send(w.front.loop, link.Outgoing{Message: http1.AppendRequest(nil, "GET", target, w.address, -1, nil)})
	w.answerBegun = false
	w.callCount++
	w.awaitAnswer(l, w.callCount, w.stream.reader.DecodedEndpoints())
}

// awaitAnswer closes the connection if the answer to a call has not begun in time. The answer with the full list counts
// as begun when the list is complete; until then the wait is extended as long as more of its endpoints arrive.
func (w *discoveryWatch) awaitAnswer(l *link.Link, call int, decoded uint64) {
	w.front.loop.At(w.front.loop.Now()+w.answerTimeout(), func() {
		if l != w.link || call != w.callCount || w.answerBegun {
			return
		}
		if now := w.stream.reader.DecodedEndpoints(); now > decoded {
			w.awaitAnswer(l, call, now)
			return
		}
		l.Close(link.NoAnswer)
	})
}

// answerTimeout returns how long an answer may take to begin.
func (w *discoveryWatch) answerTimeout() core.Time {
	if w.front.conf.DiscoveryIsLocal {
		return localAnswerTimeout(w.front.conf.Settings.DrainGrace)
	}
	return watchAnswerTimeout
}

// sendWatchCall requests the changes after the known version.
func (w *discoveryWatch) sendWatchCall(l *link.Link) {
	w.sendCall(l, PathTargets+"?watch=1&after="+strconv.FormatInt(w.version, 10))
}

// armSilenceTimer closes the connection when it has been silent for too long: a broken network path reports nothing.
func (w *discoveryWatch) armSilenceTimer(l *link.Link) {
	due := w.silenceDeadline()
	w.front.loop.At(due, func() {
		switch {
		case l.Ended || l != w.link:
		case w.front.loop.Now() >= w.silenceDeadline():
			l.Close(link.NoAnswer)
		default:
			w.armSilenceTimer(l)
		}
	})
}

// silenceDeadline returns when the watch counts as silent if nothing more arrives.
func (w *discoveryWatch) silenceDeadline() core.Time {
	return min(max(w.lastReceived, w.lastDecoded)+watchSilenceTimeout, w.lastReceived+maxListDuration)
}

// recordLiveness records that an answer has begun or a line has arrived; the first line of an answer may follow seconds
// after its beginning.
func (w *discoveryWatch) recordLiveness(l *link.Link) {
	if l == w.link {
		w.lastReceived, w.answerBegun, w.stalledSince, w.failures = w.front.loop.Now(), true, 0, 0
	}
}

// closeIfStalled closes the connection when a list that has begun makes no progress: what follows it would arrive too
// late.
func (w *discoveryWatch) closeIfStalled() {
	l, now := w.link, w.front.loop.Now()
	switch {
	case l == nil || l.ClosedLocally || l.Ended:
	case w.stream.reader.DecodedEndpoints() != w.decodedEndpoints: // the list makes progress
		w.decodedEndpoints, w.lastDecoded, w.stalledSince = w.stream.reader.DecodedEndpoints(), now, 0
	case !w.hasPartialLine && l.UnreadBytes() == 0:
		w.stalledSince = 0
	case w.stalledSince == 0:
		w.stalledSince = now
	case now-w.stalledSince > watchStallTimeout:
		l.Close(link.NoAnswer)
	}
}

// onLinkEnded opens another connection when that to the current address has ended: at once behind a complete list, else as a
// retry.
func (w *discoveryWatch) onLinkEnded(l *link.Link, epoch int) {
	if !l.MarkEnded(w.front.log, w.front.loop.Now()) {
		return
	}
	switch {
	case epoch != w.epoch:
	case w.reopensAtOnce:
		w.open(epoch)
	default:
		w.scheduleRetry(epoch)
	}
}

// stop ends the watch for good.
func (w *discoveryWatch) stop() {
	w.isStopped = true
	if w.link != nil {
		w.link.Close(link.Shutdown)
	}
}

// handleLine processes a line of the watch, or the full list if that was requested. After the full list the watch
// continues on the same connection, or on another one if discovery ends this one.
func (w *discoveryWatch) handleLine(l *link.Link, line discovery.Line, endsConn bool) {
	wantedFullList := w.needsFullList
	if l != w.link {
		return // from an earlier address
	}
	applied := w.applyLine(l, line)
	switch {
	case !wantedFullList:
	case applied && endsConn:
		w.reopensAtOnce = true
		l.Close(link.Answered)
	case applied:
		w.sendWatchCall(l)
	default:
		l.Close(link.BadInput)
	}
}

// applyLine applies a line to the worker list and reports whether it did. An invalid line is logged and the last valid
// list stays in force.
func (w *discoveryWatch) applyLine(l *link.Link, line discovery.Line) (applied bool) {
	w.recordLiveness(l)
	l.MessageCount++
	update, err := line.Update, line.Err
	if update == nil && err == nil {
		return false
	}
	if err == nil && w.needsFullList && !update.IsSnapshot {
		err = errors.New("full list requested, but the answer is not a snapshot")
	}
	if err != nil {
		w.front.log.Warn("discovery: bad line kept out", "error", err)
		return false
	}
	w.version, w.needsFullList = update.Version, false
	w.front.workerStarts.Resolve(update, w.front.loop.Now(), !w.front.hasReceivedList)
	w.front.hasReceivedList = true
	w.front.pool.updateWorkers(update)
	form := rules.ListDelta
	if update.IsSnapshot {
		form = rules.ListFull
	}
	w.front.core.UpdateWorkerList(w.front, form, update.Workers)
	w.front.markReady()
	return true
}
