// Package result defines the results of the scale measurements and their JSON file: the runs, the fitted slopes and the
// machine that they were measured on. Packages scale and hollow fill it in, and package capacity reads it.
package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// FormatVersion is the version of the file format. Read rejects a file of any other version.
const FormatVersion = 1

// File is a results file: everything that one run of the measurement command measured.
type File struct {
	Version  int     `json:"version"`
	Revision string  `json:"revision"` // revision of the measured program
	Machine  Machine `json:"machine"`
	TakenAt  string  `json:"taken"` // RFC 3339
	Command  string  `json:"command"`
	Runs     []Run   `json:"runs"`
	Slopes   []Slope `json:"slopes"`
}

// Machine describes the machine that the runs took place on.
type Machine struct {
	Cores     int   `json:"cores"`
	MemoryMB  int   `json:"memory_mb"`
	Exclusive bool  `json:"alone"`     // nothing else was running, according to the caller
	MaxFiles  int64 `json:"max_files"` // file descriptor limit of one process
}

// Kind says how the schedulers of a run were executed.
type Kind string

// Kinds of runs.
const (
	Real   Kind = "real"   // processes of the program that communicate over sockets
	Hollow Kind = "hollow" // the decision code alone, in one process and in virtual time
)

// Run holds the parameters and figures of one run of one case.
type Run struct {
	Case         string             `json:"case"` // name of the case, such as "workers"
	Kind         Kind               `json:"kind"`
	Seed         uint64             `json:"seed"`
	Program      string             `json:"program"` // label of the build: "now", or that of the build it is compared with
	Parameters   map[string]float64 `json:"parameters"`
	Figures      map[string]float64 `json:"figures"`          // by name; the name ends with the unit, as in "rss_bytes"
	MissedReason string             `json:"missed,omitempty"` // why the run is incomplete or has no figures; empty: it completed
}

// Slope is a straight line fitted to one figure of the runs of a case.
type Slope struct {
	Case          string  `json:"case"`
	Kind          Kind    `json:"kind"`
	Program       string  `json:"program"`
	Figure        string  `json:"figure"`
	Parameter     string  `json:"parameter"` // the independent variable of the fit
	Slope         float64 `json:"slope"`     // change of the figure per unit of the parameter
	Intercept     float64 `json:"intercept"`
	R2            float64 `json:"r2"`
	Low           float64 `json:"low"`                  // lower end of the slope's 95 % confidence interval
	High          float64 `json:"high"`                 // upper end of the same interval
	Points        int     `json:"points"`               // runs that the line was fitted to
	From          float64 `json:"from"`                 // smallest measured value of the parameter
	To            float64 `json:"to"`                   // largest measured value of the parameter
	PoorFitReason string  `json:"not_a_line,omitempty"` // why the line does not describe the figure; empty: it does
}

// Slope returns the slope of a figure in a case for the build labelled program, and whether there is one.
func (f *File) Slope(caseName, program, figure string) (Slope, bool) {
	for _, s := range f.Slopes {
		if s.Case == caseName && s.Program == program && s.Figure == figure {
			return s, true
		}
	}
	return Slope{}, false
}

// Read reads a results file. It returns an error for a file of another format version or without runs.
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

var errNoRuns = errors.New("the file contains no runs")

// Write writes the results to a file at path and sets f.Version to FormatVersion.
func (f *File) Write(path string) error {
	f.Version = FormatVersion
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
