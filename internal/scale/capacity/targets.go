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

// FormatVersion is the version of the targets file's form. A file of another version is refused.
const FormatVersion = 1

// Targets is what the page is held against: the size to plan for, the roles, and the mechanisms.
type Targets struct {
	Version     int          `json:"version"`
	Programs    []Program    `json:"programs"` // the baseline first
	Sizes       []Size       `json:"sizes"`
	Mechanisms  []Mechanism  `json:"mechanisms"`
	Roles       []Role       `json:"roles"`
	Constraints []Constraint `json:"constraints"` // what the number of schedulers follows from
	Fleets      []Fleet      `json:"fleets"`      // for which that number is computed
}

// Program is a build whose figures the page shows.
type Program struct {
	Label string   `json:"label"`
	Title string   `json:"title"`
	Names []string `json:"names"` // the labels of this build in the results
}

// Size is a number of the plan: given by its value, or as the product of other sizes (Of) over others (Per).
type Size struct {
	Key           string   `json:"key"`
	Text          string   `json:"text"`
	Unit          Unit     `json:"unit"`
	FromOperators bool     `json:"operator,omitempty"` // of the operators' list: has to stand behind a row
	Value         *float64 `json:"value,omitempty"`
	Factors       []string `json:"of,omitempty"`
	Divisors      []string `json:"per,omitempty"`
}

// Status tells whether a mechanism carries what it is for.
type Status string

// The states of a mechanism.
const (
	Works   Status = "works"
	Partial Status = "partial"
	Missing Status = "missing"
)

func (s Status) isValid() bool { return s == Works || s == Partial || s == Missing }

// Mechanism is one mechanism by its standard name, and its state in the program.
type Mechanism struct {
	Key         string            `json:"key"`
	Name        string            `json:"name"`
	Status      Status            `json:"status"`
	Earlier     map[string]Status `json:"earlier,omitempty"` // by the label of a program, where it was another
	Where       string            `json:"where,omitempty"`   // packages
	Description string            `json:"says"`              // what it does, and what it lacks
	Options     []Option          `json:"options,omitempty"`
}

// in gives the mechanism's state in a program.
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

// Role is a part of the fleet that has to be carried.
type Role struct {
	Key        string   `json:"key"`
	Title      string   `json:"title"`
	Mechanisms []string `json:"mechanisms"`
	Rows       []Row    `json:"rows"`
}

// Aspect is what a row of a role tells of.
type Aspect string

// The aspects. Each role has a row of each of the first four.
const (
	State     Aspect = "state"
	Messages  Aspect = "messages"
	Processor Aspect = "processor"
	Memory    Aspect = "memory"
	Delay     Aspect = "delay"
	Sockets   Aspect = "sockets"
	Outcome   Aspect = "outcome" // what clients get
)

var requiredAspects = []Aspect{State, Messages, Processor, Memory}

func (a Aspect) isValid() bool {
	return slices.Contains(requiredAspects, a) || a == Delay || a == Sockets || a == Outcome
}

// Row is one figure of a role at the planned size: Total, or Count times Each with Base added; where both Total and Count
// are given, what each needs is their quotient. NotMeasured says why a row has no figure.
type Row struct {
	Key         string   `json:"key"`
	Aspect      Aspect   `json:"aspect"`
	Quantity    string   `json:"quantity"`
	Unit        Unit     `json:"unit"`
	Count       *Term    `json:"count,omitempty"`
	Each        *Term    `json:"each,omitempty"`
	Base        *Term    `json:"base,omitempty"`
	Total       *Term    `json:"total,omitempty"`
	Budget      string   `json:"budget,omitempty"` // a size
	Mechanism   string   `json:"mechanism,omitempty"`
	NotMeasured string   `json:"not_measured,omitempty"`
	AlsoCovers  []string `json:"answers,omitempty"` // further sizes that the row answers
}

// Term is a product: a measured figure, where there is one, over another one, times sizes, over others.
type Term struct {
	Figure      *Source  `json:"figure,omitempty"`
	Denominator *Source  `json:"over,omitempty"`
	Factors     []string `json:"times,omitempty"`
	Divisors    []string `json:"per,omitempty"`
}

// Use tells what is made of a measured figure.
type Use string

// The uses of a figure.
const (
	UseLine      Use = "line"      // intercept + slope times the size At; where there is no line, as UsePoint
	UseSlope     Use = "slope"     // slope times the size At; the slope alone without At
	UseIntercept Use = "intercept" // the intercept alone
	UsePoint     Use = "point"     // the mean of the runs nearest to the size At; of all runs without a Parameter
)

func (u Use) isValid() bool {
	return u == UseLine || u == UseSlope || u == UseIntercept || u == UsePoint
}

// Source names a figure of the results.
type Source struct {
	Kind      result.Kind `json:"kind"`
	Case      string      `json:"case"`
	Figure    string      `json:"figure"`
	Parameter string      `json:"parameter,omitempty"`
	Use       Use         `json:"use"`
	At        string      `json:"at,omitempty"` // a size
}

// Constraint bounds the number of schedulers from below: Events of the fleet, of which each needs Each at the scheduler
// that has it, have to fit into what Budget leaves beside Fixed, which each scheduler needs whatever their number.
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

// ReadTargets reads a targets file. A key that it doesn't know is a fault.
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

// decodingFault names the key of a fault that the JSON decoder found.
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
