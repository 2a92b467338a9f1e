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

// Buffers holds the memory of messages that were read and not released. Buffers over SmallBuffer need credit, which is bounded:
// those in use and those that are kept for reuse are within the limit together.
type Buffers struct {
	mu          sync.Mutex
	limit       int // bytes of large buffers
	used        int
	refused     uint64 // acquisitions without credit
	small       [][]byte
	pooled      [maxPooledUnits + 1][][]byte // by units
	pooledBytes int
}

// SetLimit sets the bytes that large buffers may take together.
func (b *Buffers) SetLimit(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
	b.trimPool()
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
			b.pooledBytes -= len(buffer)
			return buffer
		}
	}
	b.trimPool()
	return make([]byte, units*bufferUnit)
}

// trimPool drops buffers that are kept for reuse until they are within the limit besides those in use; mu is held.
func (b *Buffers) trimPool() {
	for units := maxPooledUnits; units > 0; units-- {
		for b.used+b.pooledBytes > b.limit && len(b.pooled[units]) > 0 {
			b.pooledBytes -= len(pop(&b.pooled[units]))
		}
	}
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
	units := len(buffer) / bufferUnit
	if units <= maxPooledUnits && b.used+b.pooledBytes+len(buffer) <= b.limit && push(&b.pooled[units], buffer) {
		b.pooledBytes += len(buffer)
	}
}

// pop takes a buffer from those that are kept, or returns nil.
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

// push keeps a buffer, unless there are enough of its size, and reports whether it did.
func push(list *[][]byte, buffer []byte) bool {
	if len(*list) == maxPooled {
		return false
	}
	*list = append(*list, buffer)
	return true
}
