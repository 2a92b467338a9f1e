package platform

import (
	"errors"

	"cobaltflow/internal/discovery"
	"cobaltflow/internal/link"
)

// stream reads a connection to discovery. Lists are decoded where they are read, on a goroutine of netpoll's; the loop is
// handed those that are whole.
type stream struct {
	watch    *watch
	link     *link.Link
	answers  *discovery.Answers
	lines    []discovery.Line // of the present read
	watching bool             // the answer to the watch has begun, as the watch was told
}

// reading is what one read of the connection came to.
type reading struct {
	lines   []discovery.Line
	begun   bool  // the answer to the watch has begun with it
	partial bool  // something has begun whose end has not come yet
	bad     error // the connection is of no more use
}

func newStream(w *watch, l *link.Link) *stream {
	s := &stream{watch: w, link: l}
	s.answers = discovery.NewAnswers(w.whole, w.f.listFormat(), w.f.listLimits, func(line discovery.Line) {
		s.lines = append(s.lines, line)
	})
	return s
}

// listFormat tells how the words of discovery's lists are read.
func (f *Front) listFormat() discovery.Format {
	return discovery.Format{Names: &f.conf.Names, FromUnix: f.loop.FromUnixMilli}
}

// read runs on a goroutine of netpoll's. The next read waits until the loop has taken what this one came to.
func (s *stream) read() error {
	var r reading
	return s.link.Read(s.watch.f.loop, func(buf []byte) (size, need int, fault bool) {
		size, need, r.bad = s.answers.Take(buf)
		r.lines, s.lines = s.lines, nil
		r.partial = s.answers.Partial()
		r.begun = s.answers.Watching() && !s.watching
		s.watching = s.answers.Watching()
		return size, need, r.bad != nil
	}, func() { s.take(&r) })
}

// take has the loop take a reading.
func (s *stream) take(r *reading) {
	defer s.link.Release()
	w := s.watch
	if r.begun {
		w.alive(s.link)
	}
	if s.link == w.link {
		w.partial = r.partial
	}
	for _, line := range r.lines {
		w.take(s.link, line)
	}
	if r.bad != nil {
		var over *discovery.LimitError
		w.refused = errors.As(r.bad, &over)
		w.f.log.Warn("discovery: unusable answer", "error", r.bad)
		s.link.Close(link.BadInput)
	}
}
