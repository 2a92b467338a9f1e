package platform

import (
	"errors"

	"cobaltflow/internal/discovery"
	"cobaltflow/internal/link"
)

// stream reads a connection to discovery. Lists are decoded where they are read, on a goroutine of netpoll's; the loop is
// handed those that are whole.
type discoveryStream struct {
	watch      *discoveryWatch
	link       *link.Link
	answers    *discovery.ResponseReader
	lines      []discovery.Line // of the present read
	watchBegun bool             // the answer to the watch has begun, as the watch was told
}

// reading is what one read of the connection came to.
type readResult struct {
	lines      []discovery.Line
	watchBegun bool  // the answer to the watch has begun with it
	isPartial  bool  // something has begun whose end has not come yet
	err        error // the connection is of no more use
}

func newDiscoveryStream(w *discoveryWatch, l *link.Link) *discoveryStream {
	s := &discoveryStream{watch: w, link: l}
	s.answers = discovery.NewResponseReader(w.needsFullList, w.f.listFormat(), w.f.listLimits, func(line discovery.Line) {
		s.lines = append(s.lines, line)
	})
	return s
}

// listFormat tells how the words of discovery's lists are read.
func (f *Front) listFormat() discovery.Mapping {
	return discovery.Mapping{Names: &f.conf.Names, FromUnix: f.loop.FromUnixMilli}
}

// read runs on a goroutine of netpoll's. The next read waits until the loop has taken what this one came to.
func (s *discoveryStream) read() error {
	var r readResult
	return s.link.Read(s.watch.f.loop, func(buf []byte) (size, need int, fault bool) {
		size, need, r.err = s.answers.Consume(buf)
		r.lines, s.lines = s.lines, nil
		r.isPartial = s.answers.IsPartial()
		r.watchBegun = s.answers.IsWatching() && !s.watchBegun
		s.watchBegun = s.answers.IsWatching()
		return size, need, r.err != nil
	}, func() { s.handleResult(&r) })
}

// take has the loop take a reading.
func (s *discoveryStream) handleResult(r *readResult) {
	defer s.link.ReleaseBuffer()
	w := s.watch
	if r.watchBegun {
		w.recordLiveness(s.link)
	}
	if s.link == w.link {
		w.hasPartialLine = r.isPartial
	}
	for _, line := range r.lines {
		w.handleLine(s.link, line)
	}
	if r.err != nil {
		var over *discovery.LimitError
		w.listRefused = errors.As(r.err, &over)
		w.f.log.Warn("discovery: unusable answer", "error", r.err)
		s.link.Close(link.BadInput)
	}
}
