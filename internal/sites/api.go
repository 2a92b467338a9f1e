// Package sites detects the loss of sites and of single table workers from the requests that one scheduler sends to
// workers and the responses that it receives, and decides which workers are disabled, probed and enabled again. Package
// core reports the events to it and executes the actions that it emits, in order; package rules then chooses workers for
// jobs among the enabled ones.
//
// The package does no I/O and reads no clock. The host passes now, in microseconds of a monotonic clock, with every
// event, and calls Turn no later than the time that the previous call returned.
package sites

// Time is an instant or a duration of the host's monotonic clock, in microseconds.
type Time = int64

// Settings configures a Machine. A zero value selects the default noted at the field.
type Settings struct {
	SiteCount int  // number of sites, at least 1
	OwnSite   int  // index of this scheduler's site
	MayProbe  bool // workers may be probed; otherwise only jobs show which workers respond

	MinSilentWorkers int  // silent workers, with no response from their site, that make it lost; 0: 5; all enabled ones if they are fewer
	MinReplyTimeout  Time // lower bound of the adaptive reply timeout; 0: 75 ms
	MaxReplyTimeout  Time // upper bound, however slow past replies were; 0: 600 ms
	ProbeInterval    Time // between probes of a lost site; 0: 500 ms
	IdleProbeDelay   Time // a site without any response for this long is probed; 0: 1 s
	ReturnWindow     Time // time over which the workers of a returning site are enabled; 0: 2 s
	// FlapBackoff scales the time that a lost site must respond before it returns: half of FlapBackoff after a first loss.
	// Each further loss raises the time exponentially; past losses decay with a half-life of 30 s. 0: 250 ms.
	FlapBackoff Time
}

// Member is an entry of the worker list.
type Member struct {
	Worker string
	Site   int
}

// State is the state of a site as this scheduler sees it.
type State uint8

// The states, in the order in which a site passes through them.
const (
	Whole     State = iota
	Suspect         // a worker is silent and the site has not responded since: other workers are probed
	Lost            // Settings.MinSilentWorkers, or all enabled ones if they are fewer, are silent: all its workers are disabled
	CutOff          // as Lost, while all sites but the own one are lost: the own site is likely partitioned
	Returning       // it responds again: its workers are enabled in steps
)

func (s State) String() string {
	return [...]string{"whole", "suspect", "lost", "cut-off", "returning"}[s]
}

// Actions are the effects that a Machine emits for its host to execute.
type Actions interface {
	// ProbeWorker sends a probe to a worker. The host calls ReplyExpected when the probe is sent.
	ProbeWorker(worker string)
	// DisableWorker stops new attempts to a worker. siteLost reports whether its whole site is lost.
	DisableWorker(worker string, siteLost bool)
	// EnableWorker allows attempts to a worker again. cold reports that the worker has to be treated as cold even if the
	// worker list does not say so, because it may have been restarted while its site was lost.
	EnableWorker(worker string, cold bool)
	// StateChanged reports a transition of a site's state.
	StateChanged(site int, from, to State)
}
