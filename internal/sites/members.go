package sites

// The members of each site, in an order that is the same at all schedulers, and the set of members that a turn visits.

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
	lastSeen        Time    // time of the last response of any of its workers
	nextCheckAt     Time    // while Suspect: time of the next probes
	checkCount      int     // consecutive checks since the site was last fully responsive
	flapCount       float64 // number of losses, decayed; as of lastFlapAt
	lastFlapAt      Time
	probeAt         Time
	respondingSince Time // while Lost or CutOff: time of the first response; 0: none

	members       []*member     // by hash, the same order at all schedulers
	marked        bitset.BitSet // by member.index: the pending members, and some that were pending
	disabledCount int           // disabled members
	added         []*member     // new in the list being applied, not yet in members
	hasRemovals   bool          // some members are not in the list being applied
}

type member struct {
	Member
	hash            uint64
	index           int  // in site.members
	unansweredSince Time // time of the first request or probe without a response; 0: none
	connectFailedAt Time // time of a failed connect without a response since; 0: none
	lastSeen        Time
	recheckedAt     Time // time of the extra probe sent because it was silent; 0: none
	isDisabled      bool
	disabledAt      Time
	probeAt         Time
	probeCount      int
	lastList        uint64 // number of the last list that contained it; 0: replaced by a member of another site
}

// isPending reports whether a turn has to visit the member: a response is missing, a connect failed, or it is disabled.
func (w *member) isPending() bool {
	return w.unansweredSince > 0 || w.connectFailedAt > 0 || w.isDisabled
}

// markPending makes turns visit the member for as long as it is pending.
func (m *Machine) markPending(w *member) { m.sites[w.Site].marked.Set(uint(w.index)) }

// pendingMembers iterates over the pending members, by index. A member that becomes pending during the iteration is
// included if its index has not been passed.
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

// WorkerCounts returns the number of disabled workers of a site and the number of all its workers.
func (m *Machine) WorkerCounts(site int) (disabled, total int) {
	s := &m.sites[site]
	return s.disabledCount, len(s.members)
}

// UpdateWorkers applies a complete list of the workers that may get jobs. Workers that are not listed are removed; new
// workers and workers that were not listed before are assumed to respond. Of a worker listed at several sites the last
// entry counts; entries with an invalid site are ignored.
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
		} else { // new workers of a lost site are disabled too
			m.disable(now, w, true)
		}
	}
	for i := range m.sites {
		m.sites[i].applyList(m.listCount)
	}
}

// affectedMembers returns, sorted by name, the workers that are no longer listed and the enabled workers of lost sites.
// listed is the number of listed workers.
func (m *Machine) affectedMembers(listed int) (affected []*member) {
	if listed < len(m.members) {
		for _, w := range m.members {
			if w.lastList != m.listCount {
				affected = append(affected, w)
			}
		}
	}
	for i := range m.sites {
		if s := &m.sites[i]; m.isLost(i) && s.disabledCount < len(s.members)+len(s.added) {
			for _, w := range slices.Concat(s.members, s.added) {
				if w.lastList == m.listCount && !w.isDisabled {
					affected = append(affected, w)
				}
			}
		}
	}
	slices.SortFunc(affected, func(a, b *member) int { return cmp.Compare(a.Worker, b.Worker) })
	return affected
}

// applyList merges the added members into members and removes those that the list with that number does not contain.
func (s *site) applyList(list uint64) {
	if len(s.added) == 0 && !s.hasRemovals {
		return
	}
	isUnlisted := func(w *member) bool { return w.lastList != list }
	added := slices.DeleteFunc(s.added, isUnlisted)
	slices.SortFunc(added, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	kept := slices.DeleteFunc(s.members, isUnlisted)
	members := make([]*member, 0, len(kept)+len(added))
	for _, w := range kept {
		for len(added) > 0 && added[0].hash < w.hash {
			members = append(members, added[0])
			added = added[1:]
		}
		members = append(members, w)
	}
	s.members, s.added, s.hasRemovals = append(members, added...), nil, false
	s.disabledCount = 0
	s.marked.ClearAll()
	for index, w := range s.members {
		if w.index = index; w.isPending() {
			s.marked.Set(uint(index))
		}
		if w.isDisabled {
			s.disabledCount++
		}
	}
}

// hashName returns the FNV-1a hash of a name with its bits mixed. All schedulers compute the same value.
func hashName(name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(name))
	h := f.Sum64()
	h ^= h >> 31
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
