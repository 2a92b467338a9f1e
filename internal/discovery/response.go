package discovery

import (
	"errors"
	"fmt"

	"cobaltflow/internal/http1"
)

// errWatchEnded is returned if discovery ends the response to a watch, which has no end while discovery serves it.
var errWatchEnded = errors.New("the watch ended")

// phase is the part of a response that is read next.
type phase uint8

const (
	phaseHead phase = iota
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailers
	phaseBody            // a body with a Content-Length
	phaseBodyUntilClosed // a body that ends with the connection
	phaseClosed          // discovery has ended the connection, or ends it behind the list
)

// ResponseReader reads discovery's HTTP responses on one connection: first the response with the full list, if that was
// requested, then the response to the watch, which is open-ended, unless the connection ends behind the list. Bodies are
// passed to the decoder in the pieces in which
// they arrive, so that memory does not depend on the size of body and chunks.
type ResponseReader struct {
	decoder   *Decoder
	readsList bool // the current response is the full list, not the watch
	phase     phase
	remaining int // bytes of the body or chunk that have not been read
	response  http1.Response
}

// NewResponseReader creates the reader of a connection. listFirst says that the full list was requested before the watch.
// onLine is called, within Consume, with the result of each line of the watch, and with that of the full list.
func NewResponseReader(listFirst bool, mapping Mapping, limits Limits, onLine func(Line)) *ResponseReader {
	r := &ResponseReader{decoder: NewDecoder(mapping, limits, onLine), readsList: listFirst}
	r.decoder.singleList = listFirst
	return r
}

// IsPartial reports whether a list, line, chunk or body has begun and its end has not been read yet.
func (r *ResponseReader) IsPartial() bool {
	switch r.phase {
	case phaseChunkData, phaseChunkEnd, phaseTrailers, phaseBody, phaseBodyUntilClosed:
		return true
	}
	return r.decoder.IsPartial()
}

// EndsBehindList reports whether the list is complete and discovery ends the connection behind it, so that the watch needs
// another one.
func (r *ResponseReader) EndsBehindList() bool { return r.phase == phaseClosed }

// Close records that discovery has ended the connection behind all that was consumed, which completes a list whose body ends
// so. It reports whether there was one.
func (r *ResponseReader) Close() (completesList bool) {
	if r.phase != phaseBodyUntilClosed {
		return false
	}
	r.endList()
	return true
}

// IsWatching reports whether the response to the watch has begun.
func (r *ResponseReader) IsWatching() bool {
	return !r.readsList && r.phase != phaseHead && r.phase != phaseClosed
}

// DecodedEndpoints returns the number of endpoints that have been decoded. It may be called from any goroutine.
func (r *ResponseReader) DecodedEndpoints() uint64 { return r.decoder.DecodedEndpoints() }

// Consume reads as much of the buffer as it can and returns its size in bytes. If size is 0 and need is above 0, the buffer
// has to hold at least need bytes before the next call. After an error the connection has to be closed.
func (r *ResponseReader) Consume(buf []byte) (size, need int, err error) {
	for size < len(buf) {
		partSize, partNeed, err := r.consumePart(buf[size:])
		if err != nil {
			return size, 0, err
		}
		if partNeed > 0 {
			need = partNeed
			break
		}
		size += partSize
	}
	if size > 0 {
		need = 0
	}
	return size, need, nil
}

// consumePart reads one part of a response.
func (r *ResponseReader) consumePart(buf []byte) (size, need int, err error) {
	var parseErr *http1.Error
	switch r.phase {
	case phaseHead:
		return r.consumeHead(buf)
	case phaseBody, phaseChunkData:
		return r.consumeData(buf)
	case phaseBodyUntilClosed:
		return len(buf), 0, r.decoder.Decode(buf)
	case phaseClosed:
		return len(buf), 0, nil // belongs to no response
	case phaseChunkSize:
		r.remaining, size, need, parseErr = http1.ParseChunkSize(buf, 0)
		if need > 0 || parseErr != nil {
			break
		}
		r.phase = phaseChunkData
		if r.remaining == 0 {
			r.phase = phaseTrailers
			if !r.readsList {
				return 0, 0, errWatchEnded
			}
		}
	case phaseChunkEnd:
		if size, need, parseErr = http1.ParseChunkEnd(buf, 0); need == 0 && parseErr == nil {
			r.phase = phaseChunkSize
		}
	case phaseTrailers:
		if size, need, parseErr = http1.ParseTrailers(buf, 0); need == 0 && parseErr == nil {
			r.endList()
		}
	}
	if parseErr != nil {
		return 0, 0, parseErr
	}
	return size, need, nil
}

// consumeHead reads the head of a response.
func (r *ResponseReader) consumeHead(buf []byte) (size, need int, err error) {
	size, need, parseErr := http1.ParseHead(buf, &r.response)
	if parseErr != nil {
		return 0, 0, parseErr
	}
	if need > 0 {
		return 0, need, nil
	}
	framing, length, parseErr := r.response.BodyFraming()
	switch {
	case r.response.Status != 200 && r.readsList:
		return 0, 0, fmt.Errorf("list response has status %d", r.response.Status)
	case r.response.Status != 200:
		return 0, 0, fmt.Errorf("watch response has status %d", r.response.Status)
	case parseErr != nil:
		return 0, 0, parseErr
	case framing == http1.BodyInChunks:
		r.phase = phaseChunkSize
	case !r.readsList:
		return 0, 0, errors.New("watch response is not chunked")
	case framing == http1.BodyUntilClosed:
		r.phase, r.response.KeepAlive = phaseBodyUntilClosed, false
	case length >= http1.MaxChunkSize:
		return 0, 0, errors.New("list response is too large")
	case length == 0:
		r.endList()
	default:
		r.phase, r.remaining = phaseBody, length
	}
	return size, 0, nil
}

// consumeData reads a part of a body or chunk.
func (r *ResponseReader) consumeData(buf []byte) (size, need int, err error) {
	size = min(r.remaining, len(buf))
	if err := r.decoder.Decode(buf[:size]); err != nil {
		return 0, 0, err
	}
	if r.remaining -= size; r.remaining > 0 {
		return size, 0, nil
	}
	if r.phase == phaseChunkData {
		r.phase = phaseChunkEnd
	} else {
		r.endList()
	}
	return size, 0, nil
}

// endList ends the response with the full list. The response to the watch follows, unless discovery ends the connection.
func (r *ResponseReader) endList() {
	r.decoder.end()
	r.phase, r.readsList, r.decoder.singleList = phaseHead, false, false
	if !r.response.KeepAlive {
		r.phase = phaseClosed
	}
}
