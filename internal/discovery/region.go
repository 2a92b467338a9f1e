package discovery

// region is a part of a text that arrives in pieces. A region within one piece is a slice of that piece; only one that
// extends over several pieces is copied.
type region struct {
	open    bool
	start   int    // position in the current piece
	earlier []byte // the part in earlier pieces
}

// begin opens the region at a position of the current piece.
func (r *region) begin(pos int) { r.open, r.start, r.earlier = true, pos, r.earlier[:0] }

// size returns the number of bytes up to a position of the current piece.
func (r *region) size(pos int) int { return len(r.earlier) + pos - r.start }

// retain copies the part in the current piece, before the next piece is decoded.
func (r *region) retain(piece []byte) {
	if r.open {
		r.earlier, r.start = append(r.earlier, piece[r.start:]...), 0
	}
}

// end closes the region before a position of the current piece and returns its text, which is valid until the next begin and
// as long as the piece.
func (r *region) end(piece []byte, pos int) []byte {
	r.open = false
	if len(r.earlier) == 0 {
		return piece[r.start:pos]
	}
	r.earlier = append(r.earlier, piece[r.start:pos]...)
	return r.earlier
}
