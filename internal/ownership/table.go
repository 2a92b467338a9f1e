package ownership

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AllKinds denotes the workers of all kinds together.
const AllKinds = -1

const (
	spanGrowStep   = 1.0 / 8  // added to the span per Settings.AdjustInterval
	spanShrinkStep = 1.0 / 32 // subtracted from it
	// undivideFraction is the fraction of Settings.MinShare below which a divided kind becomes undivided. Without this
	// hysteresis a list that grows and shrinks by a few workers would move all of them.
	undivideFraction = 0.8
	// maxColdSenders is the number of schedulers that may send to a cold worker while their views of the membership
	// differ: its previous owner and its current one.
	maxColdSenders = 2
	// ownZoneBonus is the logarithm of the factor by which a member's weight is greater for workers in its zone. Nearly
	// all workers of a zone are owned by its members, unless these have far more workers for their jobs than others.
	ownZoneBonus = 5.3
	updateTurns  = 16 // number of turns in which all workers are updated once

	minForeignChange = 0.02 // smaller changes of Division.ForeignLoad are not reported
)

// Table holds all workers and decides which of them form this scheduler's share. It is not safe for concurrent use.
type Table struct {
	cfg               Settings
	actions           Actions
	members           members
	byName            map[string]int // indices in workers
	workers           []worker
	kinds             map[int]*kind
	span              float64
	zoneBonus         float64 // added to the score of members in a worker's zone
	adjustAt          Time    // time of the next adjustment of the span
	updatedCount      int     // workers updated in the current round
	positionsComputed uint64  // total, for tests
	reported          map[int]Division
	omittedCount      int
	isLeaving         bool
}

type worker struct {
	Worker
	hash       uint64
	spanOffset float64 // in [0, 1): spreads the workers of one position over a whole step of the span
	position
	kind     *kind
	inShare  bool
	isListed bool
}

// position is this scheduler's position in a worker's ranking when it was last computed.
type position struct {
	membersAhead int     // live members ranked before this scheduler
	margin       float64 // difference to the best other score; the owner can't change while drift grows by less
	epoch        int     // members.epoch at that time
	drift        float64 // members.drift at that time
}

type kind struct {
	count     int
	inShare   int
	isDivided bool
}

// New returns a table without workers. The settings must have passed Check.
func New(settings Settings, now Time, actions Actions) *Table {
	t := &Table{cfg: settings.withDefaults(), actions: actions, byName: map[string]int{}, kinds: map[int]*kind{}, span: 1, adjustAt: now,
		reported: map[int]Division{}}
	t.members = newMembers(&t.cfg, now)
	if t.cfg.PrefersOwnZone {
		t.zoneBonus = ownZoneBonus
	}
	return t
}

// Span returns the number of positions in the workers' rankings that the share covers, from 1 to the number of members.
func (t *Table) Span() float64 { return t.span }

// Weight returns this scheduler's weight, to which the size of its share is proportional; 1 is neutral.
func (t *Table) Weight() float64 { return math.Exp(t.members.self().weight) }

// LiveMembers returns the number of live members, including this scheduler.
func (t *Table) LiveMembers() int { return t.members.liveCount }

// ShareSize returns the number of workers in the share and in the whole table.
func (t *Table) ShareSize() (inShare, total int) {
	for _, k := range t.kinds {
		inShare += k.inShare
	}
	return inShare, len(t.workers)
}

// OmittedWorkers returns how many times a worker was omitted because the table held MaxWorkers already.
func (t *Table) OmittedWorkers() int { return t.omittedCount }

// InShare reports whether the scheduler may send to the worker.
func (t *Table) InShare(name string) bool {
	index, known := t.byName[name]
	return known && t.workers[index].inShare
}

// UpdateWorkers applies a worker list update. It decides at once whether the listed workers are in the share, without
// calling AcquireWorker or ReleaseWorker: the host calls InShare for each. Consequences for other workers follow in the
// next turns.
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
		if index, known := t.byName[w.Name]; known {
			t.setInShare(index, t.belongsToShare(now, &t.workers[index]))
		}
	}
}

func (t *Table) removeUnlisted() {
	var unlisted []string
	for i := range t.workers {
		if !t.workers[i].isListed {
			unlisted = append(unlisted, t.workers[i].Name)
		}
	}
	for _, name := range unlisted {
		t.remove(name)
	}
}

// upsert adds a worker or updates it.
func (t *Table) upsert(w Worker) {
	index, known := t.byName[w.Name]
	if !known {
		if len(t.workers) >= MaxWorkers {
			t.omittedCount++
			return
		}
		index = len(t.workers)
		t.byName[w.Name] = index
		hash := xxhash.Sum64String(w.Name)
		t.workers = append(t.workers, worker{hash: hash, spanOffset: pairFraction(hash, t.members.byRank[t.cfg.Rank].hash)})
	}
	entry := &t.workers[index]
	if known && entry.Kind != w.Kind {
		t.countKind(entry, -1)
	}
	if !known || entry.Kind != w.Kind {
		entry.Kind = w.Kind
		t.countKind(entry, 1)
	}
	zoneChanged := !known || entry.Zone != w.Zone
	entry.Worker, entry.isListed = w, true
	if zoneChanged {
		entry.position = t.computePosition(entry)
	}
}

// countKind adds delta, 1 or -1, for the worker to the counts of its kind.
func (t *Table) countKind(w *worker, delta int) {
	k := t.kinds[w.Kind]
	if k == nil {
		k = &kind{}
		t.kinds[w.Kind] = k
	}
	w.kind = k
	k.count += delta
	if w.inShare {
		k.inShare += delta
	}
	if k.count == 0 {
		delete(t.kinds, w.Kind)
	}
}

func (t *Table) remove(name string) {
	index, known := t.byName[name]
	if !known {
		return
	}
	t.countKind(&t.workers[index], -1)
	delete(t.byName, name)
	last := len(t.workers) - 1
	if index != last {
		t.workers[index] = t.workers[last]
		t.byName[t.workers[index].Name] = index
	}
	t.workers[last] = worker{}
	t.workers = t.workers[:last]
}

// updateDivisions decides for each kind whether it has enough workers to be divided.
func (t *Table) updateDivisions() {
	for _, k := range t.kinds {
		minWorkers := float64(t.cfg.MinShare * t.cfg.Members)
		if k.isDivided {
			minWorkers *= undivideFraction
		}
		k.isDivided = t.cfg.Members > 1 && float64(k.count) >= minWorkers
	}
}

// belongsToShare reports whether a worker belongs to the share. A cold worker belongs to its owner only, and is not
// acquired before the membership has settled: the sum of what several schedulers send would overload it.
func (t *Table) belongsToShare(now Time, w *worker) bool {
	if !w.kind.isDivided {
		return true
	}
	if w.StartedAt > 0 && now-w.StartedAt < t.cfg.SlowStartWindow {
		return w.membersAhead == 0 && (w.inShare || now >= t.members.settledAt)
	}
	return float64(w.membersAhead)+w.spanOffset < t.span
}

// setInShare adds a worker to the share or removes it, and reports whether that was a change.
func (t *Table) setInShare(index int, inShare bool) (changed bool) {
	w := &t.workers[index]
	if w.inShare == inShare {
		return false
	}
	w.inShare = inShare
	if inShare {
		w.kind.inShare++
	} else {
		w.kind.inShare--
	}
	return true
}

// HandleHeartbeat processes a heartbeat of another member. A rank that is out of range or this scheduler's is ignored.
func (t *Table) HandleHeartbeat(now Time, rank int, h Heartbeat) {
	if wasAlive, isAlive := t.members.handleHeartbeat(now, rank, h); wasAlive != isAlive {
		t.actions.MemberChanged(rank, isAlive)
	}
}

// AnnounceLeaving reports to the other members that this scheduler shuts down. They own its workers from then on, while
// it continues to use the workers in its share.
func (t *Table) AnnounceLeaving() {
	if t.isLeaving = true; t.cfg.UsesHeartbeats && t.IsDivided() {
		t.actions.Broadcast(t.newHeartbeat(true))
	}
}

// Turn performs the work that is due and returns the time of the next call. utilization is the fraction of the share's
// slots that this scheduler's own jobs occupy; it may exceed 1.
func (t *Table) Turn(now Time, utilization float64) (next Time) {
	t.members.resumeAfterPause(now)
	for _, rank := range t.members.expire(now) {
		t.actions.MemberChanged(rank, false)
	}
	if now >= t.adjustAt {
		t.adjustAt = now + t.cfg.AdjustInterval
		if !t.cfg.UsesHeartbeats {
			t.adjustSpan(utilization)
		}
		t.reportDivisions()
	}
	if t.cfg.UsesHeartbeats && now >= t.members.nextHeartbeat {
		t.members.nextHeartbeat = now + t.cfg.HeartbeatInterval
		if t.IsDivided() && !t.isLeaving {
			t.members.adjustWeight(utilization)
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

func (t *Table) newHeartbeat(isLeaving bool) Heartbeat {
	self := t.members.self()
	return Heartbeat{Zone: self.zone, Weight: self.weight, Utilization: self.utilization, IsLeaving: isLeaving}
}

// IsDivided reports whether any kind of workers is divided.
func (t *Table) IsDivided() bool {
	for _, k := range t.kinds {
		if k.isDivided {
			return true
		}
	}
	return false
}

func (t *Table) adjustSpan(utilization float64) {
	switch {
	case utilization > t.cfg.GrowAbove:
		t.span += spanGrowStep
	case utilization < t.cfg.ShrinkBelow:
		t.span -= spanShrinkStep
	}
	t.span = min(max(1, t.span), float64(t.members.liveCount))
}

// update updates the next count workers. Changes of members and weights thereby reach all workers within
// Settings.AdjustInterval, and no single turn takes long.
func (t *Table) update(now Time, count int) {
	if t.updatedCount == 0 {
		t.members.applyWeights()
	}
	first := t.updatedCount
	t.updatedCount = min(len(t.workers), first+count)
	for index := first; index < t.updatedCount; index++ {
		w := &t.workers[index]
		if w.kind.isDivided && t.isStale(&w.position) {
			w.position = t.computePosition(w)
		}
		if !t.setInShare(index, t.belongsToShare(now, w)) {
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

// reportDivisions reports changed divisions to the host, for each kind and for all kinds together.
func (t *Table) reportDivisions() {
	foreignLoad := 1 - 1/t.span
	all := Division{Kind: AllKinds}
	inShare := 0
	for _, number := range t.kindNumbers() {
		k := t.kinds[number]
		d := Division{Kind: number, ColdSenders: t.cfg.Members, ForeignLoad: 1}
		if k.isDivided {
			d = Division{Kind: number, IsDivided: true, ColdSenders: maxColdSenders, ForeignLoad: foreignLoad}
			all.IsDivided = true
		}
		all.ForeignLoad += d.ForeignLoad * float64(k.inShare)
		all.ColdSenders = max(all.ColdSenders, d.ColdSenders)
		inShare += k.inShare
		t.reportDivision(d)
	}
	if inShare > 0 {
		all.ForeignLoad /= float64(inShare)
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
		return // undivided is the initial state
	}
	if known && last.IsDivided == d.IsDivided && last.ColdSenders == d.ColdSenders && math.Abs(last.ForeignLoad-d.ForeignLoad) < minForeignChange {
		return
	}
	t.reported[d.Kind] = d
	t.actions.SetDivision(d)
}

// isStale reports whether a worker's owner may have changed since the position was computed.
func (t *Table) isStale(p *position) bool {
	return p.epoch != t.members.epoch || t.members.drift-p.drift >= p.margin
}

// computePosition computes this scheduler's position in a worker's ranking.
func (t *Table) computePosition(w *worker) position {
	t.positionsComputed++
	p := position{margin: math.Inf(1), epoch: t.members.epoch, drift: t.members.drift}
	own := priorityOf(t.members.self(), w.hash, w.Zone, t.zoneBonus)
	best := math.Inf(-1)
	for rank := range t.members.byRank {
		m := &t.members.byRank[rank]
		if rank == t.cfg.Rank || !m.isAlive {
			continue
		}
		other := priorityOf(m, w.hash, w.Zone, t.zoneBonus)
		if other.precedes(own) {
			p.membersAhead++
		}
		best = max(best, other.score)
	}
	p.margin = math.Abs(own.score - best)
	return p
}
