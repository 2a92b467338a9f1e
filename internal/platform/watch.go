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
	watchSilence = 3 * core.Second        // the watch is opened anew when nothing came for so long: it is due every 2 s
	watchPart    = core.Second            // and when what has come of a list is not continued for so long
	watchFirst   = 3 * core.Second        // and when it gave no first answer for so long
	watchRetry   = 200 * core.Millisecond // mean wait before the first retry, at least
	watchShare   = 20 * core.Millisecond  // the same for each scheduler of the fleet: they may all have to retry at once
	watchSlower  = 3                      // doublings of it, for calls that failed in a row
	// A change counts as told 6 s after discovery had it and could be reached, however many calls failed before: calls
	// that fail in a row begin at most watchPeriod apart. The rest is for the connection and the answer of the next.
	watchPeriod = 5 * core.Second
	watchLatest = 5 // and where the wait would be longer, it ends in the last fifth of what is left
	// What a silent watch misses counts as told 6 s after it fell silent: with watchSilence until that is seen and
	// watchFirst for the answer, the first call after it can't wait for longer, however many schedulers there are.
	watchSoon = 600 * core.Millisecond
	watchDial = core.Second // for a connection to come up
	// A long list is no silence as long as its endpoints go on coming, but no longer than this.
	watchList = 10 * core.Second
	// watchRefused is the mean wait after a list that is over a limit: it will be the next time, too, and is long.
	watchRefused = 1600 * core.Millisecond

	// An agent on our own machine answers at once, and what it holds counts as told whether it was heard or not: a call
	// and the wait after it take three eighths of the grace at most, within these bounds.
	agentFirstPart, agentFirstLeast, agentFirstMost = 4, 60 * core.Millisecond, 500 * core.Millisecond
	agentRetryPart, agentRetryLeast                 = 12, 20 * core.Millisecond
)

// agentFirst is how long an agent has for the beginning of its answer, where sends to a leaving worker may go on for
// the grace.
func agentFirst(grace core.Time) core.Time {
	return min(max(grace/agentFirstPart, agentFirstLeast), agentFirstMost)
}

// agentRetry is the mean wait before an agent is asked again.
func agentRetry(grace core.Time) core.Time {
	return min(max(grace/agentRetryPart, agentRetryLeast), watchRetry)
}

// watch follows discovery: one connection, one chunked answer that stays open. It can be moved to
// another address; all that belongs to an earlier one is told by its epoch and changes nothing.
type watch struct {
	f       *Front
	dial    dialer
	address string
	epoch   int       // of the address
	version int64     // of the list, at this address
	whole   bool      // the whole list is asked for first: its version may not continue the one we hold
	heard   core.Time // when the last byte came, or the connection came up
	dialled core.Time // when the last dial began
	calls   int       // so far
	begun   bool      // the answer to the last of them has
	partial bool      // a line has, and its end has not come yet
	stuck   core.Time
	decoded uint64    // endpoints that have come on the link, those of a list that is still coming too
	went    core.Time // when that was last seen to grow
	refused bool      // the last list was over a limit
	link    *link.Link
	stream  *stream // the reading of the link
	stopped bool
	fails   int // calls in a row that brought no answer
	rng     *rand.Rand
}

func newWatch(f *Front, address string, version int64) *watch {
	// The list that is known at the start may be old. Where asking costs nothing the whole one is asked for first: its
	// answer tells also that nothing has changed, which a watch leaves unsaid.
	return &watch{f: f, dial: dialTCP, address: address, version: version, whole: f.conf.Pushed, rng: rand.New(rand.NewPCG(f.conf.Seed, 0x77617463))}
}

// again opens the watch anew after a while. Discovery may be one service for all schedulers, which fails calls when
// it has too many: retried by each of eighty every 0.2 s, it answers none. So the wait grows with the number of
// schedulers, and doubles with each failure in a row, as far as watchPeriod allows; it is drawn, or those that failed
// together would return together. An agent on our own machine serves nobody else: it is asked again soon, however many
// schedulers there are and however often it was silent, since all that it holds counts as told.
func (w *watch) again(epoch int) {
	now := w.f.loop.Now()
	wait := retryWait(w.f.conf.Settings.GroupSize, w.fails, now-max(w.dialled, w.heard), w.rng.Float64())
	if w.f.conf.Pushed {
		wait = spreadOut(agentRetry(w.f.conf.Settings.DrainGrace), w.rng.Float64())
	}
	if w.refused {
		wait, w.refused = spreadOut(watchRefused, w.rng.Float64()), false
	}
	w.fails++
	w.f.loop.At(now+wait, func() { w.open(epoch) })
}

// retryWait is how long a scheduler among so many waits when so many calls in a row have failed before the last, which
// began, or was last heard, so long ago; drawn is from 0 to under 1. The next call begins within watchPeriod of that. A
// wait that would be longer is drawn from the last part of what is left: the later all call, the fewer calls there are.
func retryWait(schedulers, failed int, took core.Time, drawn float64) core.Time {
	mean := max(watchRetry, watchShare*core.Time(schedulers)) << min(failed, watchSlower)
	if failed == 0 {
		mean = min(mean, watchSoon)
	}
	left := max(watchPeriod-took, watchRetry)
	if wait := spreadOut(mean, drawn); wait <= left {
		return wait
	}
	return left - core.Time(drawn*float64(left/watchLatest))
}

// spreadOut draws a wait of half to one and a half times the mean; drawn is from 0 to under 1.
func spreadOut(mean core.Time, drawn float64) core.Time {
	return mean/2 + core.Time(drawn*float64(mean))
}

// move follows another address from now on. The list that we hold stands until the new one has told its own.
func (w *watch) move(address string) {
	if w.stopped || address == w.address {
		return
	}
	w.f.log.Info("discovery: moved", "from", w.address, "to", address)
	w.address, w.whole = address, true
	w.epoch++
	w.fails = 0
	if l := w.link; l != nil {
		w.link = nil
		l.Close(link.Moved)
	}
	w.open(w.epoch)
}

func (w *watch) open(epoch int) {
	if w.stopped || epoch != w.epoch || w.address == "" { // no discovery: the known list stands
		return
	}
	loop, address, dial := w.f.loop, w.address, w.dial
	w.dialled = loop.Now()
	within := watchDial
	if w.f.conf.Pushed {
		within = w.first()
	}
	go func() { // a dial blocks, so it is run outside the loop
		nc, err := dial(address, time.Duration(within)*time.Microsecond)
		loop.Post(func() {
			if err != nil {
				w.f.recordDialFailure("discovery", address, 0)
				if epoch == w.epoch { // else it says nothing of the address that is followed now
					w.again(epoch)
				}
				return
			}
			if w.stopped || epoch != w.epoch {
				w.closeLate(nc, address)
				return
			}
			w.f.recordDialSuccess(address)
			l := &link.Link{}
			l.Init(nc, "discovery", address, loop.Now())
			s := newStream(w, l)
			w.link, w.stream, w.heard, w.begun, w.partial, w.stuck = l, s, loop.Now(), false, false, 0
			w.decoded, w.went = 0, loop.Now()
			nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return s.read() })
			nc.AddCloseCallback(func(netpoll.Connection) error {
				loop.Post(func() { w.lost(l, epoch) })
				return nil
			})
			if !nc.IsActive() {
				loop.Post(func() { w.lost(l, epoch) })
			}
			if w.whole {
				w.ask(l, PathTargets)
			} else {
				w.follow(l)
			}
			w.listen(l)
		})
	}()
}

// closeLate ends a connection that came up when nobody wanted it any more. Its listener may have had it for long: like any
// other that ends it has its line in the log.
func (w *watch) closeLate(nc netpoll.Connection, address string) {
	reason := link.Moved
	if w.stopped {
		reason = link.ShutDown
	}
	nc.Close()
	link.LogEnd(w.f.log, "discovery", address, reason, 0, 0)
}

// ask sends a call, whose answer has to begin in time.
func (w *watch) ask(l *link.Link, target string) {
	l.Send(w.f.loop, link.Outgoing{Message: http1.AppendRequest(nil, "GET", target, w.address, -1, nil)})
	w.begun = false
	w.calls++
	w.awaitAnswer(l, w.calls, w.stream.answers.Decoded())
}

// awaitAnswer ends a call whose answer has not begun in time. That of the whole list has when the list has come; as long
// as more of its endpoints have, it is waited for.
func (w *watch) awaitAnswer(l *link.Link, call int, decoded uint64) {
	w.f.loop.At(w.f.loop.Now()+w.first(), func() {
		if l != w.link || call != w.calls || w.begun {
			return
		}
		if now := w.stream.answers.Decoded(); now > decoded {
			w.awaitAnswer(l, call, now)
			return
		}
		l.Close(link.NoAnswer)
	})
}

// first is how long an answer may take to begin.
func (w *watch) first() core.Time {
	if w.f.conf.Pushed {
		return agentFirst(w.f.conf.Settings.DrainGrace)
	}
	return watchFirst
}

func (w *watch) follow(l *link.Link) {
	w.ask(l, PathTargets+"?watch=1&after="+strconv.FormatInt(w.version, 10))
}

// listen closes a watch that has fallen silent: a broken path tells nothing.
func (w *watch) listen(l *link.Link) {
	due := w.silentAt()
	w.f.loop.At(due, func() {
		switch {
		case l.Ended || l != w.link:
		case w.f.loop.Now() >= w.silentAt():
			l.Close(link.NoAnswer)
		default:
			w.listen(l)
		}
	})
}

// silentAt is when the watch counts as silent if nothing more comes.
func (w *watch) silentAt() core.Time {
	return min(max(w.heard, w.went)+watchSilence, w.heard+watchList)
}

// alive takes a sign of life: an answer has begun, although its first line may be seconds away.
func (w *watch) alive(l *link.Link) {
	if l == w.link {
		w.heard, w.begun, w.stuck, w.fails = w.f.loop.Now(), true, 0, 0
	}
}

// check ends a watch that has stopped in the middle of something: what is behind it would come too late.
func (w *watch) check() {
	l, now := w.link, w.f.loop.Now()
	switch {
	case l == nil || l.Closed || l.Ended:
	case w.stream.answers.Decoded() != w.decoded: // a list goes on
		w.decoded, w.went, w.stuck = w.stream.answers.Decoded(), now, 0
	case !w.partial && l.NC.Reader().Len() == 0:
		w.stuck = 0
	case w.stuck == 0:
		w.stuck = now
	case now-w.stuck > watchPart:
		l.Close(link.NoAnswer)
	}
}

func (w *watch) lost(l *link.Link, epoch int) {
	if !l.Farewell(w.f.log, w.f.loop.Now()) {
		return
	}
	if epoch == w.epoch {
		w.again(epoch)
	}
}

func (w *watch) stop() {
	w.stopped = true
	if w.link != nil {
		w.link.Close(link.ShutDown)
	}
}

// take has a line of the watch, or the whole list that was asked for first, after which the watch follows on the same
// connection.
func (w *watch) take(l *link.Link, line discovery.Line) {
	asked := w.whole
	if l != w.link {
		return // of an address that was left
	}
	taken := w.update(l, line)
	switch {
	case !asked:
	case taken:
		w.follow(l)
	default:
		l.Close(link.BadInput)
	}
}

// update takes a line of the watch. A bad one is logged, and the last good list stands.
func (w *watch) update(l *link.Link, line discovery.Line) (taken bool) {
	w.alive(l)
	l.Count++
	update, err := line.Update, line.Err
	if update == nil && err == nil {
		return false
	}
	if err == nil && w.whole && !update.Whole {
		err = errors.New("not the whole list, which was asked for")
	}
	if err != nil {
		w.f.log.Warn("discovery: bad line kept out", "error", err)
		return false
	}
	w.version, w.whole = update.Version, false
	w.f.workerStarts.Settle(update, w.f.loop.Now(), !w.f.hasReceivedList)
	w.f.hasReceivedList = true
	w.f.pool.addresses(update)
	form := rules.ListDelta
	if update.Whole {
		form = rules.ListFull
	}
	w.f.core.UpdateWorkerList(w.f, form, update.Workers)
	w.f.markReady()
	return true
}
