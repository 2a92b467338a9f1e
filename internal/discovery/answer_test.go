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

// chunked puts a text into chunks of a size; the last ends the body where ends is set.
func chunked(text []byte, size int, ends bool) (out []byte) {
	for len(text) > 0 {
		n := min(size, len(text))
		out = append(fmt.Appendf(out, "%x\r\n", n), text[:n]...)
		out = append(out, "\r\n"...)
		text = text[n:]
	}
	if ends {
		out = append(out, "0\r\nTrailer: x\r\n\r\n"...)
	}
	return out
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// read gives all that an answer comes to in pieces, with what was not taken of one kept before the next, as a
// connection's buffer does.
func read(t require.TestingT, a *ResponseReader, sent []byte, piece func() int) error {
	var buf []byte
	for len(sent) > 0 {
		n := min(piece(), len(sent))
		buf, sent = append(buf, sent[:n]...), sent[n:]
		for len(buf) > 0 {
			size, need, err := a.Consume(buf)
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

// A whole list of the largest fleet is read in whatever form it comes, and so is the watch behind it.
func TestAWholeListIsReadInAnyForm(t *testing.T) {
	const endpoints = 33_000
	text := listText(1, endpoints)
	want, err := ParseList(text, format)
	require.NoError(t, err)
	require.Greater(t, len(text), 4<<20)
	delta := []byte(`{"index":2,"endpoints":[]}` + "\n")
	indented := bytes.ReplaceAll(bytes.ReplaceAll(text, []byte(","), []byte(",\n ")), []byte("{"), []byte("{\n\n"))
	withLength := func(text []byte) []byte {
		return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text)), text...)
	}
	for name, c := range map[string]struct {
		whole bool
		sent  []byte
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
			for _, most := range []int{4 << 10, 1 << 20, 8 << 20} {
				var got []Line
				a := NewResponseReader(c.whole, format, DefaultLimits, func(l Line) { got = append(got, l) })
				sent := c.sent
				if c.whole {
					sent = append(bytes.Clone(sent), chunkedHead...)
				}
				sent = append(bytes.Clone(sent), chunked(delta, 9, false)...)
				require.NoError(t, read(t, a, sent, func() int { return 1 + rng.IntN(most) }))
				same(t, []Line{{Update: want}, {Update: &Update{Version: 2}}}, got)
				assert.False(t, a.IsPartial())
				assert.Equal(t, uint64(endpoints), a.DecodedEndpoints())
				assert.True(t, a.IsWatching())
				held := cap(a.decoder.fields) + cap(a.decoder.entry.carried) + cap(a.decoder.nextList.carried)
				assert.Less(t, held, DefaultLimits.FieldsBytes, "of the text no more is held than an entry")
			}
		})
	}
}

// An answer that has begun counts as partial until its end, wherever it stops.
func TestWhatHasBegunIsPartial(t *testing.T) {
	sent := append([]byte(chunkedHead), chunked([]byte(`{"index":1,"endpoints":[]}`), 10, true)...)
	whole := strings.Index(string(sent), "\r\n\r\n") + 4
	for n := whole; n < len(sent); n++ {
		a := NewResponseReader(true, format, DefaultLimits, func(Line) {})
		size, _, err := a.Consume(sent[:n])
		require.NoError(t, err)
		assert.True(t, n == whole || a.IsPartial() || size < n, "after %q", sent[:n])
	}
}

func TestWhatIsNoAnswerIsRefused(t *testing.T) {
	for sent, text := range map[string]string{
		"HTTP/1.1 503 Service Unavailable\r\n\r\n":                                                 "the list was answered with 503",
		"HTTP/1.1 200 OK\r\n\r\n":                                                                  "the list was answered without a length",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n":                                   "the list's answer is too large",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":               "conflicting lengths",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n80000000\r\n":                        "chunk too large",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{x\r\n":                         "malformed chunk end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n":                               "malformed chunk size",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 500 No\r\n\r\n":    "the watch was answered with 500",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n": "the watch was answered with a body that ends",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + chunkedHead + "0\r\n":                     "the watch was ended",
	} {
		a := NewResponseReader(true, format, DefaultLimits, func(Line) {})
		assert.EqualError(t, read(t, a, []byte(sent), func() int { return 11 }), text, "%q", sent)
	}
}

// Past each bound a list is refused, and the error names the place and the bound.
func TestALimitNamesItsPlace(t *testing.T) {
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
		for _, document := range []bool{false, true} {
			updates := 0
			decoder := NewDecoder(format, limits, func(l Line) {
				if l.Update != nil {
					updates++
				}
			})
			decoder.singleList = document
			err := decoder.Decode([]byte(text + "\n"))
			if want == "" {
				require.NoError(t, err)
				if document {
					decoder.end()
				}
				assert.Equal(t, 1, updates)
				continue
			}
			var over *LimitError
			require.ErrorAs(t, err, &over, text)
			assert.EqualError(t, err, want)
			assert.Zero(t, updates)
		}
	}
}

// The bounds of a scheduler hold the largest list that they allow, and no endpoint more.
func TestDefaultLimitsHoldTwoHundredThousandEndpoints(t *testing.T) {
	updates := 0
	decoder := NewDecoder(format, DefaultLimits, func(l Line) {
		if assert.NotNil(t, l.Update) {
			updates += len(l.Update.Workers)
		}
	})
	require.NoError(t, decoder.Decode(append(listText(1, 200_000), '\n')))
	assert.Equal(t, 200_000, updates)
	assert.EqualError(t, decoder.Decode(listText(1, 200_001)), "list refused at endpoint 200001: the list over 200000 endpoints")
}

// A list with a fault in one entry is not taken at all, and the fault names the entry.
func TestAFaultNamesItsEntry(t *testing.T) {
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

// FuzzAnswers: whatever comes, in whatever pieces, comes to the same.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(chunkedHead+string(chunked([]byte(`{"index":1,"endpoints":[{"name":"a","address":"x"}]}`), 9, true))+chunkedHead+"1\r\n\n\r\n"), true, 5)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"index\":1}"), true, 1)
	f.Fuzz(func(t *testing.T, sent []byte, whole bool, part int) {
		take := func(part int) (lines []Line, a *ResponseReader, err error) {
			a = NewResponseReader(whole, format, DefaultLimits, func(l Line) { lines = append(lines, l) })
			var buf []byte
			for rest := sent; len(rest) > 0; {
				n := min(max(1, part), len(rest))
				buf, rest = append(buf, rest[:n]...), rest[n:]
				size, _, err := a.Consume(buf)
				if err != nil {
					return lines, a, err
				}
				buf = buf[size:]
			}
			return lines, a, nil
		}
		once, a, err := take(len(sent))
		parts, b, errOfParts := take(part)
		require.Equal(t, err, errOfParts)
		same(t, once, parts)
		if err == nil {
			require.Equal(t, a.IsPartial(), b.IsPartial())
		}
	})
}
