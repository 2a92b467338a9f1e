package discovery

import (
	"errors"
	"fmt"

	"cobaltflow/internal/http1"
)

// errEnded is the end of a watch, which has none as long as discovery serves it.
var errEnded = errors.New("the watch was ended")

// phase is what of an answer comes next.
type phase uint8

const (
	head phase = iota
	chunkSize
	chunkData
	chunkEnd
	trailers
	plainBody // of the length that its head gave
)

// Answers takes apart what discovery sends on one connection: where that was asked for first the answer that holds the
// whole list, then the answer to the watch, which goes on. Bodies are handed to the decoder in the pieces in which they
// are read, whatever the size of body and chunks.
type Answers struct {
	lists    *Decoder
	document bool // the answer that comes holds the whole list
	phase    phase
	left     int // bytes of the body or chunk that are still to come
	response http1.Response
}

// NewAnswers makes a reader of a connection. whole tells that the whole list is asked for first. each is called, within
// Take, with what each line came to; the whole list is one.
func NewAnswers(whole bool, format Format, limits Limits, each func(Line)) *Answers {
	a := &Answers{lists: NewDecoder(format, limits, each), document: whole}
	a.lists.document = whole
	return a
}

// Partial tells whether something has begun whose end has not come yet: a list, a line, or a chunk.
func (a *Answers) Partial() bool {
	return a.lists.Partial() || a.phase == chunkData || a.phase == chunkEnd || a.phase == trailers || a.phase == plainBody
}

// Watching tells whether the answer to the watch has begun.
func (a *Answers) Watching() bool { return !a.document && a.phase != head }

// Decoded is the number of endpoints that have been decoded. It may be called from any goroutine.
func (a *Answers) Decoded() uint64 { return a.lists.Decoded() }

// Take reads as much of the buffer as it can, and gives how much that was. A need above zero, where it was nothing, says
// that the buffer has to hold that many bytes at least. After an error the connection is of no more use.
func (a *Answers) Take(buf []byte) (size, need int, err error) {
	for size < len(buf) {
		taken, more, err := a.take(buf[size:])
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
func (a *Answers) take(buf []byte) (size, need int, err error) {
	var fault *http1.Error
	switch a.phase {
	case head:
		return a.takeHead(buf)
	case plainBody, chunkData:
		return a.takeData(buf)
	case chunkSize:
		a.left, size, need, fault = http1.ParseChunkSize(buf, 0)
		if need > 0 || fault != nil {
			break
		}
		a.phase = chunkData
		if a.left == 0 {
			a.phase = trailers
			if !a.document {
				return 0, 0, errEnded
			}
		}
	case chunkEnd:
		if size, need, fault = http1.ParseChunkEnd(buf, 0); need == 0 && fault == nil {
			a.phase = chunkSize
		}
	case trailers:
		if size, need, fault = http1.ParseTrailers(buf, 0); need == 0 && fault == nil {
			a.endDocument()
		}
	}
	if fault != nil {
		return 0, 0, fault
	}
	return size, need, nil
}

// takeHead reads the head of an answer.
func (a *Answers) takeHead(buf []byte) (size, need int, err error) {
	size, need, fault := http1.ParseHead(buf, &a.response)
	if fault != nil {
		return 0, 0, fault
	}
	if need > 0 {
		return 0, need, nil
	}
	length, chunked, fault := a.response.BodyLength()
	switch {
	case a.response.Status != 200 && a.document:
		return 0, 0, fmt.Errorf("the list was answered with %d", a.response.Status)
	case a.response.Status != 200:
		return 0, 0, fmt.Errorf("the watch was answered with %d", a.response.Status)
	case fault != nil:
		return 0, 0, fault
	case chunked:
		a.phase = chunkSize
	case !a.document:
		return 0, 0, errors.New("the watch was answered with a body that ends")
	case length < 0:
		return 0, 0, errors.New("the list was answered without a length")
	case length >= http1.MaxChunkSize:
		return 0, 0, errors.New("the list's answer is too large")
	case length == 0:
		a.endDocument()
	default:
		a.phase, a.left = plainBody, length
	}
	return size, 0, nil
}

// takeData reads a part of a body or chunk.
func (a *Answers) takeData(buf []byte) (size, need int, err error) {
	size = min(a.left, len(buf))
	if err := a.lists.Decode(buf[:size]); err != nil {
		return 0, 0, err
	}
	if a.left -= size; a.left > 0 {
		return size, 0, nil
	}
	if a.phase == chunkData {
		a.phase = chunkEnd
	} else {
		a.endDocument()
	}
	return size, 0, nil
}

// endDocument ends the answer that held the whole list; the watch's follows.
func (a *Answers) endDocument() {
	a.lists.end()
	a.phase, a.document, a.lists.document = head, false, false
}
