package ownership

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scheduler is one member, with the share that results from its table's actions and its InShare.
type scheduler struct {
	t          *testing.T
	rank       int
	table      *Table
	share      map[string]bool
	divisions  map[int]Division
	heartbeats []Heartbeat
	deaths     int
}

func (s *scheduler) AcquireWorker(worker string) { s.share[worker] = true }
func (s *scheduler) ReleaseWorker(worker string) { delete(s.share, worker) }
func (s *scheduler) SetDivision(d Division)      { s.divisions[d.Kind] = d }
func (s *scheduler) Broadcast(h Heartbeat)       { s.heartbeats = append(s.heartbeats, h) }
func (s *scheduler) MemberChanged(_ int, alive bool) {
	if !alive {
		s.deaths++
	}
}

func newScheduler(t *testing.T, set Settings, now Time) *scheduler {
	t.Helper()
	require.NoError(t, set.Check())
	s := &scheduler{t: t, rank: set.Rank, share: map[string]bool{}, divisions: map[int]Division{}}
	s.table = New(set, now, s)
	return s
}

// updateWorkers applies a worker list update as the host does: it calls InShare for the listed workers.
func (s *scheduler) updateWorkers(now Time, isSnapshot bool, listed []Worker, removed ...string) {
	s.table.UpdateWorkers(now, Update{IsSnapshot: isSnapshot, Listed: listed, Removed: removed})
	if isSnapshot {
		clear(s.share)
	}
	for _, w := range listed {
		if s.table.InShare(w.Name) {
			s.share[w.Name] = true
		} else {
			delete(s.share, w.Name)
		}
	}
	for _, name := range removed {
		delete(s.share, name)
	}
}

// runTurns calls the table's Turn every 50 ms.
func (s *scheduler) runTurns(from, to Time) {
	for now := from; now <= to; now += 50 * Millisecond {
		s.table.Turn(now, 0.5)
	}
}

// fleet simulates all members in virtual time.
type fleet struct {
	t           *testing.T
	now         Time
	members     []*scheduler
	stopped     map[int]bool               // neither take turns nor receive heartbeats
	isCut       func(from, to int) bool    // whether heartbeats are lost; nil: none
	utilization func(rank int) (b float64) // of the member's share; nil: 0.5
}

func newFleet(t *testing.T, count int, set Settings) *fleet {
	f := &fleet{t: t, now: 1_000 * Second, stopped: map[int]bool{}}
	for rank := range count {
		set.Rank, set.Members = rank, count
		f.members = append(f.members, newScheduler(t, set, f.now))
	}
	return f
}

// advance advances the virtual clock in steps of 100 ms.
func (f *fleet) advance(duration Time) {
	for end := f.now + duration; f.now < end; f.now += 100 * Millisecond {
		for rank, m := range f.members {
			if f.stopped[rank] {
				continue
			}
			utilization := 0.5
			if f.utilization != nil {
				utilization = f.utilization(rank)
			}
			m.table.Turn(f.now, utilization)
		}
		for rank, m := range f.members {
			f.deliver(rank, m.heartbeats)
			m.heartbeats = nil
		}
	}
}

func (f *fleet) deliver(from int, heartbeats []Heartbeat) {
	for _, h := range heartbeats {
		decoded, err := ParseHeartbeat(h.Append(nil))
		require.NoError(f.t, err)
		for rank, m := range f.members {
			if rank != from && !f.stopped[rank] && (f.isCut == nil || !f.isCut(from, rank)) {
				m.table.HandleHeartbeat(f.now, from, decoded)
			}
		}
	}
}

func (f *fleet) updateWorkers(workers []Worker) {
	for _, m := range f.members {
		m.updateWorkers(f.now, true, workers)
	}
}

// holders returns for each worker the ranks of the running members that have it in their share.
func (f *fleet) holders(workers []Worker) map[string][]int {
	held := map[string][]int{}
	for _, w := range workers {
		held[w.Name] = nil
		for rank, m := range f.members {
			require.Equal(f.t, m.share[w.Name], m.table.InShare(w.Name), "scheduler %d's actions and InShare differ for %s", rank, w.Name)
			if !f.stopped[rank] && m.share[w.Name] {
				held[w.Name] = append(held[w.Name], rank)
			}
		}
	}
	return held
}

func (f *fleet) requireOneOwner(workers []Worker) {
	f.t.Helper()
	for name, ranks := range f.holders(workers) {
		require.Len(f.t, ranks, 1, "holders of %s", name)
	}
}

func newWorkers(count, zones int) []Worker {
	list := make([]Worker, count)
	for i := range list {
		list[i] = Worker{Name: fmt.Sprintf("worker-%05d", i), Zone: i % zones}
	}
	return list
}

func TestEachWorkerHasOneOwnerAndSharesAreEven(t *testing.T) {
	f := newFleet(t, 32, Settings{UsesHeartbeats: true, Zone: UnknownZone, MinShare: 64})
	workers := newWorkers(8192, 19)
	f.updateWorkers(workers)
	f.advance(5 * Second)
	f.requireOneOwner(workers)
	for rank, m := range f.members {
		require.InDelta(t, 256, len(m.share), 80, "workers of scheduler %d", rank)
		require.Equal(t, Division{Kind: AllKinds, IsDivided: true, ColdSenders: maxColdSenders}, m.divisions[AllKinds])
	}
}

// newZonedFleet returns a fleet whose members are assigned to the zones in rotation.
func newZonedFleet(t *testing.T, count, zones int) *fleet {
	f := &fleet{t: t, now: 1_000 * Second, stopped: map[int]bool{}}
	for rank := range count {
		set := Settings{Rank: rank, Members: count, Zone: rank % zones, UsesHeartbeats: true, PrefersOwnZone: true, MinShare: 8}
		f.members = append(f.members, newScheduler(t, set, f.now))
	}
	return f
}

// crossZoneFraction returns, for the workers of the first zones, the fraction whose owner is in another zone.
func (f *fleet) crossZoneFraction(workers []Worker, zones int) float64 {
	crossZone, all := 0, 0
	for _, w := range workers {
		for rank, m := range f.members {
			if m.share[w.Name] && w.Zone < zones {
				all++
				if w.Zone != rank%zones {
					crossZone++
				}
			}
		}
	}
	return float64(crossZone) / float64(all)
}

func TestOwnZoneComesFirst(t *testing.T) {
	f := newZonedFleet(t, 8, 4)
	workers := newWorkers(2000, 5) // no member is in the last zone
	f.updateWorkers(workers)
	f.advance(5 * Second)
	f.requireOneOwner(workers)
	require.Less(t, f.crossZoneFraction(workers, 4), 0.03)
}

// Members of a zone with too few workers for its jobs get workers of zones that have more.
func TestOverloadedZoneUsesWorkersOfOtherZones(t *testing.T) {
	f := newZonedFleet(t, 5, 4) // two members in zone 0
	workers := newWorkers(2000, 4)
	f.updateWorkers(workers)
	const jobs = 320.0 // per member; each worker has one slot
	f.utilization = func(rank int) float64 { return jobs / float64(max(1, len(f.members[rank].share))) }
	f.advance(300 * Second)
	for rank := range f.members {
		require.InDelta(t, 0.8, f.utilization(rank), 0.12, "utilization of scheduler %d's share", rank)
	}
	f.requireOneOwner(workers)
	require.Less(t, f.crossZoneFraction(workers, 4), 0.3)
}

func TestSmallFleetIsNotDivided(t *testing.T) {
	f := newFleet(t, 300, Settings{UsesHeartbeats: true, Zone: 0})
	workers := newWorkers(200, 3)
	f.updateWorkers(workers)
	for range 20 {
		f.advance(Second)
		for _, m := range f.members {
			require.Len(t, m.share, len(workers))
			require.Empty(t, m.divisions)
		}
	}
}

// A kind with few workers is used whole by all members while another kind is divided.
func TestRareKindIsNotDivided(t *testing.T) {
	f := newFleet(t, 4, Settings{Zone: UnknownZone, MinShare: 50})
	workers := newWorkers(1000, 1)
	for i := range 20 {
		workers[i].Kind = 1
	}
	f.updateWorkers(workers)
	f.advance(3 * Second)
	for _, m := range f.members {
		for _, w := range workers[:20] {
			require.True(t, m.share[w.Name])
		}
		require.Less(t, len(m.share), 400)
		require.Equal(t, Division{Kind: 0, IsDivided: true, ColdSenders: maxColdSenders}, m.divisions[0])
		require.NotContains(t, m.divisions, 1)
		require.Equal(t, 4, m.divisions[AllKinds].ColdSenders)
		require.Greater(t, m.divisions[AllKinds].ForeignLoad, 0.0)
	}
}

func TestDivisionHasHysteresis(t *testing.T) {
	s := newScheduler(t, Settings{Rank: 1, Members: 4, Zone: UnknownZone, MinShare: 50}, 0)
	workers := newWorkers(200, 1)
	s.updateWorkers(0, true, workers[:199])
	require.Len(t, s.share, 199)
	s.updateWorkers(0, false, workers[199:])
	s.runTurns(0, 2*Second)
	require.Less(t, len(s.share), 100)
	s.updateWorkers(2*Second, true, workers[:170])
	s.runTurns(2*Second, 4*Second)
	require.Less(t, len(s.share), 100)
	s.updateWorkers(4*Second, true, workers[:150])
	s.runTurns(4*Second, 6*Second)
	require.Len(t, s.share, 150)
	require.Equal(t, Division{Kind: AllKinds, ColdSenders: 4, ForeignLoad: 1}, s.divisions[AllKinds])
}

// The workers of a killed member move to the others, and no other worker moves. After a restart without state the member
// gets the same workers back.
func TestKilledMemberLosesOnlyItsOwnWorkers(t *testing.T) {
	f := newFleet(t, 8, Settings{UsesHeartbeats: true, Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(1024, 1)
	f.updateWorkers(workers)
	f.advance(5 * Second)
	before := f.holders(workers)
	f.stopped[3] = true
	f.advance(9 * Second)
	f.requireOneOwner(workers)
	for name, ranks := range f.holders(workers) {
		if before[name][0] != 3 {
			require.Equal(t, before[name], ranks, "owner of %s", name)
		}
	}
	// The member restarts without state.
	set := f.members[3].table.cfg
	f.members[3] = newScheduler(t, set, f.now)
	f.members[3].updateWorkers(f.now, true, workers)
	delete(f.stopped, 3)
	f.advance(5 * Second)
	require.Equal(t, before, f.holders(workers))
}

// The workers of a member that announces its shutdown move without waiting for it to expire.
func TestLeavingMemberIsReplacedAtOnce(t *testing.T) {
	f := newFleet(t, 8, Settings{UsesHeartbeats: true, Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(1024, 1)
	f.updateWorkers(workers)
	f.advance(5 * Second)
	f.members[3].table.AnnounceLeaving()
	f.advance(2 * Second)
	held := f.holders(workers)
	for _, w := range workers {
		others := slices.DeleteFunc(held[w.Name], func(rank int) bool { return rank == 3 })
		require.Len(t, others, 1, "holders of %s besides the leaving member", w.Name)
	}
}

// A member whose process stops for 10 s expires at the others. When it resumes with its old view it must not expire the
// others for the heartbeats that it missed.
func TestResumedMemberDoesNotExpireOthers(t *testing.T) {
	f := newFleet(t, 8, Settings{UsesHeartbeats: true, Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(1024, 1)
	f.updateWorkers(workers)
	f.advance(5 * Second)
	before := f.holders(workers)
	f.stopped[5] = true
	f.advance(10 * Second)
	deaths := f.members[5].deaths
	delete(f.stopped, 5)
	f.advance(100 * Millisecond)
	for name, ranks := range f.holders(workers) {
		require.NotEmpty(t, ranks, "holders of %s", name)
		require.LessOrEqual(t, len(ranks), 2, "holders of %s", name)
	}
	f.advance(5 * Second)
	require.Equal(t, before, f.holders(workers))
	require.Equal(t, deaths, f.members[5].deaths, "members that the resumed one expired")
}

// While a network partition separates two halves of the members, every worker has a holder, and at most one in each half.
// That holds for cold workers too.
func TestPartitionLimitsTheHoldersOfAWorker(t *testing.T) {
	f := newFleet(t, 8, Settings{UsesHeartbeats: true, Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(1024, 1)
	for i := range 100 {
		workers[i].StartedAt = f.now + 8*Second
	}
	f.updateWorkers(workers)
	f.advance(5 * Second)
	f.isCut = func(from, to int) bool { return from%2 != to%2 }
	for range 12 {
		f.advance(Second)
		for name, ranks := range f.holders(workers) {
			require.NotEmpty(t, ranks, "holders of %s", name)
			require.LessOrEqual(t, len(ranks), maxColdSenders, "holders of %s", name)
		}
	}
	f.isCut = nil
	f.advance(5 * Second)
	f.requireOneOwner(workers)
}

// A scheduler acquires no cold worker before the other members' heartbeats can have arrived. Otherwise each new process
// would own all of them.
func TestColdWorkerWaitsForTheMembership(t *testing.T) {
	set := Settings{Rank: 0, Members: 8, UsesHeartbeats: true, Zone: 0, MinShare: 8}
	now := 1_000 * Second
	s := newScheduler(t, set, now)
	workers := newWorkers(800, 1)
	for i := range workers {
		workers[i].StartedAt = now - Second
	}
	s.updateWorkers(now, true, workers)
	for ; now < 1_002*Second; now += 100 * Millisecond {
		s.table.Turn(now, 0)
		require.Empty(t, s.share)
		for rank := 1; rank < 8; rank++ {
			s.table.HandleHeartbeat(now, rank, Heartbeat{Zone: 0})
		}
	}
	s.runTurns(now, 1_005*Second)
	require.InDelta(t, 100, len(s.share), 40)
}

// A restarted worker is immediately used by its owner only, however large the spans are.
func TestColdWorkerIsUsedByItsOwnerOnly(t *testing.T) {
	f := newFleet(t, 8, Settings{Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(1024, 1)
	f.updateWorkers(workers)
	f.utilization = func(int) float64 { return 0.98 }
	f.advance(30 * Second)
	require.Greater(t, f.members[0].table.Span(), 3.0)
	restarted := slices.Clone(workers[:200])
	for i := range restarted {
		restarted[i].StartedAt = f.now - Second
	}
	for _, m := range f.members {
		m.updateWorkers(f.now, false, restarted)
	}
	f.requireOneOwner(restarted)
	f.advance(60 * Second)
	for name, ranks := range f.holders(restarted) {
		require.Greater(t, len(ranks), 1, "holders of %s once warm", name)
	}
}

// The share of a scheduler with more jobs than the others grows in small steps, and each worker keeps one owner.
func TestWeightsFollowTheLoad(t *testing.T) {
	f := newFleet(t, 8, Settings{UsesHeartbeats: true, Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(4096, 1)
	f.updateWorkers(workers)
	f.advance(5 * Second)
	jobs := func(rank int) float64 {
		if rank == 2 {
			return 900
		}
		return 300
	}
	f.utilization = func(rank int) float64 { return jobs(rank) / float64(max(1, len(f.members[rank].share))) }
	size := len(f.members[2].share)
	for range 30 {
		f.advance(2 * Second)
		require.InDelta(t, size, len(f.members[2].share), 0.12*float64(size), "workers after one heartbeat interval")
		size = len(f.members[2].share)
	}
	f.advance(60 * Second)
	f.requireOneOwner(workers)
	for rank := range f.members {
		require.InDelta(t, 3000.0/4096, f.utilization(rank), 0.12, "utilization of scheduler %d's share", rank)
	}
	f.utilization = func(int) float64 { return 0 }
	f.advance(120 * Second)
	require.InDelta(t, 0, f.members[2].table.members.self().weight, 0.2, "weight in an idle fleet")
}

// Without heartbeats the share of a busy scheduler grows in small steps over other schedulers' workers, and shrinks again
// when the load is gone.
func TestSpanFollowsTheLoad(t *testing.T) {
	f := newFleet(t, 8, Settings{Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(1024, 1)
	f.updateWorkers(workers)
	f.advance(5 * Second)
	f.utilization = func(rank int) float64 { return map[bool]float64{true: 0.98, false: 0.3}[rank == 2] }
	size := len(f.members[2].share)
	for range 16 {
		f.advance(Second)
		grown := len(f.members[2].share) - size
		require.LessOrEqual(t, grown, 50, "workers acquired within a second")
		size += grown
	}
	require.Greater(t, size, 300)
	require.InDelta(t, 2.0/3, f.members[2].divisions[AllKinds].ForeignLoad, 0.05)
	f.utilization = func(int) float64 { return 0.1 }
	f.advance(70 * Second)
	f.requireOneOwner(workers)
}

// An idle table recomputes no position, and a single weight step recomputes few: the cost of a turn must not grow with
// the fleet.
func TestPositionsAreComputedOnlyWhereTheyMayHaveChanged(t *testing.T) {
	f := newFleet(t, 8, Settings{UsesHeartbeats: true, Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(8192, 1)
	f.updateWorkers(workers)
	f.advance(5 * Second)
	table := f.members[0].table
	before := table.positionsComputed
	f.advance(20 * Second)
	require.Equal(t, before, table.positionsComputed, "positions computed while idle")
	table.HandleHeartbeat(f.now, 3, Heartbeat{Zone: UnknownZone, Weight: maxWeightStep})
	f.advance(5 * Second)
	require.Positive(t, table.positionsComputed-before)
	require.Less(t, table.positionsComputed-before, uint64(len(workers)/4), "positions computed for one weight step up and one down")
	f.requireOneOwner(workers)
	before = table.positionsComputed
	table.HandleHeartbeat(f.now, 3, Heartbeat{Zone: UnknownZone, IsLeaving: true})
	f.advance(1700 * Millisecond) // at least updateTurns turns, 100 ms apart
	require.GreaterOrEqual(t, table.positionsComputed-before, uint64(len(workers)), "a leaving member may change all positions")
}

// Without heartbeats the other members acquire the workers of a dead one as they receive its load.
func TestWithoutHeartbeatsADeadMembersWorkersAreAcquired(t *testing.T) {
	f := newFleet(t, 4, Settings{Zone: UnknownZone, MinShare: 32})
	workers := newWorkers(1024, 1)
	f.updateWorkers(workers)
	f.advance(2 * Second)
	f.requireOneOwner(workers)
	f.stopped[1] = true
	f.utilization = func(int) float64 { return 0.98 }
	f.advance(10 * Second)
	for name, ranks := range f.holders(workers) {
		require.NotEmpty(t, ranks, "holders of %s", name)
	}
}

// After any sequence of events the counts match the lists, the host knows each change of the share, and the share follows
// each later change within one update round.
func TestShareIsConsistentUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := Settings{Rank: rapid.IntRange(0, 4).Draw(r, "self"), Members: 5, Zone: rapid.IntRange(UnknownZone, 2).Draw(r, "zone"),
			UsesHeartbeats: true, MinShare: 4}
		now := 100 * Second
		s := newScheduler(t, set, now)
		listed := map[string]Worker{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += Time(rapid.IntRange(0, 3000).Draw(r, "ms")) * Millisecond
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				s.table.Turn(now, rapid.Float64Range(0, 1.5).Draw(r, "utilization"))
			case 1:
				s.table.HandleHeartbeat(now, rapid.IntRange(-1, 6).Draw(r, "rank"), Heartbeat{Zone: rapid.IntRange(UnknownZone, 2).Draw(r, "zone"),
					Weight: rapid.Float64Range(-3, 3).Draw(r, "weight"), IsLeaving: rapid.Bool().Draw(r, "leaving")})
			default:
				updateRandomly(r, s, now, listed)
			}
			requireConsistent(r, s, listed)
		}
		requireShareFollowsChanges(r, s, now)
	})
}

// requireShareFollowsChanges takes turns without events until every silent member has expired, every slow start is over and
// the membership has settled. Each of these changes which workers belong to the share, and so does a new weight from the
// next update round on. The share has to follow within the turns of one round, and to stay as it is afterwards.
func requireShareFollowsChanges(r *rapid.T, s *scheduler, now Time) {
	const turnInterval = 50 * Millisecond
	var expected map[string]bool
	unchangedTurns, checks := 0, 0
	for end := now + 2*s.table.cfg.ExpireAfter; now < end; now += turnInterval {
		s.table.Turn(now, 0)
		last := expected
		expected = expectedShare(s.table, now)
		if unchangedTurns++; !maps.Equal(last, expected) {
			unchangedTurns = 0
		}
		if unchangedTurns >= updateTurns {
			require.Equal(r, expected, s.share)
			checks++
		}
	}
	require.Positive(r, checks)
}

// expectedShare returns the workers that belong to the share by the present members and applied weights.
func expectedShare(table *Table, now Time) map[string]bool {
	expected := map[string]bool{}
	for _, w := range table.workers {
		w.position = table.computePosition(&w)
		if table.belongsToShare(now, &w) {
			expected[w.Name] = true
		}
	}
	return expected
}

// A member that expires in the middle of an update round is replaced at all workers within the turns of one round.
func TestExpiryInTheMiddleOfARoundReachesAllWorkers(t *testing.T) {
	const workers = 20
	for turnsBefore := range updateTurns {
		set := Settings{Members: 2, Zone: UnknownZone, UsesHeartbeats: true, MinShare: 4}
		s := newScheduler(t, set, 0)
		s.updateWorkers(0, true, newWorkers(workers, 1))
		s.table.HandleHeartbeat(0, 1, Heartbeat{Zone: UnknownZone})
		for range turnsBefore { // shifts the phase of the update rounds
			s.table.Turn(0, 0)
		}
		now := Time(0)
		for ; now < 2*s.table.cfg.ExpireAfter && s.deaths == 0; now += 50 * Millisecond {
			s.table.Turn(now, 0)
		}
		require.Equal(t, 1, s.deaths)
		for range updateTurns - 1 { // the first turn of the round is the one of the expiry
			s.table.Turn(now, 0)
		}
		require.Len(t, s.share, workers, "all workers belong to the only live member, %d turns into a round", turnsBefore)
	}
}

func updateRandomly(r *rapid.T, s *scheduler, now Time, listed map[string]Worker) {
	var updated []Worker
	for range rapid.IntRange(0, 12).Draw(r, "workers") {
		w := Worker{Name: fmt.Sprint("w", rapid.IntRange(0, 40).Draw(r, "name")), Zone: rapid.IntRange(0, 2).Draw(r, "zone"),
			Kind: rapid.IntRange(0, 1).Draw(r, "kind")}
		if rapid.Bool().Draw(r, "new") {
			w.StartedAt = now - Time(rapid.IntRange(0, 60).Draw(r, "age"))*Second
		}
		if !slices.ContainsFunc(updated, func(x Worker) bool { return x.Name == w.Name }) {
			updated = append(updated, w)
		}
	}
	isSnapshot := rapid.IntRange(0, 9).Draw(r, "snapshot") == 0
	if isSnapshot {
		clear(listed)
	}
	var removed []string
	for _, w := range updated {
		if !isSnapshot && rapid.IntRange(0, 3).Draw(r, "removed") == 0 {
			removed = append(removed, w.Name)
		}
	}
	updated = slices.DeleteFunc(updated, func(w Worker) bool { return slices.Contains(removed, w.Name) })
	s.updateWorkers(now, isSnapshot, updated, removed...)
	for _, name := range removed {
		delete(listed, name)
	}
	for _, w := range updated {
		listed[w.Name] = w
	}
}

func requireConsistent(r *rapid.T, s *scheduler, listed map[string]Worker) {
	inShare, total := s.table.ShareSize()
	require.Equal(r, len(listed), total)
	require.Len(r, s.share, inShare)
	live := 0
	for i := range s.table.members.byRank {
		if s.table.members.byRank[i].isAlive {
			live++
		}
	}
	require.Equal(r, live, s.table.LiveMembers())
	for name, w := range listed {
		x := &s.table.workers[s.table.byName[name]]
		require.Equal(r, w, x.Worker)
		require.Equal(r, s.share[name], x.inShare)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for _, c := range []struct {
		set  Settings
		want error
	}{
		{Settings{Members: 0}, ErrMembers},
		{Settings{Members: MaxMembers + 1}, ErrMembers},
		{Settings{Members: 3, Rank: 3}, ErrRank},
		{Settings{Members: 3, Rank: -1}, ErrRank},
		{Settings{Members: 3, GrowAbove: 0.4}, ErrThresholds},
		{Settings{Members: 3, GrowAbove: 1.1}, ErrThresholds},
		{Settings{Members: 3, HeartbeatInterval: Second, ExpireAfter: Second}, ErrExpiry},
	} {
		require.ErrorIs(t, c.set.Check(), c.want)
	}
	require.NoError(t, Settings{Members: 1}.Check())
}

func TestHeartbeatRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		h := Heartbeat{Zone: rng.IntN(encodedUnknownZone+1) - 1, Weight: rng.Float64()*6 - 3, Utilization: rng.Float64() * 3.9, IsLeaving: rng.IntN(2) == 0}
		if h.Zone == encodedUnknownZone-1 {
			h.Zone = UnknownZone
		}
		data := h.Append(nil)
		require.Len(t, data, HeartbeatSize)
		decoded, err := ParseHeartbeat(data)
		require.NoError(t, err)
		require.InDelta(t, h.Weight, decoded.Weight, 0.5/weightStepsPerUnit+1e-9)
		require.InDelta(t, h.Utilization, decoded.Utilization, 0.5/utilizationSteps)
		require.Equal(t, h.Zone, decoded.Zone)
		require.Equal(t, h.IsLeaving, decoded.IsLeaving)
	}
	for _, bad := range [][]byte{nil, {heartbeatVersion}, {0, 0, 0, 0, 0, 0}, make([]byte, 8)} {
		_, err := ParseHeartbeat(bad)
		require.ErrorIs(t, err, ErrHeartbeat)
	}
	h, err := ParseHeartbeat(Heartbeat{Zone: 1, Weight: math.Inf(1), Utilization: math.Inf(1)}.Append(nil))
	require.NoError(t, err)
	require.InDelta(t, 3, h.Weight, 1e-9)
	require.Less(t, h.Utilization, 4.0)
}

// Workers beyond MaxWorkers are omitted and counted.
func TestWorkersBeyondTheLimitAreOmitted(t *testing.T) {
	s := newScheduler(t, Settings{Members: 2, Zone: UnknownZone}, 0)
	s.updateWorkers(0, true, newWorkers(MaxWorkers+3, 1))
	_, total := s.table.ShareSize()
	require.Equal(t, MaxWorkers, total)
	require.Equal(t, 3, s.table.OmittedWorkers())
}
