// Package sites knows which sites, and which table workers of them, are there, as far as one scheduler can tell: from
// what it has asked of workers and what came back. It says which workers get nothing new, which are let back and how
// fast, and whom to ask for a sign of life. It does no I/O, reads no clock and chooses no worker for a job: package
// rules does, among those that this one leaves.
//
// The host tells every event with now, in microseconds of a clock that never goes back, and calls Turn no later than
// the time that the last call gave. What Turn emits is carried out in the order given.
package sites

// Time is a point in, or a length of, the host's clock, in microseconds.
type Time = int64

// Settings are given once. A zero value stands for the default noted.
type Settings struct {
	SiteCount int  // at least 1
	OwnSite   int  // this scheduler's
	MayProbe  bool // workers may be asked for a sign of life; otherwise jobs alone show who is there

	MinSilentWorkers int  // workers of a site that must be silent, and none heard, before it counts as lost; 0: 5
	MinReplyTimeout  Time // a worker may take so long for its first answer, at least; 0: 75 ms
	MaxReplyTimeout  Time // and at most, however slow answers have been; 0: 600 ms
	ProbeInterval    Time // a worker of a lost site is asked so often; 0: 500 ms
	IdleProbeDelay   Time // a site of which nothing was heard for so long is asked; 0: 1 s
	ReturnWindow     Time // a site that is back gets all its workers back within it; 0: 2 s
	FlapBackoff      Time // each further loss within a minute doubles how long a site must answer before it is let back, from
	// this; 0: 250 ms
}

// Member is a worker of the list.
type Member struct {
	Worker string
	Site   int
}

// State is what a scheduler holds a site for.
type State uint8

// The states, in the order in which a site goes through them.
const (
	Whole     State = iota
	Suspect         // one of its workers is silent, and nothing was heard since: others are being asked
	Lost            // enough of them are: it gets nothing new
	CutOff          // as Lost, but all other sites are gone at once, and ours is there: rather it is us
	Returning       // some have answered, and are let back in steps
)

func (s State) String() string {
	return [...]string{"whole", "suspect", "lost", "cut-off", "returning"}[s]
}

// Actions is what a Machine asks of its host.
type Actions interface {
	// Ask wants a sign of life of a worker; Asked is told when it goes out.
	ProbeWorker(worker string)
	// Out has a worker get nothing new. siteLost tells whether with all of its site.
	DisableWorker(worker string, siteLost bool)
	// Back lets it have jobs again. With its site it may have been started anew meanwhile: then cold tells that it has to
	// be taken for cold, whatever the list says.
	EnableWorker(worker string, cold bool)
	// Changed tells of a site's state.
	StateChanged(site int, from, to State)
}
