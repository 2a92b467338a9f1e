package platform

import (
	"errors"

	"cobaltflow/internal/discovery"
	"cobaltflow/internal/link"
)

// discoveryStream reads a connection to the discovery server. Lists are decoded as they arrive, on a netpoll goroutine;
// the loop receives complete lines only.
type discoveryStream struct {
	watch      *discoveryWatch
	link       *link.Link
	reader     *discovery.ResponseReader
	lines      []discovery.Line // decoded by the current read
	watchBegun bool             // the answer to the watch has begun, and the loop has been notified
}

// readResult is the outcome of one read of the connection.
type readResult struct {
	lines      []discovery.Line
	watchBegun bool  // the answer to the watch has begun with this read
	isPartial  bool  // something has begun that is not complete yet
	endsConn   bool  // the list is complete and the connection ends behind it
	err        error // the connection is unusable
}

func newDiscoveryStream(w *discoveryWatch, l *link.Link) *discoveryStream {
	s := &discoveryStream{watch: w, link: l}
	s.reader = discovery.NewResponseReader(w.needsFullList, w.front.listFormat(), w.front.listLimits, func(line discovery.Line) {
		s.lines = append(s.lines, line)
	})
	return s
}

// listFormat returns how the names and times in discovery's lists are mapped.
func (f *Front) listFormat() discovery.Mapping {
	return discovery.Mapping{Names: &f.conf.Names, FromUnix: f.loop.FromUnixMilli}
}

// read runs on a netpoll goroutine. The next read waits until the loop has processed the result of this one.
func (s *discoveryStream) read() error {
	var r readResult
	return s.link.Read(s.watch.front.loop, func(buf []byte, _ bool) (size, need int, fault bool) {
		size, need, r.err = s.reader.Consume(buf)
		r.lines, s.lines = s.lines, nil
		r.isPartial = s.reader.IsPartial()
		r.endsConn = s.reader.EndsBehindList()
		r.watchBegun = s.reader.IsWatching() && !s.watchBegun
		s.watchBegun = s.reader.IsWatching()
		return size, need, r.err != nil
	}, func() {
		defer s.link.ReleaseBuffer()
		s.handleResult(&r)
	})
}

// readEnd completes a list whose body the end of the connection ends. It runs as a close callback: no read is in progress, and
// the descriptor is still open.
func (s *discoveryStream) readEnd() {
	if !s.link.HasPeerFinished() || !s.reader.Close() {
		return
	}
	r := readResult{lines: s.lines, endsConn: true}
	s.lines = nil
	s.watch.front.loop.Post(func() {
		if s.link.CloseReason == "" { // otherwise a read before it found the list unusable
			s.handleResult(&r)
		}
	})
}

// handleResult processes the result of a read on the loop.
func (s *discoveryStream) handleResult(r *readResult) {
	w := s.watch
	if r.watchBegun {
		w.recordLiveness(s.link)
	}
	if s.link == w.link {
		w.hasPartialLine = r.isPartial
	}
	for _, line := range r.lines {
		w.handleLine(s.link, line, r.endsConn)
	}
	if r.err != nil {
		var limitErr *discovery.LimitError
		w.listRefused = errors.As(r.err, &limitErr)
		w.front.log.Warn("discovery: unusable answer", "error", r.err)
		s.link.Close(link.BadInput)
	}
}
