package main

import (
	"fmt"
	"slices"
	"time"
)

// attemptSpan is one attempt as its worker saw it: from its last byte to its end, or to when it was given up.
type attemptSpan struct {
	worker, class string
	attempt       int
	from, to      time.Time // to is zero while it has not ended
	hasRun        bool
	end           string
}

// spans returns the attempts of each request.
func (f *fleet) spans() map[string][]*attemptSpan {
	all := map[string][]*attemptSpan{}
	for _, e := range f.events() {
		list := all[e.id]
		i := slices.IndexFunc(list, func(s *attemptSpan) bool { return s.attempt == e.attempt })
		if i < 0 {
			all[e.id] = append(list, &attemptSpan{worker: e.worker, class: e.class, attempt: e.attempt, from: e.at})
			continue
		}
		switch s := list[i]; e.what {
		case "started":
			s.hasRun = true
		case "refused", "error", "done", "failed", "given-up":
			if s.to.IsZero() {
				s.to, s.end = e.at, e.what
			}
		}
	}
	return all
}

// copies returns a line for each attempt that came while an earlier one of the same request had neither ended nor been given up.
func (f *fleet) copies(start time.Time) (lines []string) {
	for id, list := range f.spans() {
		for i, later := range list {
			for _, earlier := range list[:i] {
				if !earlier.to.IsZero() && earlier.to.Before(later.from) {
					continue
				}
				until := "has not ended"
				if !earlier.to.IsZero() {
					until = fmt.Sprintf("%s at %.4f", earlier.end, earlier.to.Sub(start).Seconds())
				}
				lines = append(lines, fmt.Sprintf("%s %s: attempt %d came to %s at %.4f, while attempt %d at %s, come at %.4f (%s), had neither ended nor been given up",
					later.class, id, later.attempt, later.worker, later.from.Sub(start).Seconds(), earlier.attempt, earlier.worker,
					earlier.from.Sub(start).Seconds(), until))
			}
		}
	}
	slices.Sort(lines)
	return lines
}

// runTwice returns a line for each request of the classes that was started more than once.
func (f *fleet) runTwice(classes ...string) (lines []string) {
	for id, list := range f.spans() {
		runs := ""
		n := 0
		for _, s := range list {
			if s.hasRun {
				n++
				runs += fmt.Sprintf(" attempt %d at %s", s.attempt, s.worker)
			}
		}
		if n > 1 && slices.Contains(classes, list[0].class) {
			lines = append(lines, fmt.Sprintf("%s %s has run %d times:%s", list[0].class, id, n, runs))
		}
	}
	slices.Sort(lines)
	return lines
}
