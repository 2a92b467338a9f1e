// Package conformance holds suites of cases that any server of a protocol can be held to, over real sockets: each
// case is named and says in a sentence what it checks. It knows nothing of the server but its address.
package conformance

import (
	"fmt"
	"io"
	"time"
)

// Result is what became of one case.
type Result struct {
	Name, Description string
	Err               error
	Duration          time.Duration
}

// Report writes a line for each result as it comes, and a total. It returns the number of cases that failed.
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

// casesAtOnce is how many cases of a suite run at a time.
const maxParallelCases = 16

// runSuite runs so many cases, casesAtOnce at a time, and sends their results in the order of the cases. It returns
// when the last has been sent.
func runSuite(cases int, run func(i int) Result, out chan<- Result) {
	done := make([]chan Result, cases)
	running := make(chan struct{}, maxParallelCases)
	for i := range cases {
		done[i] = make(chan Result, 1)
		go func() {
			running <- struct{}{}
			defer func() { <-running }()
			done[i] <- run(i)
		}()
	}
	for _, d := range done {
		out <- <-d
	}
}

// failure ends a case from within its helpers.
type failure struct{ err error }

func catchFailure(run func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			f, ours := r.(failure)
			if !ours {
				panic(r)
			}
			err = f.err
		}
	}()
	run()
	return nil
}
