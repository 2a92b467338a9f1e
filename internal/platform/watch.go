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
	watchSilenceTimeout   = 3 * core.Second        // the watch is opened anew when nothing came for so long: it is due every 2 s
	watchStallTimeout     = core.Second            // and when what has come of a list is not continued for so long
	watchAnswerTimeout    = 3 * core.Second        // and when it gave no first answer for so long
	minRetryWait          = 200 * core.Millisecond // mean wait before the first retry, at least
	retryWaitPerScheduler = 20 * core.Millisecond  // the same for each scheduler of the fleet: they may all have to retry at once
	maxRetryDoublings     = 3                      // doublings of it, for calls that failed in a row
	// A change counts as told 6 s after discovery had it and could be reached, however many calls failed before: calls
	// that fail in a row begin at most watchPeriod apart. The rest is for the connection and the answer of the next.
	maxCallInterval = 5 * core.Second
	lateRetryParts  = 5 // and where the wait would be longer, it ends in the last fifth of what is left
	// What a silent watch misses counts as told 6 s after it fell silent: with watchSilence until that is seen and
	// watchFirst for the answer, the first call after it can't wait for longer, however many schedulers there are.
	maxFirstRetryWait = 600 * core.Millisecond
	watchDialTimeout  = core.Second // for a connection to come up
	// A long list is no silence as long as its endpoints go on coming, but no longer than this.
	maxListDuration = 10 * core.Second
	// watchRefused is the mean wait after a list that is over a limit: it will be the next time, too, and is long.
	refusedListRetryWait = 1600 * core.Millisecond

	// An agent on our own machine answers at once, and what it holds counts as told whether it was heard or not: a call
	// and the wait after it take three eighths of the grace at most, within these bounds.
	localAnswerParts, minLocalAnswerTimeout, maxLocalAnswerTimeout = 4, 60 * core.Millisecond, 500 * core.Millisecond
	localRetryParts, minLocalRetryWait                             = 12, 20 * core.Millisecond
)

// agentFirst is how long an agent has for the beginning of its answer, where sends to a leaving worker may go on for
// the grace.
func localAnswerTimeout(grace core.Time) core.Time {
	return min(max(grace/localAnswerParts, minLocalAnswerTimeout), maxLocalAnswerTimeout)
}

// agentRetry is the mean wait before an agent is asked again.
func localRetryWait(grace core.Time) core.Time {
	return min(max(grace/localRetryParts, minLocalRetryWait), minRetryWait)
}

// watch follows discovery: one connection, one chunked answer that stays open. It can be moved to
// another address; all that belongs to an earlier one is told by its epoch and changes nothing.
type discoveryWatch struct {
	f                *Front
	dial             dialFunc
	address          string
	epoch            int       // of the address
	version          int64     // of the list, at this address
	needsFullList    bool      // the whole list is asked for first: its version may not continue the one we hold
	lastReceived     core.Time // when the last byte came, or the connection came up
	lastDial         core.Time // when the last dial began
	callCount        int       // so far
	answerBegun      bool      // the answer to the last of them has
	hasPartialLine   bool      // a line has, and its end has not come yet
	stalledSince     core.Time
	decodedEndpoints uint64    // endpoints that have come on the link, those of a list that is still coming too
	lastDecoded      core.Time // when that was last seen to grow
	listRefused      bool      // the last list was over a limit
	link             *link.Link
	stream           *discoveryStream // the reading of the link
	isStopped        bool
	failures         int // calls in a row that brought no answer
	rng              *rand.Rand
}

func newDiscoveryWatch(f *Front, address string, version int64) *discoveryWatch {
	// The list that is known at the start may be old. Where asking costs nothing the whole one is asked for first: its
	// answer tells also that nothing has changed, which a watch leaves unsaid.
	return &discoveryWatch{f: f, dial: dialTCP, address: address, version: version, needsFullList: f.conf.Pushed, rng: rand.New(rand.NewPCG(f.conf.Seed, 0x77617463))}
}

// again opens the watch anew after a while. Discovery may be one service for all schedulers, which fails calls when
// it has too many: retried by each of eighty every 0.2 s, it answers none. So the wait grows with the number of
// schedulers, and doubles with each failure in a row, as far as watchPeriod allows; it is drawn, or those that failed
// together would return together. An agent on our own machine serves nobody else: it is asked again soon, however many
// schedulers there are and however often it was silent, since all that it holds counts as told.
func (w *discoveryWatch) scheduleRetry(epoch int) {
	now := w.f.loop.Now()
	wait := retryWait(w.f.conf.Settings.GroupSize, w.failures, now-max(w.lastDial, w.lastReceived), w.rng.Float64())
	if w.f.conf.Pushed {
		wait = jitter(localRetryWait(w.f.conf.Settings.DrainGrace), w.rng.Float64())
	}
	if w.listRefused {
		wait, w.listRefused = jitter(refusedListRetryWait, w.rng.Float64()), false
	}
	w.failures++
	w.f.loop.At(now+wait, func() { w.open(epoch) })
}

// retryWait is how long a scheduler among so many waits when so many calls in a row have failed before the last, which
// began, or was last heard, so long ago; drawn is from 0 to under 1. The next call begins within watchPeriod of that. A
// wait that would be longer is drawn from the last part of what is left: the later all call, the fewer calls there are.
func retryWait(schedulers, failed int, took core.Time, drawn float64) core.Time {
	mean := max(minRetryWait, retryWaitPerScheduler*core.Time(schedulers)) << min(failed, maxRetryDoublings)
	if failed == 0 {
		mean = min(mean, maxFirstRetryWait)
	}
	left := max(maxCallInterval-took, minRetryWait)
	if wait := jitter(mean, drawn); wait <= left {
		return wait
	}
	return left - core.Time(drawn*float64(left/lateRetryParts))
}

// spreadOut draws a wait of half to one and a half times the mean; drawn is from 0 to under 1.
func jitter(mean core.Time, drawn float64) core.Time {
	return mean/2 + core.Time(drawn*float64(mean))
}

// move follows another address from now on. The list that we hold stands until the new one has told its own.
func (w *discoveryWatch) moveTo(address string) {
	if w.isStopped || address == w.address {
		return
	}
	w.f.log.Info("discovery: moved", "from", w.address, "to", address)
	w.address, w.needsFullList = address, true
	w.epoch++
	w.failures = 0
	if l := w.link; l != nil {
		w.link = nil
		l.Close(link.AddressChanged)
	}
	w.open(w.epoch)
}

func (w *discoveryWatch) open(epoch int) {
	if w.isStopped || epoch != w.epoch || w.address == "" { // no discovery: the known list stands
		return
	}
	loop, address, dial := w.f.loop, w.address, w.dial
	w.lastDial = loop.Now()
	within := watchDialTimeout
	if w.f.conf.Pushed {
		within = w.answerTimeout()
	}
	go func() { // a dial blocks, so it is run outside the loop
		nc, err := dial(address, time.Duration(within)*time.Microsecond)
		loop.Post(func() {
			if err != nil {
				w.f.recordDialFailure("discovery", address, 0)
				if epoch == w.epoch { // else it says nothing of the address that is followed now
					w.scheduleRetry(epoch)
				}
				return
			}
			if w.isStopped || epoch != w.epoch {
				w.closeLate(nc, address)
				return
			}
			w.f.recordDialSuccess(address)
			l := &link.Link{}
			l.Init(nc, "discovery", address, loop.Now())
			s := newDiscoveryStream(w, l)
			w.link, w.stream, w.lastReceived, w.answerBegun, w.hasPartialLine, w.stalledSince = l, s, loop.Now(), false, false, 0
			w.decodedEndpoints, w.lastDecoded = 0, loop.Now()
			nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return s.read() })
			nc.AddCloseCallback(func(netpoll.Connection) error {
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

// closeLate ends a connection that came up when nobody wanted it any more. Its listener may have had it for long: like any
// other that ends it has its line in the log.
func (w *discoveryWatch) closeLate(nc netpoll.Connection, address string) {
	reason := link.AddressChanged
	if w.isStopped {
		reason = link.Shutdown
	}
	nc.Close()
	link.LogEnd(w.f.log, "discovery", address, reason, 0, 0)
}

// ask sends a call, whose answer has to begin in time.
func (w *discoveryWatch) sendCall(l *link.Link, target string) {
	l.Send(w.f.loop, link.Outgoing{Message: http1.AppendRequest(nil, "GET", target, w.address, -1, nil)})
	w.answerBegun = false
	w.callCount++
	w.awaitAnswer(l, w.callCount, w.stream.answers.DecodedEndpoints())
}

// awaitAnswer ends a call whose answer has not begun in time. That of the whole list has when the list has come; as long
// as more of its endpoints have, it is waited for.
func (w *discoveryWatch) awaitAnswer(l *link.Link, call int, decoded uint64) {
	w.f.loop.At(w.f.loop.Now()+w.answerTimeout(), func() {
		if l != w.link || call != w.callCount || w.answerBegun {
			return
		}
		if now := w.stream.answers.DecodedEndpoints(); now > decoded {
			w.awaitAnswer(l, call, now)
			return
		}
		l.Close(link.NoAnswer)
	})
}

// first is how long an answer may take to begin.
func (w *discoveryWatch) answerTimeout() core.Time {
	if w.f.conf.Pushed {
		return localAnswerTimeout(w.f.conf.Settings.DrainGrace)
	}
	return watchAnswerTimeout
}

func (w *discoveryWatch) sendWatchCall(l *link.Link) {
	w.sendCall(l, PathTargets+"?watch=1&after="+strconv.FormatInt(w.version, 10))
}

// listen closes a watch that has fallen silent: a broken path tells nothing.
func (w *discoveryWatch) armSilenceTimer(l *link.Link) {
	due := w.silenceDeadline()
	w.f.loop.At(due, func() {
		switch {
		case l.Ended || l != w.link:
		case w.f.loop.Now() >= w.silenceDeadline():
			l.Close(link.NoAnswer)
		default:
			w.armSilenceTimer(l)
		}
	})
}

// silentAt is when the watch counts as silent if nothing more comes.
func (w *discoveryWatch) silenceDeadline() core.Time {
	return min(max(w.lastReceived, w.lastDecoded)+watchSilenceTimeout, w.lastReceived+maxListDuration)
}

// alive takes a sign of life: an answer has begun, although its first line may be seconds away.
func (w *discoveryWatch) recordLiveness(l *link.Link) {
	if l == w.link {
		w.lastReceived, w.answerBegun, w.stalledSince, w.failures = w.f.loop.Now(), true, 0, 0
	}
}

// check ends a watch that has stopped in the middle of something: what is behind it would come too late.
func (w *discoveryWatch) closeIfStalled() {
	l, now := w.link, w.f.loop.Now()
	switch {
	case l == nil || l.ClosedLocally || l.Ended:
	case w.stream.answers.DecodedEndpoints() != w.decodedEndpoints: // a list goes on
		w.decodedEndpoints, w.lastDecoded, w.stalledSince = w.stream.answers.DecodedEndpoints(), now, 0
	case !w.hasPartialLine && l.Conn.Reader().Len() == 0:
		w.stalledSince = 0
	case w.stalledSince == 0:
		w.stalledSince = now
	case now-w.stalledSince > watchStallTimeout:
		l.Close(link.NoAnswer)
	}
}

func (w *discoveryWatch) onLinkEnded(l *link.Link, epoch int) {
	if !l.MarkEnded(w.f.log, w.f.loop.Now()) {
		return
	}
	if epoch == w.epoch {
		w.scheduleRetry(epoch)
	}
}

func (w *discoveryWatch) stop() {
	w.isStopped = true
	if w.link != nil {
		w.link.Close(link.Shutdown)
	}
}

// take has a line of the watch, or the whole list that was asked for first, after which the watch follows on the same
// connection.
func (w *discoveryWatch) handleLine(l *link.Link, line discovery.Line) {
	asked := w.needsFullList
	if l != w.link {
		return // of an address that was left
	}
	taken := w.applyLine(l, line)
	switch {
	case !asked:
	case taken:
		w.sendWatchCall(l)
	default:
		l.Close(link.BadInput)
	}
}

// update takes a line of the watch. A bad one is logged, and the last good list stands.
func (w *discoveryWatch) applyLine(l *link.Link, line discovery.Line) (taken bool) {
	w.recordLiveness(l)
	l.MessageCount++
	update, err := line.Update, line.Err
	if update == nil && err == nil {
		return false
	}
	if err == nil && w.needsFullList && !update.IsSnapshot {
		err = errors.New("not the whole list, which was asked for")
	}
	if err != nil {
		w.f.log.Warn("discovery: bad line kept out", "error", err)
		return false
	}
	w.version, w.needsFullList = update.Version, false
	w.f.workerStarts.Resolve(update, w.f.loop.Now(), !w.f.hasReceivedList)
	w.f.hasReceivedList = true
	w.f.pool.updateWorkers(update)
	form := rules.ListDelta
	if update.IsSnapshot {
		form = rules.ListFull
	}
	w.f.core.UpdateWorkerList(w.f, form, update.Workers)
	w.f.markReady()
	return true
}
