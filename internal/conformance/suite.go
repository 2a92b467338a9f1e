// Package conformance holds protocol test suites that run over real sockets against any server of the Faktory work protocol
// or of HTTP/2. Each case has a name and a one-sentence description. The command's conformance and the tests call it; it
// knows nothing of the server but how to reach it.
package conformance

import (
	"fmt"
	"io"
	"time"
)

// Result is the outcome of one case. Err is nil if the case passed.
type Result struct {
	Name, Description string
	Err               error
	Duration          time.Duration
}

// Report writes a line for each result as it arrives, and a total. It returns the numbers of cases that passed and failed.
func Report(w io.Writer, results <-chan Result) (passed, failed int) {
	for r := range results {
		if r.Err != nil {
			failed++
			fmt.Fprintf(w, "FAIL  %-28s %s\n      %v\n", r.Name, r.Description, r.Err)
			continue
		}
		passed++
		fmt.Fprintf(w, "ok    %-28s %s\n", r.Name, r.Description)
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", passed, failed)
	return passed, failed
}

// maxParallelCases is how many cases of a suite run at a time.
const maxParallelCases = 16

// runSuite runs a number of cases, maxParallelCases at a time, and sends their results in the order of the cases. It returns
// when it has sent the last.
func runSuite(cases int, run func(i int) Result, out chan<- Result) {
	done := make([]chan Result, cases)
	slots := make(chan struct{}, maxParallelCases)
	for i := range cases {
		done[i] = make(chan Result, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			done[i] <- run(i)
		}()
	}
	for _, d := range done {
		out <- <-d
	}
}

// failure is the panic value by which a helper ends its case.
type failure struct{ err error }

// catchFailure runs a function and returns the error of a failure that it panics with. Other panics continue.
func catchFailure(run func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			f, isFailure := r.(failure)
			if !isFailure {
				panic(r)
			}
			err = f.err
		}
	}()
	run()
	return nil
}
