package sites

import (
	"math"
	"math/rand/v2"
)

const (
	millisecond Time = 1000
	second      Time = 1000 * millisecond

	timeoutDeviations = 6.0         // deviations past the mean time of an answer at which a worker counts as silent
	replyTimeGain     = 0.02        // weight of an answer in that mean
	checkTimeouts     = 4           // times the wait after which a live site with a silent worker is looked at again ...
	maxCheckInterval  = 4 * second  // ... and twice as late each time, up to this
	flapHalfLife      = 30 * second // in which half of the distrust of a site that flaps is gone
	maxFlapDoublings  = 6           // doublings of it
	maxTurnDelay      = second / 4  // a host that comes so late to its turn was stopped: what was due meanwhile proves nothing
	busyTurnInterval  = 25 * millisecond
	idleTurnInterval  = second / 4
	probesPerSecond   = 12.0       // questions a second, of all sites, at most: a host that is short of time finds many silent
	probeBurst        = 16.0       // and how many may be saved up
	maxProbeInterval  = 2 * second // a single silent worker is asked again after this at the latest
)

// Machine is what one scheduler knows of sites. One goroutine at a time uses it.
type Machine struct {
	cfg           Settings
	actions       Actions
	rng           *rand.Rand
	sites         []site
	members       map[string]*member
	listCount     uint64 // taken so far
	lastTurn      Time
	probeTokens   float64 // questions that may go out
	tokensAt      Time
	meanReplyTime float64 // mean time to an answer, and its deviation
	replyTimeDev  float64
	replyCount    float64
}

// New makes a machine that holds all for whole.
func New(set Settings, seed uint64, now Time, act Actions) *Machine {
	set.SiteCount = max(1, set.SiteCount)
	if set.MinSilentWorkers == 0 {
		set.MinSilentWorkers = 5
	}
	for _, d := range []struct {
		at        *Time
		otherwise Time
	}{{&set.MinReplyTimeout, 75 * millisecond}, {&set.MaxReplyTimeout, 600 * millisecond}, {&set.ProbeInterval, second / 2}, {&set.IdleProbeDelay, second},
		{&set.ReturnWindow, 2 * second}, {&set.FlapBackoff, second / 4}} {
		if *d.at == 0 {
			*d.at = d.otherwise
		}
	}
	m := &Machine{cfg: set, actions: act, rng: rand.New(rand.NewPCG(seed, 0x7369746573)), members: map[string]*member{}, lastTurn: now,
		probeTokens: probeBurst, tokensAt: now}
	m.sites = make([]site, set.SiteCount)
	for i := range m.sites {
		m.sites[i].lastSeen, m.sites[i].since = now, now
	}
	return m
}

// State gives a site's state and since when it has it.
func (m *Machine) State(site int) (State, Time) { return m.sites[site].state, m.sites[site].since }

// Out tells whether a worker gets nothing new.
func (m *Machine) IsDisabled(worker string) bool {
	w := m.members[worker]
	return w != nil && w.isDisabled
}

func (m *Machine) isLost(site int) bool {
	s := m.sites[site].state
	return s == Lost || s == CutOff
}

// Turn looks at all sites and gives the time at which it wants to be called again.
func (m *Machine) Turn(now Time) (next Time) {
	if now-m.lastTurn > maxTurnDelay+idleTurnInterval {
		m.resumeAfterPause(now)
	}
	m.lastTurn = now
	busy := false
	for i := range m.sites {
		if len(m.sites[i].members) > 0 && m.checkSite(now, i) {
			busy = true
		}
	}
	if busy {
		return now + busyTurnInterval
	}
	return now + idleTurnInterval
}

// wake is for a host that was stopped: answers may lie in its sockets that it has not read.
func (m *Machine) resumeAfterPause(now Time) {
	for i := range m.sites {
		s := &m.sites[i]
		s.nextCheckAt = now
		for w := range s.pendingMembers() {
			if w.unansweredSince > 0 {
				w.unansweredSince = now
			}
			w.connectFailedAt = 0
		}
	}
}

func (m *Machine) setState(now Time, i int, to State) {
	s := &m.sites[i]
	if from := s.state; from != to {
		s.state, s.since = to, now
		m.actions.StateChanged(i, from, to)
	}
}

// look judges one site, and tells whether it wants to be looked at soon again.
func (m *Machine) checkSite(now Time, i int) (busy bool) {
	s := &m.sites[i]
	switch s.state {
	case Lost, CutOff:
		m.checkLostSite(now, i)
		return true
	case Returning:
		m.returnWorkers(now, i)
		return true
	}
	proof, owing := 0, 0
	for w := range s.pendingMembers() {
		if w.unansweredSince > 0 {
			owing++
		}
		if w.isDisabled {
			m.probeDisabled(now, w)
			continue
		}
		if !m.isSilent(now, w) {
			continue
		}
		if w.unansweredSince > s.lastSeen {
			proof++
		}
		m.recheckSilent(now, w)
	}
	need := min(m.cfg.MinSilentWorkers, len(s.members))
	switch {
	case proof >= need && m.enabledWorkers(i) > 0:
		m.markSiteLost(now, i)
		return true
	case proof > 0:
		m.setState(now, i, Suspect)
		if now >= s.nextCheckAt {
			m.probeSome(now, i, need-proof)
			s.nextCheckAt = now + m.replyTimeout()*checkTimeouts<<min(s.checkCount, 8)
			s.nextCheckAt = min(s.nextCheckAt, now+maxCheckInterval)
			s.checkCount++
		}
	default:
		m.setState(now, i, Whole)
		if s.checkCount > 0 && now > s.nextCheckAt+maxCheckInterval {
			s.checkCount = 0
		}
		if m.cfg.MayProbe && owing == 0 && now-s.lastSeen > m.cfg.IdleProbeDelay {
			m.probeSome(now, i, 1)
		}
	}
	return owing > 0
}

// left is how many workers may get jobs, but for those of a site; below 0: of all sites.
func (m *Machine) enabledWorkers(but int) (n int) {
	for i := range m.sites {
		if s := &m.sites[i]; i != but {
			n += len(s.members) - s.disabledCount
		}
	}
	return n
}

// doubt asks a silent worker once more; one that owes that answer too is taken out, though its site is there.
func (m *Machine) recheckSilent(now Time, w *member) {
	s := &m.sites[w.Site]
	switch {
	case w.recheckedAt == 0:
		w.recheckedAt = now
		m.probe(now, w)
	case now-w.recheckedAt > m.replyTimeout() && s.lastSeen > w.unansweredSince && m.enabledWorkers(-1) > 1:
		m.disable(now, w, false)
	}
}

func (m *Machine) disable(now Time, w *member, siteLost bool) {
	if w.isDisabled {
		return
	}
	w.isDisabled, w.disabledAt, w.probeCount = true, now, 0
	w.probeAt = now + m.cfg.ProbeInterval
	m.sites[w.Site].disabledCount++
	m.markPending(w)
	m.actions.DisableWorker(w.Worker, siteLost)
}

func (m *Machine) enable(w *member, cold bool) {
	if !w.isDisabled {
		return
	}
	w.isDisabled, w.unansweredSince, w.connectFailedAt, w.recheckedAt = false, 0, 0, 0 // what it owed from before proves nothing now
	m.sites[w.Site].disabledCount--
	m.actions.EnableWorker(w.Worker, cold)
}

// trial asks a worker that is out by itself, later each time, and lets it back when it has answered.
func (m *Machine) probeDisabled(now Time, w *member) {
	if w.lastSeen > w.disabledAt {
		m.enable(w, false)
		return
	}
	if now < w.probeAt {
		return
	}
	wait := min(m.cfg.ProbeInterval<<min(w.probeCount, 8), maxProbeInterval)
	w.probeCount++
	w.probeAt = now + wait/2 + Time(m.rng.Float64()*float64(wait))
	if m.cfg.MayProbe {
		m.probe(now, w)
	} else if w.probeCount > 1 {
		m.enable(w, false) // its next job shows
	}
}

// ask wants a sign of life of some workers of a site, drawn, of those that owe none.
func (m *Machine) probeSome(now Time, i, n int) {
	if !m.cfg.MayProbe || n <= 0 {
		return
	}
	var some []*member
	for _, w := range m.sites[i].members {
		if w.unansweredSince == 0 || now-w.unansweredSince > m.cfg.MaxReplyTimeout {
			some = append(some, w)
		}
	}
	m.rng.Shuffle(len(some), func(a, b int) { some[a], some[b] = some[b], some[a] })
	for _, w := range some[:min(n, len(some))] {
		m.probe(now, w)
	}
}

// question asks a worker for a sign of life, as far as there are questions to spare.
func (m *Machine) probe(now Time, w *member) {
	m.probeTokens = min(probeBurst, m.probeTokens+probesPerSecond*float64(now-m.tokensAt)/float64(second))
	m.tokensAt = now
	if !m.cfg.MayProbe || m.probeTokens < 1 {
		return
	}
	m.probeTokens--
	if w.isDisabled {
		w.unansweredSince, w.connectFailedAt = 0, 0 // what it owed from before is forgotten
	}
	m.actions.ProbeWorker(w.Worker)
}

// lose takes a whole site out.
func (m *Machine) markSiteLost(now Time, i int) {
	s := &m.sites[i]
	s.flapCount = s.decayedFlaps(now) + 1
	s.lastFlapAt, s.respondingSince, s.checkCount = now, 0, 0
	s.probeAt = now + m.probeDelay()
	for _, w := range s.members {
		m.disable(now, w, true)
	}
	// Where all other sites are gone at once and ours is there, rather we are cut off. It changes what is told, not what
	// is done: nothing of ours gets there.
	elsewhere, away := 0, 0
	for j := range m.sites {
		if j != m.cfg.OwnSite && len(m.sites[j].members) > 0 {
			elsewhere++
			if j == i || m.isLost(j) {
				away++
			}
		}
	}
	if i != m.cfg.OwnSite && elsewhere > 1 && away == elsewhere {
		for j := range m.sites {
			if j != m.cfg.OwnSite && j != i && len(m.sites[j].members) > 0 {
				m.setState(now, j, CutOff)
			}
		}
		m.setState(now, i, CutOff)
		return
	}
	m.setState(now, i, Lost)
}

// trialWait spreads the trials of all schedulers.
func (m *Machine) probeDelay() Time {
	return m.cfg.ProbeInterval/2 + Time(m.rng.Float64()*float64(m.cfg.ProbeInterval))
}

// lost waits for a sign of life. A site that was lost before must have answered for longer.
func (m *Machine) checkLostSite(now Time, i int) {
	s := &m.sites[i]
	if s.lastSeen > s.since {
		if s.respondingSince == 0 {
			s.respondingSince = now
			m.probeSome(now, i, min(m.cfg.MinSilentWorkers, len(s.members))-1)
		}
		if now-s.respondingSince >= m.requiredResponseTime(now, i) {
			m.setState(now, i, Returning)
			m.returnWorkers(now, i)
			return
		}
	}
	if now >= s.probeAt {
		s.probeAt = now + m.probeDelay()
		if m.cfg.MayProbe {
			m.probeSome(now, i, 1)
		} else if now-s.since > 4*m.cfg.ProbeInterval {
			m.setState(now, i, Returning) // the first of its workers, whose jobs show
		}
	}
}

// trust is how long a site must have answered before it is let back.
func (m *Machine) requiredResponseTime(now Time, i int) Time {
	flaps := m.sites[i].decayedFlaps(now)
	return Time(float64(m.cfg.FlapBackoff) * (math.Exp2(min(maxFlapDoublings, max(0, flaps-1))) - 0.5))
}

// flapsNow is how often a site was lost of late.
func (s *site) decayedFlaps(now Time) float64 {
	return s.flapCount * math.Exp2(-float64(now-s.lastFlapAt)/float64(flapHalfLife))
}

// returning lets workers back in steps, in the order of their hashes, which is the same at all schedulers: keys go home
// together. Each is asked before. A site none of which answers any more is lost again.
func (m *Machine) returnWorkers(now Time, i int) {
	s := &m.sites[i]
	within := m.cfg.ReturnWindow << Time(min(maxFlapDoublings, max(0, s.flapCount-1)))
	due := int(float64(len(s.members))*float64(now-s.since)/float64(within)) + 1
	owing, waits := 0, 0
	for w := range s.pendingMembers() {
		if !w.isDisabled {
			if m.isSilent(now, w) && w.unansweredSince > s.lastSeen {
				owing++
			}
			continue
		}
		waits++
		if w.index >= due {
			continue
		}
		switch {
		case !m.cfg.MayProbe || w.lastSeen > s.since-m.cfg.ProbeInterval && w.lastSeen > w.disabledAt:
			m.enable(w, true)
			waits--
		case now >= w.probeAt && (w.unansweredSince == 0 || m.isSilent(now, w)):
			w.probeAt = now + m.cfg.ProbeInterval
			m.probe(now, w)
		}
	}
	silentFor := now - max(s.lastSeen, s.since)
	switch {
	case owing >= min(m.cfg.MinSilentWorkers, len(s.members)) && m.enabledWorkers(i) > 0, silentFor > 2*m.cfg.MaxReplyTimeout+m.cfg.IdleProbeDelay && owing > 0 && m.enabledWorkers(i) > 0:
		m.markSiteLost(now, i)
	case waits == 0 || now-s.since > 2*within:
		m.setState(now, i, Whole) // those that have not answered are tried one by one
	}
}
