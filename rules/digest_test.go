package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"runtime"
	"testing"
)

// Three dispatchers share workers that are slow, silent, failing, restarted and replaced, all drawn from a fixed
// seed. Every action that they emit is added to a digest, which shows whether a change of data structures has changed
// any decision.

// digestVariant is one variant of the settings, with the digest recorded for it.
type digestVariant struct {
	name    string
	workers int
	steps   int
	change  func(*Settings)
	digest  string
}

// The digests were recorded at revision 0606057, before lists of pending work replaced walks over all workers and
// requests. A change that is meant to change decisions records them again.
var digestVariants = []digestVariant{
	{name: "small", workers: 12, steps: 12000, change: func(*Settings) {}, digest: "e5fcb95e35bfc45dbaf94aea"},
	{name: "peers", workers: 30, steps: 12000, change: func(s *Settings) { s.MayBroadcast = true }, digest: "64349882aeac2bf9b9747bc9"},
	{name: "peers and probes", workers: 60, steps: 12000, change: func(s *Settings) {
		s.MayBroadcast, s.MayProbe, s.LoadInProbes, s.MayHedge = true, true, true, true
	}, digest: "895f7c361ccbe7efb5bca23a"},
	{name: "weights", workers: 40, steps: 12000, change: func(s *Settings) {
		s.WeightsAreSize, s.MayProbe, s.LoadInAnswers, s.CrossZoneCost = true, true, true, 0.1
	}, digest: "79b13c4aa46cb5624a346e68"},
	{name: "notes", workers: 200, steps: 12000, change: func(s *Settings) {
		s.MayBroadcast, s.MayProbe, s.ReportsStart, s.ProgressInterval, s.MayHedge = true, true, true, 100*ms, true
	}, digest: "7e215c91ebd11239294cdc7f"},
}

// digestRun runs one variant.
type digestRun struct {
	rng     *rand.Rand
	set     Settings
	now     Time
	members []*digestMember
	entries []ListEntry
	log     hash.Hash
	actions int
	lastID  int // the number of the next request
}

// digestMember is a dispatcher; it implements Actions.
type digestMember struct {
	*Dispatcher
	run        *digestRun
	rank       int
	timers     []Time
	open       []digestAttempt
	sent       map[RequestID]int
	closed     map[RequestID]bool
	probing    []WorkerID
	broadcasts [][]byte
}

// digestAttempt is an outstanding attempt.
type digestAttempt struct {
	request RequestID
	number  int
	worker  WorkerID
	sent    Time
}

// logAction adds a line to the digest.
func (m *digestMember) logAction(format string, args ...any) {
	m.run.actions++
	fmt.Fprintf(m.run.log, "%d %d ", m.run.now, m.rank)
	fmt.Fprintf(m.run.log, format+"\n", args...)
}

func (m *digestMember) Send(r RequestID, until Time, w WorkerID) {
	m.logAction("send %s %d %s", r, until, w)
	m.open = append(m.open, digestAttempt{r, m.sent[r], w, m.run.now})
	m.sent[r]++
}
func (m *digestMember) Cancel(r RequestID, attempt int) { m.logAction("cancel %s %d", r, attempt) }
func (m *digestMember) Refuse(r RequestID, after Time, _ Reason) {
	m.logAction("refuse %s %d", r, after)
	m.closed[r] = true
}
func (m *digestMember) Fail(r RequestID, _ Reason) {
	m.logAction("fail %s", r)
	m.closed[r] = true
}
func (m *digestMember) Timer(delay Time, token uint64) {
	m.logAction("timer %d %d", delay, token)
	m.timers = append(m.timers, m.run.now+delay)
}
func (m *digestMember) Probe(w WorkerID) {
	m.logAction("probe %s", w)
	m.probing = append(m.probing, w)
}
func (m *digestMember) Broadcast(data []byte) {
	m.logAction("tell %x", data)
	m.broadcasts = append(m.broadcasts, data)
}
func (m *digestMember) Watch(on bool)   { m.logAction("watch %v", on) }
func (m *digestMember) Fetch()          { m.logAction("fetch") }
func (m *digestMember) Log(text string) { m.logAction("log %s", text) }

func digestSettings() Settings {
	return Settings{Zones: 2, Kinds: 2, GroupSize: 3, MaxAttempts: 4, MayCancel: true, PullsList: true,
		AnswerSlack: 16 * ms, SlowStartMinCapacity: 0.3, SlowStartWindow: 3000 * ms, OverloadFactor: 3, RetryAfter: true,
		OverQuotaValue: 0.5, PeerMessageCost: 0.0001, ProbeCost: 0.001, ConnectTimeout: 20 * ms,
		Tenants: []Tenant{{QuotaPerS: 400}, {}},
		Classes: []Class{
			{LatencyTarget: 150 * ms, TargetStretch: 1, Deadline: 1500 * ms, Effect: Repeatable, Kind: -1},
			{LatencyTarget: 300 * ms, TargetStretch: 2, Deadline: 2500 * ms, Effect: Once, Kind: 0, Value: 3},
			{LatencyTarget: 200 * ms, TargetStretch: 1, Deadline: 2000 * ms, Effect: Keyed, Group: GroupZone, Window: 900 * ms, Kind: 1},
		}}
}

func newDigestRun(v *digestVariant, seed uint64) *digestRun {
	run := &digestRun{rng: rand.New(rand.NewPCG(seed, 20)), set: digestSettings(), now: 1_000_000_000, log: sha256.New()}
	v.change(&run.set)
	for i := range v.workers {
		run.entries = append(run.entries, run.newEntry(i))
	}
	for rank := range run.set.GroupSize {
		m := &digestMember{run: run, rank: rank, sent: map[RequestID]int{}, closed: map[RequestID]bool{}}
		s := run.set
		s.Rank, s.Zone = rank, rank%2
		m.Dispatcher = New(s, seed+uint64(rank), run.now, m)
		m.List(run.now, &List{Form: ListCached, Entries: run.entries})
		run.members = append(run.members, m)
	}
	return run
}

func (run *digestRun) newEntry(i int) ListEntry {
	weights := []float64{1, 1, 2, 0.7, 3.3}
	return ListEntry{Worker: WorkerID(fmt.Sprint("w", i)), Zone: i % 2, Kind: i / 2 % 2, Cell: i / 4,
		Weight: weights[run.rng.IntN(len(weights))]}
}

// changeList changes some workers at random, and passes them as a delta or with the whole list, or a failed poll.
func (run *digestRun) changeList() {
	form := []ListForm{ListDelta, ListDelta, ListDelta, ListFull, ListCached, ListFailed}[run.rng.IntN(6)]
	l := &List{Form: form}
	for range 1 + run.rng.IntN(3) {
		e := &run.entries[run.rng.IntN(len(run.entries))]
		switch run.rng.IntN(6) {
		case 0:
			e.State = Draining
		case 1:
			e.State = Gone
		case 2:
			e.StartedAt, e.State = run.now, Ready
		case 3: // another worker replaces it
			old := *e
			old.State = Gone
			l.Entries = append(l.Entries, old)
			run.lastID++
			*e = run.newEntry(1000 + run.lastID)
		case 4:
			e.Weight, e.Kind = e.Weight*1.25, 1-e.Kind
		default:
			e.State = Ready
		}
		l.Entries = append(l.Entries, *e)
	}
	if form == ListFull || form == ListCached {
		l.Entries = nil
		for _, e := range run.entries {
			if e.State != Gone || run.rng.IntN(2) == 0 {
				l.Entries = append(l.Entries, e)
			}
		}
	}
	for _, m := range run.members {
		m.List(run.now, l)
	}
}

// advance advances the clock and delivers the timers that become due and the broadcasts, some of which are lost.
func (run *digestRun) advance(by Time) {
	run.now += by
	for _, m := range run.members {
		due := false
		kept := m.timers[:0]
		for _, at := range m.timers {
			if at <= run.now {
				due = true
			} else {
				kept = append(kept, at)
			}
		}
		if m.timers = kept; due {
			m.TimerDue(run.now, 0)
		}
	}
	for _, from := range run.members {
		messages := from.broadcasts
		from.broadcasts = nil
		for _, data := range messages {
			for _, to := range run.members {
				if to != from && run.rng.IntN(12) > 0 {
					to.PeerMessage(run.now, from.rank, data)
				}
			}
		}
	}
}

// drawLoad draws a load report.
func (run *digestRun) drawLoad() Load {
	l := Load{Queue: float64(run.rng.IntN(3)), InFlight: float64(run.rng.IntN(6)), FreeSlots: 4 * run.rng.Float64()}
	l.Has = LoadField(run.rng.IntN(16))
	return l
}

// workerHealth returns how a worker ends its attempts now, by a hash of its id and by the time: some are silent, some
// slow, some fail, and which ones changes every four seconds.
func (run *digestRun) workerHealth(w WorkerID) (silent, slow, failing bool) {
	n := uint64(hashID(w)) + uint64(run.now/(4000*ms))
	return n%11 == 0, n%7 == 1, n%13 == 2
}

// endOneAttempt draws progress or the outcome of a random outstanding attempt.
func (run *digestRun) endOneAttempt(m *digestMember) {
	if len(m.open) == 0 {
		return
	}
	i := run.rng.IntN(len(m.open))
	a := m.open[i]
	silent, slow, failing := run.workerHealth(a.worker)
	age := run.now - a.sent
	switch {
	case silent && age < 1200*ms, slow && age < 500*ms:
		if slow && run.rng.IntN(3) == 0 {
			m.Progress(run.now, &Progress{Request: a.request, Attempt: a.number, Worker: a.worker, Started: true})
		}
		return
	case run.rng.IntN(3) == 0:
		m.Progress(run.now, &Progress{Request: a.request, Attempt: a.number, Worker: a.worker, Started: run.rng.IntN(2) == 0})
		return
	}
	m.open = append(m.open[:i], m.open[i+1:]...)
	status := OK
	switch {
	case silent:
		status = TimedOut
	case failing:
		status = []Status{Error, Reset, Unreachable}[run.rng.IntN(3)]
	case run.rng.IntN(12) == 0:
		status = Status(run.rng.IntN(int(Unknown) + 1))
	}
	if status == OK {
		m.closed[a.request] = true
	}
	m.Outcome(run.now, &Outcome{Request: a.request, Attempt: a.number, Worker: a.worker, Status: status,
		Closed: m.closed[a.request], Load: run.drawLoad()})
}

// step draws one event.
func (run *digestRun) step() {
	m := run.members[run.rng.IntN(len(run.members))]
	switch k := run.rng.IntN(40); {
	case k < 12:
		run.lastID++
		class := run.rng.IntN(len(run.set.Classes))
		m.Request(run.now, &Request{ID: RequestID(fmt.Sprint("r", run.lastID)), Class: class, Tenant: run.rng.IntN(3),
			Key: run.rng.Uint64N(25), HasKey: run.rng.IntN(5) > 0, Hint: Time(run.rng.IntN(2)) * 40 * ms,
			Slots: float64(run.rng.IntN(3)), Deadline: run.now + run.set.Classes[class].Deadline})
	case k < 26:
		run.endOneAttempt(m)
	case k == 26 && len(m.open) > 0 && run.rng.IntN(4) == 0:
		r := m.open[run.rng.IntN(len(m.open))].request
		m.closed[r] = true
		m.ClientDisconnected(run.now, r)
	case k < 29 && len(m.probing) > 0:
		w := m.probing[0]
		m.probing = m.probing[1:]
		status := OK
		if silent, _, _ := run.workerHealth(w); silent {
			status = TimedOut
		}
		m.Probed(run.now, &ProbeResult{Worker: w, Status: status, Load: run.drawLoad()})
	case k == 29 && run.rng.IntN(6) == 0:
		run.changeList()
	case k == 30 && run.rng.IntN(10) == 0:
		e := run.entries[run.rng.IntN(len(run.entries))]
		m.logAction("held %v", m.SetDisabled(run.now, e.Worker, DisabledBy(run.rng.IntN(2)), run.rng.IntN(3) == 0))
	case k == 31 && len(m.open) > 0:
		a := m.open[run.rng.IntN(len(m.open))]
		m.logAction("begin %v", m.Begin(run.now, a.request, a.number))
	default:
		run.advance(Time(run.rng.IntN(12)) * ms)
	}
}

func TestDecisionsEqualTheRecordedOnes(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the digests hold where multiplications and additions are rounded one by one")
	}
	for _, v := range digestVariants {
		t.Run(v.name, func(t *testing.T) {
			run := newDigestRun(&v, 7)
			for range v.steps {
				run.step()
				if run.rng.IntN(100) == 0 {
					m := run.members[0]
					m.logAction("avoided %d", m.OutOfRotation(run.now))
				}
			}
			if got := hex.EncodeToString(run.log.Sum(nil)[:12]); got != v.digest {
				t.Errorf("the digest of %d actions is %s, want %s as recorded", run.actions, got, v.digest)
			}
		})
	}
}
