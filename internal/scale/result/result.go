// Package result holds the results of the scale measurements and the form in which they are stored: one JSON file
// with the runs, the fitted slopes and the machine they were measured on. It runs nothing and fits nothing.
package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// FormatVersion is the version of the file's form. A file of another version is refused.
const FormatVersion = 1

// File is everything that one call of the measurement command has measured.
type File struct {
	Version  int     `json:"version"`
	Revision string  `json:"revision"` // of the program that was measured
	Machine  Machine `json:"machine"`
	TakenAt  string  `json:"taken"` // RFC 3339
	Command  string  `json:"command"`
	Runs     []Run   `json:"runs"`
	Slopes   []Slope `json:"slopes"`
}

// Machine is where the runs took place.
type Machine struct {
	Cores     int   `json:"cores"`
	MemoryMB  int   `json:"memory_mb"`
	Exclusive bool  `json:"alone"`     // nothing else was running, as the caller says
	MaxFiles  int64 `json:"max_files"` // the limit of descriptors of one process
}

// Kind tells how the schedulers of a run were made.
type Kind string

// The kinds of runs.
const (
	Real   Kind = "real"   // processes of the program, on sockets
	Hollow Kind = "hollow" // the decisions in one process, in virtual time
)

// Run is one run of one case.
type Run struct {
	Case         string             `json:"case"` // what is varied, as "workers"
	Kind         Kind               `json:"kind"`
	Seed         uint64             `json:"seed"`
	Program      string             `json:"program"` // the label of the build: "now", or that of the build beside it
	Parameters   map[string]float64 `json:"parameters"`
	Figures      map[string]float64 `json:"figures"`          // by name with the unit at its end, as "rss_bytes"
	MissedReason string             `json:"missed,omitempty"` // why the run gave no figures; empty: it did
}

// Slope is a straight line fitted through one figure of the runs of a case.
type Slope struct {
	Case          string  `json:"case"`
	Kind          Kind    `json:"kind"`
	Program       string  `json:"program"`
	Figure        string  `json:"figure"`
	Parameter     string  `json:"parameter"` // along which it was fitted
	Slope         float64 `json:"slope"`     // figure for each unit of the parameter
	Intercept     float64 `json:"intercept"`
	R2            float64 `json:"r2"`
	Low           float64 `json:"low"`  // of the slope's 95 % confidence interval
	High          float64 `json:"high"` // of the same
	Points        int     `json:"points"`
	From          float64 `json:"from"` // least and most of the parameter that was measured
	To            float64 `json:"to"`
	PoorFitReason string  `json:"not_a_line,omitempty"` // why the line doesn't describe the figure; empty: it does
}

// Slope gives the slope of a figure in a case, of the build labelled program.
func (f *File) Slope(of, program, figure string) (Slope, bool) {
	for _, s := range f.Slopes {
		if s.Case == of && s.Program == program && s.Figure == figure {
			return s, true
		}
	}
	return Slope{}, false
}

// Read reads a results file.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f File
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Version != FormatVersion {
		return nil, fmt.Errorf("%s: version: %d is not %d", path, f.Version, FormatVersion)
	}
	if len(f.Runs) == 0 {
		return nil, fmt.Errorf("%s: %w", path, errNoRuns)
	}
	return &f, nil
}

var errNoRuns = errors.New("runs: there are none")

// Write writes a results file.
func (f *File) Write(path string) error {
	f.Version = FormatVersion
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
