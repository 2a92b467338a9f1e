// Package scenario reads what the rig is to play: sites with schedulers and table workers, clients, the network between
// them, and faults with their times. It checks and draws; it starts nothing.
package scenario

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON Schema of a scenario file.
//
//go:embed scenario.schema.json
var Schema []byte

// Scenario is one file. Times are seconds from the moment at which clients begin, unless the name tells another unit.
type Scenario struct {
	Name    string `json:"name"`
	About   string `json:"about"`
	Seconds float64
	Seed    uint64

	Sites     []Site
	Network   Network
	Workers   Workers
	Classes   []Class
	Clients   Clients
	Front     Front
	Discovery Discovery
	Peers     Peers
	Prices    Costs
	Tries     int `json:"tries"` // attempts of the schedulers for a request
	// DrainGraceS is how long schedulers may go on sending to a draining, removed or disabled worker.
	DrainGraceS float64 `json:"drain_grace_s"`

	Faults  []Fault
	Windows []Window
	Limits  []Limit
	// Own is put over the project's own configuration file of each scheduler.
	Own map[string]any
}

// Site is a place with schedulers and table workers of its own.
type Site struct {
	Name       string
	Schedulers int
	Workers    int
	Share      float64 // of the clients; 0: by its workers
}

// Range is a figure that is drawn anew each time, evenly.
type Range struct{ Min, Max float64 }

// UnmarshalJSON takes one number or a pair.
func (r *Range) UnmarshalJSON(text []byte) error {
	var pair [2]float64
	if len(text) > 0 && text[0] == '[' {
		err := json.Unmarshal(text, &pair)
		r.Min, r.Max = pair[0], pair[1]
		return err
	}
	err := json.Unmarshal(text, &r.Min)
	r.Max = r.Min
	return err
}

// MarshalJSON writes the pair.
func (r Range) MarshalJSON() ([]byte, error) { return json.Marshal([2]float64{r.Min, r.Max}) }

// Draw gives a value.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Min + (r.Max-r.Min)*rng.Float64() }

// Network is what messages take.
type Network struct {
	SameMS  Range `json:"same_ms"`  // one way within a site
	CrossMS Range `json:"cross_ms"` // one way between sites
}

// Workers are the table workers, alike but for their kind.
type Workers struct {
	Slots          int
	Queue          int // jobs that wait at most; one more is turned away
	Kinds          []Kind
	ColdFrom       float64 `json:"cold_from"`
	WarmS          float64 `json:"warm_s"`
	OverloadFactor float64 `json:"overload_factor"`
	TipAfterS      float64 `json:"tip_after_s"`
	ReportS        Range   `json:"report_s"`       // figures are made anew this often
	ReportDelayS   Range   `json:"report_delay_s"` // and seen so much later
	Noise          float64 // of a report's figures, as a part of them
	Connections    int     // held at most, each worker
	ConnectMS      float64 `json:"connect_ms"`     // the first request on a new connection takes so much longer
	KeptKeys       int     `json:"kept_keys"`      // 0: keys cost nothing
	FetchMS        float64 `json:"fetch_ms"`       // a key that is not kept takes so much longer
	IdleS          float64 `json:"idle_connect_s"` // idle connections are closed after it
	Probes         bool
}

// Kind is a kind of table worker.
type Kind struct {
	Name  string
	Share float64
	Speed float64 // running times are divided by it
}

// Class is a class of jobs.
type Class struct {
	Name      string
	Share     float64
	RunMS     float64 `json:"run_ms"` // mean at speed 1
	Spread    string  // exponential (the default), fixed
	Effect    string  // once, by_key, repeatable
	AimMS     float64 `json:"aim_ms"`
	Stretch   float64 // the aim grows by this multiple of the job's own running time
	DeadlineS float64 `json:"deadline_s"`
	Worth     float64
	LateWorth float64 `json:"late_worth"`
	Priority  int
}

// Clients ask in an open loop: they come whether or not others were answered.
type Clients struct {
	Load      float64 // of what all table workers together can do, at speed 1
	Rate      []Step  // multiples of it from a time on
	Keys      int
	Skew      float64 // of keys: 0 even, else the exponent of a Zipf law
	Unlike    float64 // of schedulers: a tenth of them get so many times what the others get; 0: alike
	Retries   int
	BackoffMS Range   `json:"backoff_ms"`
	Honour    float64 // part of them that keeps to Retry-After
	Leave     float64 // part of the requests whose client leaves before its time is over
	Repeats   bool    // clients ask again where the schedulers could not be reached
}

// Step is a change of load.
type Step struct {
	AtS   float64 `json:"at_s"`
	Times float64
}

// Front spreads clients over schedulers of their site.
type Front struct {
	NoticeS Range `json:"notice_s"` // a dead scheduler is noticed so much later
}

// Discovery tells the schedulers of the list.
type Discovery struct {
	Mode    string // push, ask
	NoticeS Range  `json:"notice_s"` // a process's end is told so much later, drawn for each scheduler
	SilentS Range  `json:"silent_s"` // a silent machine is dropped so much later; at most 0: never
	AddS    Range  `json:"add_s"`    // a start is told so much later
}

// Peers are messages between schedulers.
type Peers struct {
	On    bool
	Lost  float64
	Twice float64
	MS    Range // delay
}

// Prices are those of the settings.
type Costs struct {
	CrossZone float64 `json:"cross_zone"`
	Probe     float64
	Peer      float64
}

// Fault is something that breaks at a time, for a time.
type Fault struct {
	AtS    float64 `json:"at_s"`
	ForS   float64 `json:"for_s"` // 0: to the end
	What   string  // see the schema
	Site   string  // of workers or schedulers, or the near side of a path; empty: any
	To     string  // the far side of a path; empty: any
	Paths  []string
	Share  float64 // of those that it could meet; 0: all of them
	Count  int     // instead of share
	OneWay bool    `json:"one_way"`
	Factor float64 // of slow: running times are multiplied by it
	MS     float64 // of delay
	Every  float64 `json:"every_s"` // starts again after so long, until until_s
	Until  float64 `json:"until_s"`
	StepS  float64 `json:"step_s"` // of a release: one after the other
	Back   string  // how what was lost returns: cold (the default), warm, never
	Hung   bool    // of silent workers: their machines' kernels still take connections
	LaterS float64 `json:"later_s"` // schedulers of a site that was lost return so much after the workers (below 0: before)
}

// Window is a part of the run that the table shows by itself.
type Window struct {
	Name  string
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// Limit is a check of the scenario's own.
type Limit struct {
	Figure string
	Window string // empty: the whole run
	Class  string // empty: all
	Least  *float64
	Most   *float64
}

// Error is a fault of a scenario, at a key.
type Error struct{ Key, Text string }

func (e *Error) Error() string { return e.Key + ": " + e.Text }

// Load reads and checks a file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks a scenario.
func Parse(text []byte) (*Scenario, error) {
	if err := validateSchema(text); err != nil {
		return nil, err
	}
	s := defaults()
	if err := json.Unmarshal(text, s); err != nil {
		return nil, &Error{"scenario", err.Error()}
	}
	return s, s.checkValues()
}

func defaults() *Scenario {
	return &Scenario{
		Seed: 1, Tries: 4, DrainGraceS: 1,
		Network: Network{SameMS: Range{0.1, 0.3}, CrossMS: Range{1.2, 2.1}},
		Workers: Workers{Slots: 4, Queue: 60, ColdFrom: 0.31, WarmS: 8.9, OverloadFactor: 3, TipAfterS: 1,
			ReportS: Range{0.47, 0.7}, ReportDelayS: Range{0.1, 0.2}, Noise: 0.05, Connections: 400, IdleS: 60, Probes: true},
		Clients:   Clients{Load: 0.5, Keys: 2000, Retries: 2, BackoffMS: Range{24, 190}, Honour: 0.85, Repeats: true},
		Front:     Front{NoticeS: Range{0.8, 3.5}},
		Discovery: Discovery{Mode: "push", NoticeS: Range{0.98, 4.8}, SilentS: Range{4.7, 13}, AddS: Range{0.22, 2.5}},
		Peers:     Peers{MS: Range{1.1, 6.8}},
		Prices:    Costs{CrossZone: 0.13, Probe: 0.0018, Peer: 0.0096},
	}
}

func (s *Scenario) checkValues() error {
	if len(s.Workers.Kinds) == 0 {
		s.Workers.Kinds = []Kind{{Name: "gen1", Share: 1, Speed: 1}}
	}
	schedulers, workers := 0, 0
	for i := range s.Sites {
		schedulers += s.Sites[i].Schedulers
		workers += s.Sites[i].Workers
	}
	if schedulers < 1 || schedulers > MaxSchedulers {
		return &Error{"sites", fmt.Sprintf("%d schedulers in all are not from 1 to %d", schedulers, MaxSchedulers)}
	}
	if workers < 1 || workers > MaxWorkers {
		return &Error{"sites", fmt.Sprintf("%d table workers in all are not from 1 to %d", workers, MaxWorkers)}
	}
	for i := range s.Sites {
		if s.Sites[i].Share == 0 {
			s.Sites[i].Share = float64(s.Sites[i].Workers) / float64(workers)
		}
		if s.SiteIndex(s.Sites[i].Name) != i {
			return &Error{fmt.Sprintf("sites.%d.name", i), fmt.Sprintf("%q stands twice", s.Sites[i].Name)}
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.AimMS/1000 > c.DeadlineS {
			return &Error{fmt.Sprintf("classes.%d.aim_ms", i), "over deadline_s"}
		}
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("faults.%d.", i)
		for key, name := range map[string]string{"site": f.Site, "to": f.To} {
			if name != "" && s.SiteIndex(name) < 0 {
				return &Error{at + key, fmt.Sprintf("%q is no site", name)}
			}
		}
		if f.AtS > s.Seconds {
			return &Error{at + "at_s", fmt.Sprintf("%v is after the end, %v", f.AtS, s.Seconds)}
		}
		if f.Every > 0 && f.Until <= f.AtS {
			return &Error{at + "until_s", "missing, or not after at_s"}
		}
	}
	for i, l := range s.Limits {
		if l.Window != "" && !slices.ContainsFunc(s.Windows, func(w Window) bool { return w.Name == l.Window }) {
			return &Error{fmt.Sprintf("limits.%d.window", i), fmt.Sprintf("%q is no window", l.Window)}
		}
		if l.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == l.Class }) {
			return &Error{fmt.Sprintf("limits.%d.class", i), fmt.Sprintf("%q is no class", l.Class)}
		}
		if l.Least == nil && l.Most == nil {
			return &Error{fmt.Sprintf("limits.%d", i), "neither least nor most"}
		}
	}
	return nil
}

// Bounds of a scenario: what one machine of 4 cores and 24 GB bears.
const (
	MaxSchedulers = 300
	MaxWorkers    = 200
)

// WindowS is how long a repeat of a by_key class is dropped by its group of workers.
const DedupWindowS = 5

// Site gives a site's number; -1: there is none of that name.
func (s *Scenario) SiteIndex(name string) int {
	return slices.IndexFunc(s.Sites, func(x Site) bool { return x.Name == name })
}

// HeldUS is for how long, in microseconds, schedulers are held up (hold-schedulers) at some time from one to another of the
// run. Answers may come so much later: the operators' terms bear a process that is held up for 0.15 s.
func (s *Scenario) PausedUS(fromUS, toUS int64) (held int64) {
	for _, f := range s.Faults {
		begins, ends := int64(f.AtS*1e6), int64((f.AtS+f.ForS)*1e6)
		if f.What == "hold-schedulers" && fromUS <= ends && toUS >= begins {
			held += ends - begins
		}
	}
	return held
}

// Schedulers gives the site of each scheduler.
func (s *Scenario) SchedulerSites() (sites []int) {
	for i, x := range s.Sites {
		for range x.Schedulers {
			sites = append(sites, i)
		}
	}
	return sites
}

// MeanRunS is the mean running time of a job, at speed 1.
func (s *Scenario) MeanRunS() float64 {
	share, run := 0.0, 0.0
	for _, c := range s.Classes {
		share += c.Share
		run += c.Share * c.RunMS / 1000
	}
	return run / share
}

// Speed is the mean speed of a table worker.
func (s *Scenario) MeanSpeed() float64 {
	share, speed := 0.0, 0.0
	for _, k := range s.Workers.Kinds {
		share += k.Share
		speed += k.Share * k.Speed
	}
	return speed / share
}

// RatePerS is how many jobs a second all clients together ask for at load 1 times Clients.Load.
func (s *Scenario) RatePerS() float64 {
	workers := 0
	for _, x := range s.Sites {
		workers += x.Workers
	}
	return s.Clients.Load * float64(workers*s.Workers.Slots) * s.MeanSpeed() / s.MeanRunS()
}

func validateSchema(text []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("scenario.schema.json", doc); err != nil {
		return err
	}
	schema, err := c.Compile("scenario.schema.json")
	if err != nil {
		return err
	}
	file, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &Error{"scenario", err.Error()}
	}
	var bad *jsonschema.ValidationError
	if err := schema.Validate(file); errors.As(err, &bad) {
		for len(bad.Causes) > 0 {
			bad = bad.Causes[len(bad.Causes)-1]
		}
		key := strings.Join(bad.InstanceLocation, ".")
		if key == "" {
			key = "scenario"
		}
		return &Error{key, bad.ErrorKind.LocalizedString(message.NewPrinter(language.English))}
	}
	return err
}
