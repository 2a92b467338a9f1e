package discovery

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// chunked encodes a text in chunks of a size, followed by the last chunk if complete is set.
func chunked(text []byte, size int, complete bool) (out []byte) {
	for len(text) > 0 {
		n := min(size, len(text))
		out = append(fmt.Appendf(out, "%x\r\n", n), text[:n]...)
		out = append(out, "\r\n"...)
		text = text[n:]
	}
	if complete {
		out = append(out, "0\r\nTrailer: x\r\n\r\n"...)
	}
	return out
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// consumeAll passes a text to a reader in pieces of the sizes that pieceSize returns. Like a connection's buffer it keeps the
// bytes that were not consumed in front of the next piece.
func consumeAll(t require.TestingT, r *ResponseReader, sent []byte, pieceSize func() int) error {
	var buf []byte
	for len(sent) > 0 {
		n := min(pieceSize(), len(sent))
		buf, sent = append(buf, sent[:n]...), sent[n:]
		for len(buf) > 0 {
			size, need, err := r.Consume(buf)
			if err != nil {
				return err
			}
			if size == 0 {
				require.Greater(t, need, len(buf))
				break
			}
			buf = buf[size:]
		}
	}
	require.Empty(t, buf)
	return nil
}

// A list of 33000 workers is read in every form of HTTP body and JSON layout, and so is the watch after it.
func TestListIsReadInAnyForm(t *testing.T) {
	const endpoints = 33_000
	text := listText(1, endpoints)
	want, err := ParseList(text, mapping)
	require.NoError(t, err)
	require.Greater(t, len(text), 4<<20)
	delta := []byte(`{"index":2,"endpoints":[]}` + "\n")
	indented := bytes.ReplaceAll(bytes.ReplaceAll(text, []byte(","), []byte(",\n ")), []byte("{"), []byte("{\n\n"))
	withLength := func(text []byte) []byte {
		return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text)), text...)
	}
	for name, c := range map[string]struct {
		listFirst bool
		sent      []byte
	}{
		"a body with a length": {true, withLength(text)},
		"indented":             {true, withLength(indented)},
		"one chunk":            {true, append([]byte(chunkedHead), chunked(text, len(text), true)...)},
		"chunks of 16 KiB":     {true, append([]byte(chunkedHead), chunked(text, 16<<10, true)...)},
		"chunks of 7 bytes":    {true, append([]byte(chunkedHead), chunked(text, 7, true)...)},
		"a line of a watch":    {false, append([]byte(chunkedHead), chunked(append(text, '\n'), 16<<10, false)...)},
		"a line in one chunk":  {false, append([]byte(chunkedHead), chunked(append(text, '\n'), len(text)+1, false)...)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, 2))
			for _, maxPiece := range []int{4 << 10, 1 << 20, 8 << 20} {
				var got []Line
				r := NewResponseReader(c.listFirst, mapping, DefaultLimits, func(l Line) { got = append(got, l) })
				sent := c.sent
				if c.listFirst {
					sent = append(bytes.Clone(sent), chunkedHead...)
				}
				sent = append(bytes.Clone(sent), chunked(delta, 9, false)...)
				require.NoError(t, consumeAll(t, r, sent, func() int { return 1 + rng.IntN(maxPiece) }))
				requireSameLines(t, []Line{{Update: want}, {Update: &Update{Version: 2}}}, got)
				assert.False(t, r.IsPartial())
				assert.Equal(t, uint64(endpoints), r.DecodedEndpoints())
				assert.True(t, r.IsWatching())
				held := cap(r.decoder.fields) + cap(r.decoder.entry.earlier) + cap(r.decoder.nextList.earlier)
				assert.Less(t, held, DefaultLimits.FieldsBytes, "only the text of an entry is kept in memory")
			}
		})
	}
}

// A response that has begun is partial until its end, wherever it is interrupted.
func TestInterruptedResponseIsPartial(t *testing.T) {
	sent := append([]byte(chunkedHead), chunked([]byte(`{"index":1,"endpoints":[]}`), 10, true)...)
	headSize := strings.Index(string(sent), "\r\n\r\n") + 4
	for n := headSize; n < len(sent); n++ {
		r := NewResponseReader(true, mapping, DefaultLimits, func(Line) {})
		size, _, err := r.Consume(sent[:n])
		require.NoError(t, err)
		assert.True(t, n == headSize || r.IsPartial() || size < n, "after %q", sent[:n])
	}
}

func TestInvalidResponseIsRefused(t *testing.T) {
	for sent, text := range map[string]string{
		"HTTP/1.1 503 Service Unavailable\r\n\r\n":                                                 "list response has status 503",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n":                                   "list response is too large",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":               "conflicting lengths",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n80000000\r\n":                        "chunk too large",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{x\r\n":                         "malformed chunk end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n":                               "malformed chunk size",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 500 No\r\n\r\n":    "watch response has status 500",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n": "watch response is not chunked",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + chunkedHead + "0\r\n":                     "the watch ended",
	} {
		r := NewResponseReader(true, mapping, DefaultLimits, func(Line) {})
		assert.EqualError(t, consumeAll(t, r, []byte(sent), func() int { return 11 }), text, "%q", sent)
	}
}

// A list whose end the connection is ends there, in whatever pieces it comes, and no watch follows it. One that is cut short is
// refused, and so is a body that has another end.
func TestListEndsWithItsConnection(t *testing.T) {
	text := string(listText(1, 3))
	want, err := ParseList([]byte(text), mapping)
	require.NoError(t, err)
	const untilClosed = "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct {
		sent      string
		want      []Line
		completes bool
		err       string
	}{
		"whole":                   {untilClosed + text, []Line{{Update: want}}, true, ""},
		"HTTP/1.0":                {"HTTP/1.0 200 OK\r\n\r\n" + text, []Line{{Update: want}}, true, ""},
		"cut in an entry":         {untilClosed + text[:len(text)/2], nil, true, "the list is incomplete"},
		"cut before its end":      {untilClosed + text[:len(text)-1], nil, true, "the list is incomplete"},
		"empty":                   {untilClosed, []Line{{}}, true, ""},
		"cut in the head":         {untilClosed[:10], nil, false, ""},
		"a length that is cut":    {"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + text, nil, false, ""},
		"chunks that are cut":     {chunkedHead + string(chunked([]byte(text), 9, false)), nil, false, ""},
		"a length, and its close": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 11\r\n\r\n{\"index\":1}\r\n", []Line{{Update: &Update{Version: 1}}}, false, ""},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s, pieces of %d", name, size), func(t *testing.T) {
				var got []Line
				r := NewResponseReader(true, mapping, DefaultLimits, func(l Line) { got = append(got, l) })
				var buf []byte
				for sent := c.sent; len(sent) > 0; {
					n := min(size, len(sent))
					buf, sent = append(buf, sent[:n]...), sent[n:]
					consumed, _, err := r.Consume(buf)
					require.NoError(t, err)
					buf = buf[consumed:]
				}
				assert.Equal(t, c.completes, r.Close())
				assert.False(t, r.Close(), "once")
				assert.False(t, r.IsWatching())
				assert.Equal(t, c.completes || len(c.want) > 0, r.EndsBehindList())
				if c.err != "" {
					require.Len(t, got, 1)
					require.EqualError(t, got[0].Err, c.err)
					return
				}
				requireSameLines(t, c.want, got)
			})
		}
	}
}

// A list over a limit is refused, and the error names the place and the limit.
func TestLimitErrorNamesItsPlace(t *testing.T) {
	limits := Limits{Endpoints: 3, EntryBytes: 200, FieldsBytes: 100, ListBytes: 3 * (endpointOverheadBytes + 40)}
	entry := func(name string) string { return fmt.Sprintf(`{"name":%q,"address":"x"}`, name) }
	list := func(entries ...string) string {
		return `{"index":1,"endpoints":[` + strings.Join(entries, ",") + "]}"
	}
	a, b, c, d := entry("a"), entry("b"), entry("c"), entry("d")
	long := strings.Repeat("x", 150)
	for text, want := range map[string]string{
		list(a, b, c):                       "",
		list(a, b, c, d):                    "list refused at endpoint 4: the list over 3 endpoints",
		list(a, entry(long+long)):           "list refused at endpoint 2: an entry over 200 bytes",
		list(a, entry(long), entry(long)):   "list refused at endpoint 3: the decoded list over 888 bytes",
		`{"index":1,"note":"` + long + `"}`: "list refused outside its endpoints: its text over 100 bytes",
		long:                                "list refused outside its endpoints: its text over 100 bytes",
	} {
		for _, singleList := range []bool{false, true} {
			updates := 0
			decoder := NewDecoder(mapping, limits, func(l Line) {
				if l.Update != nil {
					updates++
				}
			})
			decoder.singleList = singleList
			err := decoder.Decode([]byte(text + "\n"))
			if want == "" {
				require.NoError(t, err)
				if singleList {
					decoder.end()
				}
				assert.Equal(t, 1, updates)
				continue
			}
			var limitErr *LimitError
			require.ErrorAs(t, err, &limitErr, text)
			assert.EqualError(t, err, want)
			assert.Zero(t, updates)
		}
	}
}

// With the default limits a list may have 200000 endpoints and no more.
func TestDefaultLimitsAllow200000Endpoints(t *testing.T) {
	updates := 0
	decoder := NewDecoder(mapping, DefaultLimits, func(l Line) {
		if assert.NotNil(t, l.Update) {
			updates += len(l.Update.Workers)
		}
	})
	require.NoError(t, decoder.Decode(append(listText(1, 200_000), '\n')))
	assert.Equal(t, 200_000, updates)
	assert.EqualError(t, decoder.Decode(listText(1, 200_001)), "list refused at endpoint 200001: the list over 200000 endpoints")
}

// A list with an invalid entry is dropped as a whole, and the error names the entry.
func TestListErrorNamesItsEntry(t *testing.T) {
	for entries, want := range map[string]string{
		`{"name":"a","address":"x"},{"name":"b","address":7}`: "endpoint 2: json: cannot unmarshal number into Go struct field endpoint.address of type string",
		`{"name":"a","address":"x"},`:                         "endpoint 2 is missing",
		`,{"name":"a","address":"x"}`:                         "endpoint 1 is missing",
		`{"name":"a","address":"x"},{"address":"x"}`:          "an endpoint has no name",
		`{"name":"a"}`: "endpoint a has no address",
	} {
		lines, _, err := decode(t, []byte(`{"index":1,"endpoints":[`+entries+"]}\n"), 5, DefaultLimits)
		require.NoError(t, err)
		require.Len(t, lines, 1)
		assert.Nil(t, lines[0].Update)
		assert.EqualError(t, lines[0].Err, want)
	}
}

// FuzzResponses checks that the result does not depend on how the bytes are split into pieces.
func FuzzResponses(f *testing.F) {
	f.Add([]byte(chunkedHead+string(chunked([]byte(`{"index":1,"endpoints":[{"name":"a","address":"x"}]}`), 9, true))+chunkedHead+"1\r\n\n\r\n"), true, 5)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"index\":1}"), true, 1)
	f.Fuzz(func(t *testing.T, sent []byte, listFirst bool, pieceSize int) {
		consume := func(pieceSize int) (lines []Line, a *ResponseReader, err error) {
			a = NewResponseReader(listFirst, mapping, DefaultLimits, func(l Line) { lines = append(lines, l) })
			var buf []byte
			for rest := sent; len(rest) > 0; {
				n := min(max(1, pieceSize), len(rest))
				buf, rest = append(buf, rest[:n]...), rest[n:]
				size, _, err := a.Consume(buf)
				if err != nil {
					return lines, a, err
				}
				buf = buf[size:]
			}
			return lines, a, nil
		}
		atOnce, a, err := consume(len(sent))
		pieces, b, errOfPieces := consume(pieceSize)
		require.Equal(t, err, errOfPieces)
		requireSameLines(t, atOnce, pieces)
		if err == nil {
			require.Equal(t, a.IsPartial(), b.IsPartial())
		}
	})
}
