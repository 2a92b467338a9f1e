// Package scenario defines, reads and checks scenario files: sites with schedulers and table workers, clients, the network
// between them, and faults with their times. Packages fleet, judge, soak and experiment work from its Scenario.
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

// Scenario is the content of a scenario file; its fields have the names of the file's keys. Times are in seconds since the
// clients began, unless the name states another unit.
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
	Tries     int `json:"tries"` // maximum number of a scheduler's attempts for a request
	// DrainGraceS is how long schedulers may still send to a worker that is draining, removed or disabled.
	DrainGraceS float64 `json:"drain_grace_s"`

	Faults  []Fault
	Windows []Window
	Limits  []Limit
	// Own is merged over the program's own configuration file of each scheduler.
	Own map[string]any
}

// Site is a site with its schedulers and table workers.
type Site struct {
	Name       string
	Schedulers int
	Workers    int
	Share      float64 // part of the clients; 0: in proportion to the workers
}

// Range is a value that is drawn for each use, uniformly in [Min, Max).
type Range struct{ Min, Max float64 }

// UnmarshalJSON accepts a number or a pair of numbers.
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

// MarshalJSON writes the range as a pair of numbers.
func (r Range) MarshalJSON() ([]byte, error) { return json.Marshal([2]float64{r.Min, r.Max}) }

// Draw returns a random value of the range.
func (r Range) Draw(rng *rand.Rand) float64 { return r.Min + (r.Max-r.Min)*rng.Float64() }

// Network holds the delays of the network.
type Network struct {
	SameMS  Range `json:"same_ms"`  // one-way delay within a site
	CrossMS Range `json:"cross_ms"` // one-way delay between sites
}

// Workers holds the settings of all table workers, which differ in their kind only.
type Workers struct {
	Slots          int
	Queue          int // maximum number of waiting jobs; more are answered 503
	Kinds          []Kind
	ColdFrom       float64 `json:"cold_from"`
	WarmS          float64 `json:"warm_s"`
	OverloadFactor float64 `json:"overload_factor"`
	TipAfterS      float64 `json:"tip_after_s"`
	ReportS        Range   `json:"report_s"`       // interval between load reports
	ReportDelayS   Range   `json:"report_delay_s"` // delay until a load report is visible
	Noise          float64 // greatest relative error of a report's figures
	Connections    int     // maximum per worker
	ConnectMS      float64 `json:"connect_ms"`     // additional running time of the first request on a new connection
	KeptKeys       int     `json:"kept_keys"`      // size of a worker's cache of keys; 0: keys cost nothing
	FetchMS        float64 `json:"fetch_ms"`       // additional running time for a key that is not cached
	IdleS          float64 `json:"idle_connect_s"` // time after which workers close idle connections
	Probes         bool
}

// Kind is a kind of table worker.
type Kind struct {
	Name  string
	Share float64
	Speed float64 // divisor of the running times
}

// Class is a class of jobs.
type Class struct {
	Name      string
	Share     float64
	RunMS     float64 `json:"run_ms"` // mean running time at speed 1
	Spread    string  // of the running times: exponential (the default) or fixed
	Effect    string  // once, by_key or repeatable
	AimMS     float64 `json:"aim_ms"`
	Stretch   float64 // the latency target grows by this multiple of the job's own running time
	DeadlineS float64 `json:"deadline_s"`
	Worth     float64
	LateWorth float64 `json:"late_worth"`
	Priority  int
}

// Clients holds the settings of the clients, which send requests in an open loop: regardless of the answers to others.
type Clients struct {
	Load      float64 // offered load, as part of the capacity of all table workers
	Rate      []Step  // multiples of Load, each from a time on
	Keys      int
	Skew      float64 // exponent of the Zipf distribution of keys; 0: uniform
	Unlike    float64 // multiple of the requests that each tenth scheduler gets; 0: all get the same
	Retries   int
	BackoffMS Range   `json:"backoff_ms"`
	Honour    float64 // part of the clients that honour Retry-After
	Leave     float64 // part of the requests whose client disconnects before its deadline
	Repeats   bool    // clients retry when a scheduler cannot be reached, and repeatable requests after other failures
}

// Step is a change of the load.
type Step struct {
	AtS   float64 `json:"at_s"`
	Times float64
}

// Front holds the settings of the load balancer, which spreads clients over the schedulers of their site.
type Front struct {
	NoticeS Range `json:"notice_s"` // delay until it notices that a scheduler is down
}

// Discovery holds the settings of the service that sends the worker list to the schedulers.
type Discovery struct {
	Mode    string // push or ask
	NoticeS Range  `json:"notice_s"` // delay until a crashed worker is removed, drawn for each scheduler
	SilentS Range  `json:"silent_s"` // delay until a silent worker is removed; at most 0: never
	AddS    Range  `json:"add_s"`    // delay until a worker's start is announced
}

// Peers holds the settings of the messages between schedulers.
type Peers struct {
	On    bool
	Lost  float64
	Twice float64
	MS    Range // additional delay
}

// Costs holds the costs that the platform's settings state.
type Costs struct {
	CrossZone float64 `json:"cross_zone"`
	Probe     float64
	Peer      float64
}

// Fault is a fault that occurs at a time and lasts for a time.
type Fault struct {
	AtS    float64 `json:"at_s"`
	ForS   float64 `json:"for_s"` // 0: to the end
	What   string  // kind of fault, see the schema
	Site   string  // of the workers or schedulers, or one end of a path; empty: any
	To     string  // other end of a path; empty: any
	Paths  []string
	Share  float64 // part of the candidates that are affected; 0: all
	Count  int     // number of affected candidates, at most those of Share
	OneWay bool    `json:"one_way"`
	Factor float64 // of slow-workers: factor of the running times
	MS     float64 // of delay
	Every  float64 `json:"every_s"` // interval of repetitions, until until_s; 0: none
	Until  float64 `json:"until_s"`
	StepS  float64 `json:"step_s"` // interval between the single schedulers or signals
	Back   string  // how lost workers return: cold (the default), warm or never
	Hung   bool    // of silent workers: the kernel still accepts connections
	LaterS float64 `json:"later_s"` // of lose-site: schedulers return this long after the workers; below 0: before them
	// StoppedMS is, of end-schedulers and upgrade-schedulers, for how long an ending process is stopped at a time; 0: never.
	StoppedMS float64 `json:"stopped_ms,omitempty"`
}

// Window is a part of the run with figures of its own.
type Window struct {
	Name  string
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// Limit is a bound of a figure that a run is checked against.
type Limit struct {
	Figure string
	Window string // empty: the whole run
	Class  string // empty: all classes
	Least  *float64
	Most   *float64
}

// Error is an error in a scenario file, at a key such as faults.0.to.
type Error struct{ Key, Text string }

func (e *Error) Error() string { return e.Key + ": " + e.Text }

// Load reads and checks a scenario file. The error of an invalid one wraps an *Error.
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

// Parse reads and checks the text of a scenario file and sets defaults. The error of an invalid one is an *Error.
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

// defaults returns a scenario with the default values.
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

// checkValues checks what the schema cannot, and sets defaults that depend on other values.
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
		return &Error{"sites", fmt.Sprintf("total number of schedulers %d is not from 1 to %d", schedulers, MaxSchedulers)}
	}
	if workers < 1 || workers > MaxWorkers {
		return &Error{"sites", fmt.Sprintf("total number of table workers %d is not from 1 to %d", workers, MaxWorkers)}
	}
	for i := range s.Sites {
		if s.Sites[i].Share == 0 {
			s.Sites[i].Share = float64(s.Sites[i].Workers) / float64(workers)
		}
		if s.SiteIndex(s.Sites[i].Name) != i {
			return &Error{fmt.Sprintf("sites.%d.name", i), fmt.Sprintf("duplicate site name %q", s.Sites[i].Name)}
		}
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		if class.AimMS/1000 > class.DeadlineS {
			return &Error{fmt.Sprintf("classes.%d.aim_ms", i), "exceeds deadline_s"}
		}
	}
	for i, fault := range s.Faults {
		prefix := fmt.Sprintf("faults.%d.", i)
		for key, name := range map[string]string{"site": fault.Site, "to": fault.To} {
			if name != "" && s.SiteIndex(name) < 0 {
				return &Error{prefix + key, fmt.Sprintf("site %q does not exist", name)}
			}
		}
		if fault.AtS > s.Seconds {
			return &Error{prefix + "at_s", fmt.Sprintf("%v s is after the end of the run, %v s", fault.AtS, s.Seconds)}
		}
		if fault.Every > 0 && fault.Until <= fault.AtS {
			return &Error{prefix + "until_s", "missing or not after at_s"}
		}
	}
	for i, limit := range s.Limits {
		if limit.Window != "" && !slices.ContainsFunc(s.Windows, func(w Window) bool { return w.Name == limit.Window }) {
			return &Error{fmt.Sprintf("limits.%d.window", i), fmt.Sprintf("window %q does not exist", limit.Window)}
		}
		if limit.Class != "" && !slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == limit.Class }) {
			return &Error{fmt.Sprintf("limits.%d.class", i), fmt.Sprintf("class %q does not exist", limit.Class)}
		}
		if limit.Least == nil && limit.Most == nil {
			return &Error{fmt.Sprintf("limits.%d", i), "neither least nor most is set"}
		}
	}
	return nil
}

// Bounds of the size of a scenario, which one machine with 4 cores and 24 GB of memory can run.
const (
	MaxSchedulers = 300
	MaxWorkers    = 200
)

// DedupWindowS is how long, in seconds, a group of workers drops repeats of a request of a by_key class.
const DedupWindowS = 5

// SiteIndex returns the index of a site, or -1 if there is none of that name.
func (s *Scenario) SiteIndex(name string) int {
	return slices.IndexFunc(s.Sites, func(site Site) bool { return site.Name == name })
}

// PausedUS returns the total duration, in microseconds, of the pauses of schedulers (hold-schedulers) that overlap a time of
// the run. Answers may be that much later: the operators' terms allow for a process that is paused for 0.15 s.
func (s *Scenario) PausedUS(fromUS, toUS int64) (pausedUS int64) {
	for _, fault := range s.Faults {
		startUS, endUS := int64(fault.AtS*1e6), int64((fault.AtS+fault.ForS)*1e6)
		if fault.What == "hold-schedulers" && fromUS <= endUS && toUS >= startUS {
			pausedUS += endUS - startUS
		}
	}
	return pausedUS
}

// SchedulerSites returns the site index of each scheduler.
func (s *Scenario) SchedulerSites() (sites []int) {
	for i, site := range s.Sites {
		for range site.Schedulers {
			sites = append(sites, i)
		}
	}
	return sites
}

// MeanRunS returns the mean running time of a job in seconds, at speed 1.
func (s *Scenario) MeanRunS() float64 {
	share, run := 0.0, 0.0
	for _, class := range s.Classes {
		share += class.Share
		run += class.Share * class.RunMS / 1000
	}
	return run / share
}

// MeanSpeed returns the mean speed of the table workers.
func (s *Scenario) MeanSpeed() float64 {
	share, speed := 0.0, 0.0
	for _, kind := range s.Workers.Kinds {
		share += kind.Share
		speed += kind.Share * kind.Speed
	}
	return speed / share
}

// RatePerS returns the number of requests per second of all clients together, before the steps of Clients.Rate.
func (s *Scenario) RatePerS() float64 {
	workers := 0
	for _, site := range s.Sites {
		workers += site.Workers
	}
	return s.Clients.Load * float64(workers*s.Workers.Slots) * s.MeanSpeed() / s.MeanRunS()
}

// validateSchema checks the text of a scenario file against Schema. The error names the key of the innermost violation.
func validateSchema(text []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("scenario.schema.json", doc); err != nil {
		return err
	}
	schema, err := compiler.Compile("scenario.schema.json")
	if err != nil {
		return err
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &Error{"scenario", err.Error()}
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(instance); errors.As(err, &invalid) {
		for len(invalid.Causes) > 0 {
			invalid = invalid.Causes[len(invalid.Causes)-1]
		}
		key := strings.Join(invalid.InstanceLocation, ".")
		if key == "" {
			key = "scenario"
		}
		return &Error{key, invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))}
	}
	return err
}
