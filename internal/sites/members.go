package sites

// The members of each site, in an order that all schedulers share, and those of them that a turn looks at.

import (
	"cmp"
	"hash/fnv"
	"iter"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

type site struct {
	state           State
	since           Time
	lastSeen        Time // last sign of life of any worker
	nextCheckAt     Time // the last check ...
	checkCount      int  // ... and how many in a row found the site alive
	flapCount       float64
	lastFlapAt      Time
	probeAt         Time
	respondingSince Time // since when it answers again

	members       []*member     // in the order of their hashes, which is the same at all schedulers
	marked        bitset.BitSet // by member.place: those that are pending, and some that were
	disabledCount int           // members that are out
	added         []*member     // listed just now, and not yet among the members
	hasRemovals   bool          // a member of it is listed no more
}

type member struct {
	Member
	hash            uint64
	index           int  // in site.members
	unansweredSince Time // the first thing asked that has no answer yet; 0: none
	connectFailedAt Time // it refused a connection, and has said nothing since; 0: it did not
	lastSeen        Time
	recheckedAt     Time // it was asked once more, for being silent
	isDisabled      bool
	disabledAt      Time
	probeAt         Time
	probeCount      int
	lastList        uint64 // the number of the last list that it was on; 0: another has taken its name
}

// pending tells of a member that a turn has to look at: it owes an answer, has refused a connection, or is out.
func (w *member) isPending() bool {
	return w.unansweredSince > 0 || w.connectFailedAt > 0 || w.isDisabled
}

// mark has the turns look at a member for as long as it is pending.
func (m *Machine) markPending(w *member) { m.sites[w.Site].marked.Set(uint(w.index)) }

// pending gives the members that are pending, in order. One that comes to be so meanwhile is given too if its place is
// yet to come.
func (s *site) pendingMembers() iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for i, more := s.marked.NextSet(0); more; i, more = s.marked.NextSet(i + 1) {
			w := s.members[i]
			if !w.isPending() {
				s.marked.Clear(i)
			} else if !yield(w) {
				return
			}
		}
	}
}

// OutOf is how many workers of a site get nothing new, and how many it has.
func (m *Machine) WorkerCounts(site int) (out, all int) {
	s := &m.sites[site]
	return s.disabledCount, len(s.members)
}

// Listed takes the whole list of workers that may get jobs. One that is not on it is forgotten; one that is new, or back
// after it was away, is held for alive.
func (m *Machine) UpdateWorkers(now Time, list []Member) {
	m.listCount++
	listed := 0
	for _, x := range list {
		if x.Site < 0 || x.Site >= len(m.sites) {
			continue
		}
		w := m.members[x.Worker]
		if w != nil && w.Site != x.Site {
			m.enable(w, false)
			if w.lastList == m.listCount {
				listed--
			}
			w.lastList = 0
			m.sites[w.Site].hasRemovals = true
		}
		if w == nil || w.Site != x.Site {
			w = &member{Member: x, hash: hashName(x.Worker)}
			m.members[x.Worker] = w
			m.sites[x.Site].added = append(m.sites[x.Site].added, w)
		}
		if w.lastList != m.listCount {
			w.lastList = m.listCount
			listed++
		}
	}
	for _, w := range m.affectedMembers(listed) {
		if w.lastList != m.listCount {
			m.enable(w, false)
			delete(m.members, w.Worker)
			m.sites[w.Site].hasRemovals = true
		} else { // a lost site stays lost when its list grows
			m.disable(now, w, true)
		}
	}
	for i := range m.sites {
		m.sites[i].applyList(m.listCount)
	}
}

// affected gives, by name, the workers that are listed no more, and those of lost sites that are not out. It is told how
// many are listed.
func (m *Machine) affectedMembers(listed int) (some []*member) {
	if listed < len(m.members) {
		for _, w := range m.members {
			if w.lastList != m.listCount {
				some = append(some, w)
			}
		}
	}
	for i := range m.sites {
		if s := &m.sites[i]; m.isLost(i) && s.disabledCount < len(s.members)+len(s.added) {
			for _, w := range slices.Concat(s.members, s.added) {
				if w.lastList == m.listCount && !w.isDisabled {
					some = append(some, w)
				}
			}
		}
	}
	slices.SortFunc(some, func(a, b *member) int { return cmp.Compare(a.Worker, b.Worker) })
	return some
}

// arrange puts those that come among the members and lets go of those that are not on the list of that number.
func (s *site) applyList(list uint64) {
	if len(s.added) == 0 && !s.hasRemovals {
		return
	}
	other := func(w *member) bool { return w.lastList != list }
	coming := slices.DeleteFunc(s.added, other)
	slices.SortFunc(coming, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	staying := slices.DeleteFunc(s.members, other)
	members := make([]*member, 0, len(staying)+len(coming))
	for _, w := range staying {
		for len(coming) > 0 && coming[0].hash < w.hash {
			members = append(members, coming[0])
			coming = coming[1:]
		}
		members = append(members, w)
	}
	s.members, s.added, s.hasRemovals = append(members, coming...), nil, false
	s.disabledCount = 0
	s.marked.ClearAll()
	for place, w := range s.members {
		if w.index = place; w.isPending() {
			s.marked.Set(uint(place))
		}
		if w.isDisabled {
			s.disabledCount++
		}
	}
}

// hash is the FNV-1a of a name, mixed: the same at all schedulers.
func hashName(name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(name))
	h := f.Sum64()
	h ^= h >> 31
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
