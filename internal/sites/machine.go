package sites

import (
	"math"
	"math/rand/v2"
)

const (
	millisecond Time = 1000
	second      Time = 1000 * millisecond

	timeoutDeviations = 6.0         // deviations above the mean reply time after which a worker is silent
	replyTimeGain     = 0.02        // weight of a new reply in the moving averages
	checkTimeouts     = 4           // reply timeouts until a suspect site is checked again; doubles with each check, up to maxCheckInterval
	maxCheckInterval  = 4 * second  // between two checks of a suspect site
	flapHalfLife      = 30 * second // of a site's flap count
	maxFlapDoublings  = 6           // of Settings.FlapBackoff and Settings.ReturnWindow
	maxTurnDelay      = second / 4  // beyond idleTurnInterval; a later turn means that the host was stopped, and missing replies are no evidence
	busyTurnInterval  = 25 * millisecond
	idleTurnInterval  = second / 4
	probesPerSecond   = 12.0       // limit for all sites: an overloaded host sees many workers as silent
	probeBurst        = 16.0       // maximum number of saved probe tokens
	maxProbeInterval  = 2 * second // between probes of a disabled worker, before jitter
	maxShift          = 8          // doublings of a delay, to avoid an overflow

	randomStream = 0x7369746573 // "sites" in ASCII; separates these draws from others with the same seed
)

// Machine is one scheduler's failure detector for sites and workers. It is not safe for concurrent use.
type Machine struct {
	cfg           Settings
	actions       Actions
	rng           *rand.Rand
	sites         []site
	members       map[string]*member
	listCount     uint64 // worker lists applied so far
	lastTurn      Time
	probeTokens   float64 // probes that may be sent
	tokensAt      Time
	meanReplyTime float64 // moving averages of the reply time and its deviation, in microseconds
	replyTimeDev  float64
	replyCount    float64
}

// New returns a machine with all sites Whole and no workers.
func New(settings Settings, seed uint64, now Time, actions Actions) *Machine {
	settings.SiteCount = max(1, settings.SiteCount)
	if settings.MinSilentWorkers == 0 {
		settings.MinSilentWorkers = 5
	}
	for _, d := range []struct {
		setting  *Time
		fallback Time
	}{{&settings.MinReplyTimeout, 75 * millisecond}, {&settings.MaxReplyTimeout, 600 * millisecond}, {&settings.ProbeInterval, second / 2}, {&settings.IdleProbeDelay, second},
		{&settings.ReturnWindow, 2 * second}, {&settings.FlapBackoff, second / 4}} {
		if *d.setting == 0 {
			*d.setting = d.fallback
		}
	}
	m := &Machine{cfg: settings, actions: actions, rng: rand.New(rand.NewPCG(seed, randomStream)), members: map[string]*member{}, lastTurn: now,
		probeTokens: probeBurst, tokensAt: now}
	m.sites = make([]site, settings.SiteCount)
	for i := range m.sites {
		m.sites[i].lastSeen, m.sites[i].since = now, now
	}
	return m
}

// State returns a site's state and the time at which it was entered.
func (m *Machine) State(site int) (State, Time) { return m.sites[site].state, m.sites[site].since }

// IsDisabled reports whether a worker gets no new attempts.
func (m *Machine) IsDisabled(worker string) bool {
	w := m.members[worker]
	return w != nil && w.isDisabled
}

func (m *Machine) isLost(site int) bool {
	s := m.sites[site].state
	return s == Lost || s == CutOff
}

// Turn checks all sites and returns the time of the next call.
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

// resumeAfterPause restarts all reply timeouts after the host was stopped: its sockets may hold responses that it has not
// read yet.
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

// checkSite updates one site's state and reports whether the next turn is due soon.
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
	silentWorkers, unanswered := 0, 0
	for w := range s.pendingMembers() {
		if w.unansweredSince > 0 {
			unanswered++
		}
		if w.isDisabled {
			m.probeDisabled(now, w)
			continue
		}
		if !m.isSilent(now, w) {
			continue
		}
		if w.unansweredSince > s.lastSeen {
			silentWorkers++
		}
		m.recheckSilent(now, w)
	}
	// A worker that was disabled alone is not counted, so it must not be needed either.
	minSilent := min(m.cfg.MinSilentWorkers, len(s.members)-s.disabledCount)
	switch {
	case silentWorkers > 0 && silentWorkers >= minSilent && m.enabledWorkers(i) > 0:
		m.markSiteLost(now, i)
		return true
	case silentWorkers > 0:
		m.setState(now, i, Suspect)
		if now >= s.nextCheckAt {
			m.probeSome(now, i, minSilent-silentWorkers)
			s.nextCheckAt = now + m.replyTimeout()*checkTimeouts<<min(s.checkCount, maxShift)
			s.nextCheckAt = min(s.nextCheckAt, now+maxCheckInterval)
			s.checkCount++
		}
	default:
		m.setState(now, i, Whole)
		if s.checkCount > 0 && now > s.nextCheckAt+maxCheckInterval {
			s.checkCount = 0
		}
		if m.cfg.MayProbe && unanswered == 0 && now-s.lastSeen > m.cfg.IdleProbeDelay {
			m.probeSome(now, i, 1)
		}
	}
	return unanswered > 0
}

// enabledWorkers returns the number of enabled workers of all sites but one; below 0: of all sites.
func (m *Machine) enabledWorkers(except int) (n int) {
	for i := range m.sites {
		if s := &m.sites[i]; i != except {
			n += len(s.members) - s.disabledCount
		}
	}
	return n
}

// recheckSilent probes a silent worker once. If it stays silent while its site responds, the worker alone is disabled.
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
	// Replies missing from before are no evidence any more.
	w.isDisabled, w.unansweredSince, w.connectFailedAt, w.recheckedAt = false, 0, 0, 0
	m.sites[w.Site].disabledCount--
	m.actions.EnableWorker(w.Worker, cold)
}

// probeDisabled enables a disabled worker that has responded, and otherwise probes it with exponential backoff. Where
// workers may not be probed, it enables the worker after two intervals, so that jobs show whether it responds.
func (m *Machine) probeDisabled(now Time, w *member) {
	if w.lastSeen > w.disabledAt {
		m.enable(w, false)
		return
	}
	if now < w.probeAt {
		return
	}
	wait := min(m.cfg.ProbeInterval<<min(w.probeCount, maxShift), maxProbeInterval)
	w.probeCount++
	w.probeAt = now + wait/2 + Time(m.rng.Float64()*float64(wait))
	if m.cfg.MayProbe {
		m.probe(now, w)
	} else if w.probeCount > 1 {
		m.enable(w, false)
	}
}

// probeSome probes n randomly drawn workers of a site, among those without a recent unanswered request.
func (m *Machine) probeSome(now Time, i, n int) {
	if !m.cfg.MayProbe || n <= 0 {
		return
	}
	var candidates []*member
	for _, w := range m.sites[i].members {
		if w.unansweredSince == 0 || now-w.unansweredSince > m.cfg.MaxReplyTimeout {
			candidates = append(candidates, w)
		}
	}
	m.rng.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	for _, w := range candidates[:min(n, len(candidates))] {
		m.probe(now, w)
	}
}

// probe probes a worker if the rate limit allows it.
func (m *Machine) probe(now Time, w *member) {
	m.probeTokens = min(probeBurst, m.probeTokens+probesPerSecond*float64(now-m.tokensAt)/float64(second))
	m.tokensAt = now
	if !m.cfg.MayProbe || m.probeTokens < 1 {
		return
	}
	m.probeTokens--
	if w.isDisabled {
		w.unansweredSince, w.connectFailedAt = 0, 0 // earlier requests no longer count
	}
	m.actions.ProbeWorker(w.Worker)
}

// markSiteLost disables all workers of a site.
func (m *Machine) markSiteLost(now Time, i int) {
	s := &m.sites[i]
	s.flapCount = s.decayedFlaps(now) + 1
	s.lastFlapAt, s.respondingSince, s.checkCount = now, 0, 0
	s.probeAt = now + m.probeDelay()
	for _, w := range s.members {
		m.disable(now, w, true)
	}
	// If all other sites are lost while the own one is not, the own site is likely partitioned from them. Only the state
	// differs, not the actions: the other sites are unreachable either way.
	otherSites, lostSites := 0, 0
	for j := range m.sites {
		if j != m.cfg.OwnSite && len(m.sites[j].members) > 0 {
			otherSites++
			if j == i || m.isLost(j) {
				lostSites++
			}
		}
	}
	if i != m.cfg.OwnSite && otherSites > 1 && lostSites == otherSites {
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

// probeDelay returns the probe interval with jitter, which spreads the probes of all schedulers.
func (m *Machine) probeDelay() Time {
	return m.cfg.ProbeInterval/2 + Time(m.rng.Float64()*float64(m.cfg.ProbeInterval))
}

// checkLostSite probes a lost site and moves it to Returning once it has responded for requiredResponseTime.
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
			m.setState(now, i, Returning) // jobs to the first enabled workers show whether it responds
		}
	}
}

// requiredResponseTime returns how long a lost site must have responded before it returns. It grows with recent losses.
func (m *Machine) requiredResponseTime(now Time, i int) Time {
	flaps := m.sites[i].decayedFlaps(now)
	return Time(float64(m.cfg.FlapBackoff) * (math.Exp2(min(maxFlapDoublings, max(0, flaps-1))) - 0.5))
}

// decayedFlaps returns the number of times that the site was lost, decayed with flapHalfLife.
func (s *site) decayedFlaps(now Time) float64 {
	return s.flapCount * math.Exp2(-float64(now-s.lastFlapAt)/float64(flapHalfLife))
}

// returnWorkers enables the workers of a returning site in steps, in the order of their hashes. The order is the same at
// all schedulers, so that they move keys back to the site at the same time. Each worker is probed first. A site that
// stops responding is lost again.
func (m *Machine) returnWorkers(now Time, i int) {
	s := &m.sites[i]
	window := m.cfg.ReturnWindow << Time(min(maxFlapDoublings, max(0, s.flapCount-1)))
	due := int(float64(len(s.members))*float64(now-s.since)/float64(window)) + 1
	silentWorkers, disabled := 0, 0
	for w := range s.pendingMembers() {
		if !w.isDisabled {
			if m.isSilent(now, w) && w.unansweredSince > s.lastSeen {
				silentWorkers++
			}
			continue
		}
		disabled++
		if w.index >= due {
			continue
		}
		switch {
		case !m.cfg.MayProbe || w.lastSeen > s.since-m.cfg.ProbeInterval && w.lastSeen > w.disabledAt:
			m.enable(w, true)
			disabled--
		case now >= w.probeAt && (w.unansweredSince == 0 || m.isSilent(now, w)):
			w.probeAt = now + m.cfg.ProbeInterval
			m.probe(now, w)
		}
	}
	silentFor := now - max(s.lastSeen, s.since)
	switch {
	case silentWorkers >= min(m.cfg.MinSilentWorkers, len(s.members)) && m.enabledWorkers(i) > 0,
		silentFor > 2*m.cfg.MaxReplyTimeout+m.cfg.IdleProbeDelay && silentWorkers > 0 && m.enabledWorkers(i) > 0:
		m.markSiteLost(now, i)
	case disabled == 0 || now-s.since > 2*window:
		m.setState(now, i, Whole) // workers that have not responded are probed individually
	}
}
