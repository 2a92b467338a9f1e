package discovery

import (
	"errors"
	"fmt"

	"cobaltflow/internal/http1"
)

// errEnded is the end of a watch, which has none as long as discovery serves it.
var errWatchEnded = errors.New("the watch was ended")

// phase is what of an answer comes next.
type phase uint8

const (
	phaseHead phase = iota
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailers
	phaseBody // of the length that its head gave
)

// Answers takes apart what discovery sends on one connection: where that was asked for first the answer that holds the
// whole list, then the answer to the watch, which goes on. Bodies are handed to the decoder in the pieces in which they
// are read, whatever the size of body and chunks.
type ResponseReader struct {
	decoder   *Decoder
	readsList bool // the answer that comes holds the whole list
	phase     phase
	remaining int // bytes of the body or chunk that are still to come
	response  http1.Response
}

// NewAnswers makes a reader of a connection. whole tells that the whole list is asked for first. each is called, within
// Take, with what each line came to; the whole list is one.
func NewResponseReader(whole bool, format Mapping, limits Limits, each func(Line)) *ResponseReader {
	a := &ResponseReader{decoder: NewDecoder(format, limits, each), readsList: whole}
	a.decoder.singleList = whole
	return a
}

// Partial tells whether something has begun whose end has not come yet: a list, a line, or a chunk.
func (a *ResponseReader) IsPartial() bool {
	return a.decoder.IsPartial() || a.phase == phaseChunkData || a.phase == phaseChunkEnd || a.phase == phaseTrailers || a.phase == phaseBody
}

// Watching tells whether the answer to the watch has begun.
func (a *ResponseReader) IsWatching() bool { return !a.readsList && a.phase != phaseHead }

// Decoded is the number of endpoints that have been decoded. It may be called from any goroutine.
func (a *ResponseReader) DecodedEndpoints() uint64 { return a.decoder.DecodedEndpoints() }

// Take reads as much of the buffer as it can, and gives how much that was. A need above zero, where it was nothing, says
// that the buffer has to hold that many bytes at least. After an error the connection is of no more use.
func (a *ResponseReader) Consume(buf []byte) (size, need int, err error) {
	for size < len(buf) {
		taken, more, err := a.consumePart(buf[size:])
		if err != nil {
			return size, 0, err
		}
		if more > 0 {
			need = more
			break
		}
		size += taken
	}
	if size > 0 {
		need = 0
	}
	return size, need, nil
}

// take reads one part of an answer.
func (a *ResponseReader) consumePart(buf []byte) (size, need int, err error) {
	var fault *http1.Error
	switch a.phase {
	case phaseHead:
		return a.consumeHead(buf)
	case phaseBody, phaseChunkData:
		return a.consumeData(buf)
	case phaseChunkSize:
		a.remaining, size, need, fault = http1.ParseChunkSize(buf, 0)
		if need > 0 || fault != nil {
			break
		}
		a.phase = phaseChunkData
		if a.remaining == 0 {
			a.phase = phaseTrailers
			if !a.readsList {
				return 0, 0, errWatchEnded
			}
		}
	case phaseChunkEnd:
		if size, need, fault = http1.ParseChunkEnd(buf, 0); need == 0 && fault == nil {
			a.phase = phaseChunkSize
		}
	case phaseTrailers:
		if size, need, fault = http1.ParseTrailers(buf, 0); need == 0 && fault == nil {
			a.endList()
		}
	}
	if fault != nil {
		return 0, 0, fault
	}
	return size, need, nil
}

// takeHead reads the head of an answer.
func (a *ResponseReader) consumeHead(buf []byte) (size, need int, err error) {
	size, need, fault := http1.ParseHead(buf, &a.response)
	if fault != nil {
		return 0, 0, fault
	}
	if need > 0 {
		return 0, need, nil
	}
	length, chunked, fault := a.response.BodyLength()
	switch {
	case a.response.Status != 200 && a.readsList:
		return 0, 0, fmt.Errorf("the list was answered with %d", a.response.Status)
	case a.response.Status != 200:
		return 0, 0, fmt.Errorf("the watch was answered with %d", a.response.Status)
	case fault != nil:
		return 0, 0, fault
	case chunked:
		a.phase = phaseChunkSize
	case !a.readsList:
		return 0, 0, errors.New("the watch was answered with a body that ends")
	case length < 0:
		return 0, 0, errors.New("the list was answered without a length")
	case length >= http1.MaxChunkSize:
		return 0, 0, errors.New("the list's answer is too large")
	case length == 0:
		a.endList()
	default:
		a.phase, a.remaining = phaseBody, length
	}
	return size, 0, nil
}

// takeData reads a part of a body or chunk.
func (a *ResponseReader) consumeData(buf []byte) (size, need int, err error) {
	size = min(a.remaining, len(buf))
	if err := a.decoder.Decode(buf[:size]); err != nil {
		return 0, 0, err
	}
	if a.remaining -= size; a.remaining > 0 {
		return size, 0, nil
	}
	if a.phase == phaseChunkData {
		a.phase = phaseChunkEnd
	} else {
		a.endList()
	}
	return size, 0, nil
}

// endDocument ends the answer that held the whole list; the watch's follows.
func (a *ResponseReader) endList() {
	a.decoder.end()
	a.phase, a.readsList, a.decoder.singleList = phaseHead, false, false
}
