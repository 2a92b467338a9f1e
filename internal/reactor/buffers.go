package reactor

import "sync"

const (
	// SmallBuffer is the size of a buffer that each connection may have: it needs no credit, as connections are bounded.
	SmallBuffer = 4 << 10
	// bufferUnit is what larger buffers are rounded up to.
	bufferUnit = 8 << 10
	// maxPooledUnits is the largest of the buffers, in units, that are kept for reuse.
	maxPooledUnits = 10
	maxPooled      = 16 // buffers that are kept of each size
)

// Buffers holds the memory of messages that were read and not released. Buffers over SmallBuffer need credit, which is bounded.
type Buffers struct {
	mu      sync.Mutex
	limit   int // bytes of large buffers
	used    int
	refused uint64 // acquisitions without credit
	small   [][]byte
	pooled  [maxPooledUnits + 1][][]byte // by units
}

// SetLimit sets the bytes that large buffers may take together.
func (b *Buffers) SetLimit(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// Used returns the bytes of the large buffers that were acquired and not released.
func (b *Buffers) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Refused returns how often there was no credit for a buffer.
func (b *Buffers) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Acquire returns a buffer of at least so many bytes, or nil if there is no credit for it. One large buffer is always granted.
func (b *Buffers) Acquire(bytes int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes <= SmallBuffer {
		if buffer := pop(&b.small); buffer != nil {
			return buffer
		}
		return make([]byte, SmallBuffer)
	}
	units := (bytes + bufferUnit - 1) / bufferUnit
	if b.used > 0 && b.used+units*bufferUnit > b.limit {
		b.refused++
		return nil
	}
	b.used += units * bufferUnit
	if units <= maxPooledUnits {
		if buffer := pop(&b.pooled[units]); buffer != nil {
			return buffer
		}
	}
	return make([]byte, units*bufferUnit)
}

// Release gives a buffer back, which must not be used any more.
func (b *Buffers) Release(buffer []byte) {
	buffer = buffer[:cap(buffer)]
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(buffer) <= SmallBuffer {
		push(&b.small, buffer)
		return
	}
	b.used -= len(buffer)
	if units := len(buffer) / bufferUnit; units <= maxPooledUnits {
		push(&b.pooled[units], buffer)
	}
}

func pop(list *[][]byte) []byte {
	last := len(*list) - 1
	if last < 0 {
		return nil
	}
	buffer := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return buffer
}

func push(list *[][]byte, buffer []byte) {
	if len(*list) < maxPooled {
		*list = append(*list, buffer)
	}
}
