package reactor

const (
	// arrivalStep is the time within which arrivals count as one, in microseconds.
	arrivalStep = 10_000
	maxArrivals = 64 // that are told apart on a connection
)

// arrival says that a connection's first bytes, up to an end, had arrived by a time.
type arrival struct {
	end int64 // counted from the start of the connection
	at  int64 // on the poller's clock
}

// arrivals holds when the input of a connection arrived that is unread: it may wait in the kernel for its turn, or behind a message
// that is being handled. It belongs to the poller's goroutine.
type arrivals struct {
	consumed int64
	marks    []arrival // in the order of their arrival
}

// note records that so many bytes are unread at a time. Of arrivals that are not told apart the first one's time counts for all, so
// that none is taken for later than it was.
func (a *arrivals) note(unread int, now int64) {
	end := a.consumed + int64(unread)
	last := len(a.marks) - 1
	switch {
	case last < 0 && unread == 0 || last >= 0 && a.marks[last].end >= end:
	case last >= 0 && (now-a.marks[last].at < arrivalStep || len(a.marks) == maxArrivals):
		a.marks[last].end = end
	default:
		a.marks = append(a.marks, arrival{end, now})
	}
}

// by returns when the first n bytes of the input had arrived, or now if that was not recorded.
func (a *arrivals) by(n int, now int64) int64 {
	for _, mark := range a.marks {
		if mark.end >= a.consumed+int64(n) {
			return mark.at
		}
	}
	return now
}

// consume forgets bytes.
func (a *arrivals) consume(n int) {
	a.consumed += int64(n)
	gone := 0
	for gone < len(a.marks) && a.marks[gone].end <= a.consumed {
		gone++
	}
	a.marks = a.marks[:copy(a.marks, a.marks[gone:])]
}
