package discovery

// region is a part of a text that comes in pieces. As long as it lies within one piece it is a slice of that piece;
// only one that goes on in the next is copied.
type region struct {
	open    bool
	start   int    // in the present piece
	carried []byte // of the pieces before
}

// begin opens the region at a place of the present piece.
func (r *region) begin(at int) { r.open, r.start, r.carried = true, at, r.carried[:0] }

// size is the number of bytes up to a place of the present piece.
func (r *region) size(at int) int { return len(r.carried) + at - r.start }

// carry keeps what lies in the present piece, of which no more is seen.
func (r *region) retain(piece []byte) {
	if r.open {
		r.carried, r.start = append(r.carried, piece[r.start:]...), 0
	}
}

// end closes the region before a place of the present piece, and gives its text, which is valid until the next begin
// and as long as the piece is.
func (r *region) end(piece []byte, at int) []byte {
	r.open = false
	if len(r.carried) == 0 {
		return piece[r.start:at]
	}
	r.carried = append(r.carried, piece[r.start:at]...)
	return r.carried
}
