package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"cobaltflow/internal/scale/result"
)

// FormatVersion is the version of the targets file format. A file of any other version is rejected.
const FormatVersion = 1

// Targets is the targets file: the size to plan for, the roles and budgets, and the mechanisms.
type Targets struct {
	Version     int          `json:"version"`
	Programs    []Program    `json:"programs"` // the baseline first
	Sizes       []Size       `json:"sizes"`
	Mechanisms  []Mechanism  `json:"mechanisms"`
	Roles       []Role       `json:"roles"`
	Constraints []Constraint `json:"constraints"` // lower bounds of the number of schedulers
	Fleets      []Fleet      `json:"fleets"`      // fleets whose number of schedulers is computed
}

// Program is a build whose figures the page shows.
type Program struct {
	Label string   `json:"label"`
	Title string   `json:"title"`
	Names []string `json:"names"` // labels of this build in the results
}

// Size is a number of the plan: given by its value, or computed as the product of Factors over Divisors, which are keys
// of other sizes.
type Size struct {
	Key           string   `json:"key"`
	Text          string   `json:"text"`
	Unit          Unit     `json:"unit"`
	FromOperators bool     `json:"operator,omitempty"` // is on the operators' list; a row has to depend on it
	Value         *float64 `json:"value,omitempty"`
	Factors       []string `json:"of,omitempty"`
	Divisors      []string `json:"per,omitempty"`
}

// Status says how far a mechanism does what it is for.
type Status string

// Statuses of a mechanism.
const (
	Works   Status = "works"
	Partial Status = "partial"
	Missing Status = "missing"
)

func (s Status) isValid() bool { return s == Works || s == Partial || s == Missing }

// Mechanism is a mechanism with its standard name and its status in the program.
type Mechanism struct {
	Key         string            `json:"key"`
	Name        string            `json:"name"`
	Status      Status            `json:"status"`
	Earlier     map[string]Status `json:"earlier,omitempty"` // statuses that differ in earlier programs, by the program's label
	Where       string            `json:"where,omitempty"`   // packages that implement it
	Description string            `json:"says"`              // what it does and what it lacks
	Options     []Option          `json:"options,omitempty"`
}

// statusIn returns the mechanism's status in the program with the label.
func (m *Mechanism) statusIn(label string) Status {
	if status, differs := m.Earlier[label]; differs {
		return status
	}
	return m.Status
}

// Option is a way to build a mechanism.
type Option struct {
	Text      string `json:"text"`
	Published string `json:"published,omitempty"`
}

// Role is a function of the fleet with what it needs, such as the schedulers or the distribution of configuration.
type Role struct {
	Key        string   `json:"key"`
	Title      string   `json:"title"`
	Mechanisms []string `json:"mechanisms"`
	Rows       []Row    `json:"rows"`
}

// Aspect is the kind of need that a row of a role describes.
type Aspect string

// Aspects. Each role needs a row of each of the first four.
const (
	State     Aspect = "state"
	Messages  Aspect = "messages"
	Processor Aspect = "processor"
	Memory    Aspect = "memory"
	Delay     Aspect = "delay"
	Sockets   Aspect = "sockets"
	Outcome   Aspect = "outcome" // what clients observe
)

var requiredAspects = []Aspect{State, Messages, Processor, Memory}

func (a Aspect) isValid() bool {
	return slices.Contains(requiredAspects, a) || a == Delay || a == Sockets || a == Outcome
}

// Row is one figure of a role at the planned size: Total, or Count times Each plus Base. If both Total and Count are
// given, the need of each item is their quotient. NotMeasured says why a row has no figure.
type Row struct {
	Key         string   `json:"key"`
	Aspect      Aspect   `json:"aspect"`
	Quantity    string   `json:"quantity"`
	Unit        Unit     `json:"unit"`
	Count       *Term    `json:"count,omitempty"`
	Each        *Term    `json:"each,omitempty"`
	Base        *Term    `json:"base,omitempty"`
	Total       *Term    `json:"total,omitempty"`
	Budget      string   `json:"budget,omitempty"` // key of a size
	Mechanism   string   `json:"mechanism,omitempty"`
	NotMeasured string   `json:"not_measured,omitempty"`
	AlsoCovers  []string `json:"answers,omitempty"` // further sizes that the row accounts for
}

// Term is a product: a measured figure, if any, over the figure Denominator, times the sizes Factors, over the sizes
// Divisors.
type Term struct {
	Figure      *Source  `json:"figure,omitempty"`
	Denominator *Source  `json:"over,omitempty"`
	Factors     []string `json:"times,omitempty"`
	Divisors    []string `json:"per,omitempty"`
}

// Use says how a value is derived from a measured figure.
type Use string

// Uses of a figure.
const (
	UseLine      Use = "line"      // intercept + slope × size At; if the figure has no line, as UsePoint
	UseSlope     Use = "slope"     // slope × size At; the slope alone if At is not given
	UseIntercept Use = "intercept" // the intercept alone
	UsePoint     Use = "point"     // mean of the runs nearest to the size At; of all runs if Parameter is not given
)

func (u Use) isValid() bool {
	return u == UseLine || u == UseSlope || u == UseIntercept || u == UsePoint
}

// Source identifies a figure of the results and how it is used.
type Source struct {
	Kind      result.Kind `json:"kind"`
	Case      string      `json:"case"`
	Figure    string      `json:"figure"`
	Parameter string      `json:"parameter,omitempty"`
	Use       Use         `json:"use"`
	At        string      `json:"at,omitempty"` // key of a size
}

// Constraint bounds the number of schedulers from below: the fleet's Events, each of which needs Each at the scheduler
// that processes it, have to fit into the part of Budget that is left after Fixed, which every scheduler needs whatever
// their number.
type Constraint struct {
	Key    string `json:"key"`
	Text   string `json:"text"`
	Budget string `json:"budget"`
	Fixed  []Term `json:"fixed"`
	Each   Term   `json:"each"`
	Events string `json:"events"`
}

// Fleet is a size for which the number of schedulers is computed: the planned one, with some sizes replaced.
type Fleet struct {
	Text  string             `json:"text"`
	Sizes map[string]float64 `json:"sizes"`
}

// ReadTargets reads and checks a targets file. An unknown key is an error.
func ReadTargets(path string) (*Targets, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	targets, err := parseTargets(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return targets, nil
}

func parseTargets(text []byte) (*Targets, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var targets Targets
	if err := decoder.Decode(&targets); err != nil {
		return nil, decodingError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errorAt("targets", "more follows behind the end")
	}
	if err := targets.check(); err != nil {
		return nil, err
	}
	return &targets, nil
}

// decodingError converts an error of the JSON decoder to an *Error with the key.
func decodingError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return errorAt("targets."+wrong.Field, "a %s is not what is wanted there", wrong.Value)
	}
	if name, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		return errorAt("targets", "the key %s is not known", name)
	}
	return errorAt("targets", "%s", err)
}
