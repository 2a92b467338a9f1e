package ownership

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AllKinds stands for the workers of all kinds together.
const AllKinds = -1

const (
	spanGrowStep   = 1.0 / 8  // of the span, each Settings.AdjustEvery
	spanShrinkStep = 1.0 / 32 // the same
	// keepDivided is the part of the least share down to which a kind that is divided stays so: a list that grows and
	// shrinks by a few workers would move all of them otherwise.
	undivideFraction = 0.8
	// coldSenders is the number of schedulers that may send to a cold worker while they differ about the membership:
	// the one that owned it and the one that does now.
	maxColdSenders = 2
	// nearer is the logarithm of the factor by which a member of a worker's zone weighs more than others. Nearly all
	// of a zone's workers are its members', unless those have far more workers for their jobs than others have.
	ownZoneBonus = 5.3
	updateTurns  = 16 // turns in which all workers are brought up to date

	minForeignChange = 0.02 // a change of Division.Foreign under it is not told
)

// Table knows all workers and which of them are this scheduler's share. One goroutine at a time uses it.
type Table struct {
	cfg               Settings
	actions           Actions
	members           members
	byName            map[string]int // places in workers
	workers           []worker
	kinds             map[int]*kind
	span              float64
	zoneBonus         float64 // what a member of a worker's zone has more in the worker's order
	adjustAt          Time    // when the span is looked at next
	updatedCount      int     // workers that were brought up to date in this round
	positionsComputed uint64  // orders that were worked out, so far
	reported          map[int]Division
	omittedCount      int
	isLeaving         bool
}

type worker struct {
	Worker
	hash       uint64
	spanOffset float64 // from 0 to under 1: how far within a whole step of the span the worker lies
	position
	kind     *kind
	inShare  bool
	isListed bool
}

// order is this scheduler's place in a worker's order, as it was when it was last worked out.
type position struct {
	membersAhead int     // live members that come before this scheduler
	margin       float64 // between its score and the best of the others': so far weights may move without changing the owner
	epoch        int     // of the members, then
	drift        float64 // the same
}

type kind struct {
	count     int
	inShare   int
	isDivided bool
}

// New makes a table without workers. The settings must have passed Check.
func New(set Settings, now Time, act Actions) *Table {
	t := &Table{cfg: set.withDefaults(), actions: act, byName: map[string]int{}, kinds: map[int]*kind{}, span: 1, adjustAt: now,
		reported: map[int]Division{}}
	t.members = newMembers(&t.cfg, now)
	if t.cfg.PrefersOwnZone {
		t.zoneBonus = ownZoneBonus
	}
	return t
}

// Span is how far down the workers' orders the scheduler goes at present.
func (t *Table) Span() float64 { return t.span }

// Weight is this scheduler's against that of others, by which its share is larger or smaller; 1: as much.
func (t *Table) Weight() float64 { return math.Exp(t.members.self().weight) }

// Live is the number of members taken to be alive, this scheduler among them.
func (t *Table) LiveMembers() int { return t.members.liveCount }

// Held is the number of workers of the share, and Size that of all.
func (t *Table) ShareSize() (held, size int) {
	for _, k := range t.kinds {
		held += k.inShare
	}
	return held, len(t.workers)
}

// LeftOut is the number of workers that were not taken on, for being over MostWorkers.
func (t *Table) OmittedWorkers() int { return t.omittedCount }

// Holds tells whether the scheduler may send to the worker.
func (t *Table) InShare(name string) bool {
	at, known := t.byName[name]
	return known && t.workers[at].inShare
}

// Listed takes news of the workers. Whether those that it names are part of the share is decided at once, without
// Enter and Leave: the host asks Holds for each. What follows for others comes with the next Turn.
func (t *Table) UpdateWorkers(now Time, u Update) {
	if u.IsSnapshot {
		for i := range t.workers {
			t.workers[i].isListed = false
		}
	}
	for _, w := range u.Listed {
		t.upsert(w)
	}
	for _, name := range u.Removed {
		t.remove(name)
	}
	if u.IsSnapshot {
		t.removeUnlisted()
	}
	t.updateDivisions()
	for _, w := range u.Listed {
		if at, known := t.byName[w.Name]; known {
			t.setInShare(at, t.belongsToShare(now, &t.workers[at]))
		}
	}
}

func (t *Table) removeUnlisted() {
	var gone []string
	for i := range t.workers {
		if !t.workers[i].isListed {
			gone = append(gone, t.workers[i].Name)
		}
	}
	for _, name := range gone {
		t.remove(name)
	}
}

// put adds a worker or brings it up to date.
func (t *Table) upsert(w Worker) {
	at, known := t.byName[w.Name]
	if !known {
		if len(t.workers) >= MaxWorkers {
			t.omittedCount++
			return
		}
		at = len(t.workers)
		t.byName[w.Name] = at
		hash := xxhash.Sum64String(w.Name)
		t.workers = append(t.workers, worker{hash: hash, spanOffset: pairFraction(hash, t.members.byRank[t.cfg.Rank].hash)})
	}
	x := &t.workers[at]
	if known && x.Kind != w.Kind {
		t.countKind(x, -1)
	}
	if !known || x.Kind != w.Kind {
		x.Kind = w.Kind
		t.countKind(x, 1)
	}
	moved := !known || x.Zone != w.Zone
	x.Worker, x.isListed = w, true
	if moved {
		x.position = t.computePosition(x)
	}
}

// count counts the worker among those of its kind, or no more.
func (t *Table) countKind(w *worker, one int) {
	k := t.kinds[w.Kind]
	if k == nil {
		k = &kind{}
		t.kinds[w.Kind] = k
	}
	w.kind = k
	k.count += one
	if w.inShare {
		k.inShare += one
	}
	if k.count == 0 {
		delete(t.kinds, w.Kind)
	}
}

func (t *Table) remove(name string) {
	at, known := t.byName[name]
	if !known {
		return
	}
	t.countKind(&t.workers[at], -1)
	delete(t.byName, name)
	last := len(t.workers) - 1
	if at != last {
		t.workers[at] = t.workers[last]
		t.byName[t.workers[at].Name] = at
	}
	t.workers[last] = worker{}
	t.workers = t.workers[:last]
}

// divide tells for each kind whether it has enough workers to be divided.
func (t *Table) updateDivisions() {
	for _, k := range t.kinds {
		least := float64(t.cfg.MinShare * t.cfg.Members)
		if k.isDivided {
			least *= undivideFraction
		}
		k.isDivided = t.cfg.Members > 1 && float64(k.count) >= least
	}
}

// wants tells whether a worker belongs to the share. A cold one is its owner's alone, and nobody's new one before the
// membership is settled: the sum of what several send is what would push it over.
func (t *Table) belongsToShare(now Time, w *worker) bool {
	if !w.kind.isDivided {
		return true
	}
	if w.StartedAt > 0 && now-w.StartedAt < t.cfg.SlowStartWindow {
		return w.membersAhead == 0 && (w.inShare || now >= t.members.settledAt)
	}
	return float64(w.membersAhead)+w.spanOffset < t.span
}

// hold takes a worker into the share or out of it, and tells whether that changed anything.
func (t *Table) setInShare(at int, held bool) (changed bool) {
	w := &t.workers[at]
	if w.inShare == held {
		return false
	}
	w.inShare = held
	if held {
		w.kind.inShare++
	} else {
		w.kind.inShare--
	}
	return true
}

// Heard takes a heartbeat of another member.
func (t *Table) HandleHeartbeat(now Time, rank int, h Heartbeat) {
	if was, is := t.members.handleHeartbeat(now, rank, h); was != is {
		t.actions.MemberChanged(rank, is)
	}
}

// Leave tells the other members that this one ends: its workers are theirs from now on, while it goes on with those
// that it holds.
func (t *Table) AnnounceLeaving() {
	if t.isLeaving = true; t.cfg.UsesHeartbeats && t.IsDivided() {
		t.actions.Broadcast(t.newHeartbeat(true))
	}
}

// Turn does what is due and gives the time at which it wants to be called again. Occupied is the part of the share's
// slots that this scheduler's own jobs take, from 0 to 1 and over.
func (t *Table) Turn(now Time, occupied float64) (next Time) {
	t.members.resumeAfterPause(now)
	for _, rank := range t.members.expire(now) {
		t.actions.MemberChanged(rank, false)
	}
	if now >= t.adjustAt {
		t.adjustAt = now + t.cfg.AdjustInterval
		if !t.cfg.UsesHeartbeats {
			t.adjustSpan(occupied)
		}
		t.reportDivisions()
	}
	if t.cfg.UsesHeartbeats && now >= t.members.nextHeartbeat {
		t.members.nextHeartbeat = now + t.cfg.HeartbeatInterval
		if t.IsDivided() && !t.isLeaving {
			t.members.adjustWeight(occupied)
			t.actions.Broadcast(t.newHeartbeat(false))
		}
	}
	if t.IsDivided() {
		t.update(now, (len(t.workers)+updateTurns-1)/updateTurns)
		return now + t.cfg.AdjustInterval/updateTurns
	}
	t.update(now, len(t.workers))
	if t.cfg.UsesHeartbeats {
		return min(t.adjustAt, t.members.nextHeartbeat)
	}
	return t.adjustAt
}

func (t *Table) newHeartbeat(leaving bool) Heartbeat {
	self := t.members.self()
	return Heartbeat{Zone: self.zone, Weight: self.weight, Utilization: self.utilization, IsLeaving: leaving}
}

// Divided tells whether workers of any kind are divided.
func (t *Table) IsDivided() bool {
	for _, k := range t.kinds {
		if k.isDivided {
			return true
		}
	}
	return false
}

func (t *Table) adjustSpan(occupied float64) {
	switch {
	case occupied > t.cfg.GrowAbove:
		t.span += spanGrowStep
	case occupied < t.cfg.ShrinkBelow:
		t.span -= spanShrinkStep
	}
	t.span = min(max(1, t.span), float64(t.members.liveCount))
}

// update brings the next so many workers up to date: what has changed of the members and weights reaches all workers
// within Settings.AdjustEvery, and no turn takes long.
func (t *Table) update(now Time, count int) {
	if t.updatedCount == 0 {
		t.members.applyWeights()
	}
	first := t.updatedCount
	t.updatedCount = min(len(t.workers), first+count)
	for at := first; at < t.updatedCount; at++ {
		w := &t.workers[at]
		if w.kind.isDivided && t.isStale(&w.position) {
			w.position = t.computePosition(w)
		}
		if !t.setInShare(at, t.belongsToShare(now, w)) {
			continue
		}
		if w.inShare {
			t.actions.AcquireWorker(w.Name)
		} else {
			t.actions.ReleaseWorker(w.Name)
		}
	}
	if t.updatedCount >= len(t.workers) {
		t.updatedCount = 0
	}
}

// tell tells the host of divisions that have changed, of each kind and of all together.
func (t *Table) reportDivisions() {
	foreign := 1 - 1/t.span
	all := Division{Kind: AllKinds}
	held := 0
	for _, number := range t.kindNumbers() {
		k := t.kinds[number]
		d := Division{Kind: number, ColdSenders: t.cfg.Members, ForeignLoad: 1}
		if k.isDivided {
			d = Division{Kind: number, IsDivided: true, ColdSenders: maxColdSenders, ForeignLoad: foreign}
			all.IsDivided = true
		}
		all.ForeignLoad += d.ForeignLoad * float64(k.inShare)
		all.ColdSenders = max(all.ColdSenders, d.ColdSenders)
		held += k.inShare
		t.reportDivision(d)
	}
	if held > 0 {
		all.ForeignLoad /= float64(held)
		t.reportDivision(all)
	}
}

func (t *Table) kindNumbers() []int {
	numbers := make([]int, 0, len(t.kinds))
	for number := range t.kinds {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

func (t *Table) reportDivision(d Division) {
	last, known := t.reported[d.Kind]
	if !known && !d.IsDivided {
		return // as at the start
	}
	if known && last.IsDivided == d.IsDivided && last.ColdSenders == d.ColdSenders && math.Abs(last.ForeignLoad-d.ForeignLoad) < minForeignChange {
		return
	}
	t.reported[d.Kind] = d
	t.actions.SetDivision(d)
}

// stale tells whether the owner of a worker may have changed since its order was worked out.
func (t *Table) isStale(o *position) bool {
	return o.epoch != t.members.epoch || t.members.drift-o.drift >= o.margin
}

// order works out this scheduler's place in a worker's order.
func (t *Table) computePosition(w *worker) position {
	t.positionsComputed++
	o := position{margin: math.Inf(1), epoch: t.members.epoch, drift: t.members.drift}
	own := priorityOf(t.members.self(), w.hash, w.Zone, t.zoneBonus)
	best := math.Inf(-1)
	for rank := range t.members.byRank {
		m := &t.members.byRank[rank]
		if rank == t.cfg.Rank || !m.isAlive {
			continue
		}
		other := priorityOf(m, w.hash, w.Zone, t.zoneBonus)
		if other.precedes(own) {
			o.membersAhead++
		}
		best = max(best, other.score)
	}
	o.margin = math.Abs(own.score - best)
	return o
}
