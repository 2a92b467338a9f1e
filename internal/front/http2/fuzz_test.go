package http2

import (
	"testing"

	xhttp2 "golang.org/x/net/http2"
)

// For any input and any split of it, the reader uses no more bytes than there are and reads the same frames.
func FuzzReader(f *testing.F) {
	f.Add([]byte(xhttp2.ClientPreface+"\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x01\x01\x05\x00\x00\x00\x01\x82"), 5)
	f.Add([]byte(xhttp2.ClientPreface+"\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x03\x00\x08\x00\x00\x00\x01\x01ab"), 30)
	f.Add([]byte(xhttp2.ClientPreface+"\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x01\x01\x01\x00\x00\x00\x01\x82\x00\x00\x01\x09\x04\x00\x00\x00\x01\x84"), 9)
	limits := &Limits{MaxHeaderListBytes: 4096, HeaderTableBytes: 4096, MaxHeaderFrames: 16}
	read := func(t *testing.T, data []byte, cut int) (kinds []byte, bad bool) {
		r := newReader(limits)
		for at, have := 0, min(max(cut, 1), len(data)); at < len(data); {
			fr, used, need := r.readFrame(data[at:have])
			if need > 0 {
				if need <= have-at {
					t.Fatalf("needs %d of %d", need, have-at)
				}
				if have == len(data) {
					break
				}
				have = min(len(data), have+max(1, cut))
				continue
			}
			if used <= 0 || used > have-at {
				t.Fatalf("took %d of %d", used, have-at)
			}
			at += used
			if fr != nil {
				if fr.err != nil {
					return kinds, true
				}
				kinds = append(kinds, fr.kind)
			}
			if at == have && have < len(data) {
				have = min(len(data), have+max(1, cut))
			}
		}
		return kinds, false
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if len(data) == 0 {
			return
		}
		whole, badWhole := read(t, data, len(data))
		pieces, badInPieces := read(t, data, cut%64+1)
		if string(whole) != string(pieces) || badWhole != badInPieces {
			t.Fatalf("%v %v in one piece, %v %v in several", whole, badWhole, pieces, badInPieces)
		}
	})
}
