package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
)

var mapping = Mapping{
	Names:    &config.Names{Zones: []string{"suva", "lautoka"}, Kinds: []string{"gen1", "gen2"}},
	FromUnix: func(ms int64) core.Time { return ms * core.Millisecond },
}

// decode decodes a text in pieces of the given size.
func decode(t require.TestingT, text []byte, pieceSize int, limits Limits) (out []Line, partial bool, err error) {
	d := NewDecoder(mapping, limits, func(l Line) { out = append(out, l) })
	for rest := text; len(rest) > 0; {
		n := min(max(1, pieceSize), len(rest))
		piece := bytes.Clone(rest[:n])
		if err := d.Decode(piece); err != nil {
			return out, true, err
		}
		copy(piece, bytes.Repeat([]byte("#"), n)) // the decoder must have copied what it needs later
		rest = rest[n:]
	}
	return out, d.IsPartial(), nil
}

// requireSameLines compares lines. Of errors it compares only the presence, since the reference has other texts.
func requireSameLines(t require.TestingT, want, got []Line) {
	require.Len(t, got, len(want))
	for i := range want {
		require.Equal(t, want[i].Err == nil, got[i].Err == nil, "line %d: %v, %v", i, want[i].Err, got[i].Err)
		require.Equal(t, want[i].Update == nil, got[i].Update == nil, "line %d", i)
		if want[i].Update != nil {
			require.Equal(t, *want[i].Update, *got[i].Update, "line %d", i)
		}
	}
}

// The result does not depend on the indentation of lists nor on how the text is split into pieces.
func TestIndentedListsInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []byte
		var want []Line
		for i := range rapid.IntRange(1, 5).Draw(t, "lists") {
			text, _ := json.Marshal(map[string]any{"index": i, "snapshot": false, "endpoints": rapid.SliceOfN(rapid.Custom(func(t *rapid.T) any {
				return map[string]any{"name": "n" + rapid.StringMatching(`[a-z"\\{}\[\]\n,:]{0,6}`).Draw(t, "name"), "address": "127.0.0.1:1", "more": []any{1, map[string]any{}}}
			}), 0, 3).Draw(t, "endpoints")})
			update, err := ParseList(text, mapping)
			require.NoError(t, err)
			want = append(want, Line{Update: update})
			if rapid.Bool().Draw(t, "indented") {
				var b bytes.Buffer
				json.Indent(&b, text, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
				text = b.Bytes()
			}
			sent = append(append(sent, text...), '\n')
			if rapid.Bool().Draw(t, "empty line") {
				sent = append(sent, '\n')
				want = append(want, Line{})
			}
		}
		var got []Line
		d := NewDecoder(mapping, DefaultLimits, func(l Line) { got = append(got, l) })
		for len(sent) > 0 {
			n := rapid.IntRange(1, len(sent)).Draw(t, "piece")
			require.NoError(t, d.Decode(sent[:n]))
			sent = sent[n:]
		}
		requireSameLines(t, want, got)
		assert.False(t, d.IsPartial())
	})
}

// An incomplete list is abandoned, and the list after it is decoded, if that can't be part of the incomplete one.
func TestIncompleteListIsAbandoned(t *testing.T) {
	const good, indented = `{"index":2,"snapshot":true,"endpoints":[]}`, "{\n  \"index\": 2,\n  \"snapshot\": true,\n  \"endpoints\": []\n}"
	for _, bad := range []string{`{"index":1,"endpoints":[`, "{\n  \"index\": 1,\n  \"endpoints\": [\n    {\"name\":\"a", `{"a":"\`, `{"index":1`} {
		for _, next := range []string{"\n" + good, "\n\n" + good, "\n\n" + indented, "\n" + indented} {
			if next == "\n"+indented && strings.HasSuffix(bad, "[") {
				continue // may be an entry as long as no empty line follows
			}
			lines, partial, err := decode(t, []byte(bad+next+"\n"), 7, DefaultLimits)
			require.NoError(t, err)
			require.NotEmpty(t, lines, "%q", bad+next)
			last := lines[len(lines)-1].Update
			if assert.NotNil(t, last, "%q", bad+next) {
				assert.Equal(t, Update{Version: 2, IsSnapshot: true}, *last)
			}
			assert.False(t, partial)
		}
	}
}

// An incomplete list is also abandoned for a list that begins where an entry may begin but is too long for one.
func TestIncompleteListIsAbandonedForALongList(t *testing.T) {
	for _, entries := range []int{100, 1000, 33_000} {
		good := listText(1, entries)
		want, err := ParseList(good, mapping)
		require.NoError(t, err)
		for _, pieceSize := range []int{1000, 1 << 30} {
			lines, _, err := decode(t, []byte("{\"index\":1,\"endpoints\":[\n"+string(good)+"\n"), pieceSize, DefaultLimits)
			require.NoError(t, err)
			require.Len(t, lines, 2)
			assert.Error(t, lines[0].Err)
			require.NotNil(t, lines[1].Update)
			assert.Equal(t, *want, *lines[1].Update)
		}
	}
}

// listText returns a snapshot with the given number of endpoints, as discovery writes it.
func listText(version, endpoints int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"index":%d,"snapshot":true,"endpoints":[`, version)
	for i := range endpoints {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"w-%05d","address":"127.1.%d.%d:9000","zone":"lautoka","type":"gen1","group":%d,"status":"up","weight":1.5,"since_ms":%d}`,
			i, i>>8, i&255, i%7, i)
	}
	b.WriteString("]}")
	return b.Bytes()
}

var endpointsKeys = regexp.MustCompile(`(?i)endpoints|\\u`)

// FuzzLines checks that the result does not depend on how a text is split into pieces, and is that of the reference.
func FuzzLines(f *testing.F) {
	for _, s := range []string{"{}\n", "{\n\"a\": [1,\n2]\n}\n\n", "]]{\n\n{", "\"{\n", "\\\"\n",
		`{"index":1,"endpoints":[{"name":"a","address":"x","weight":2},{"name":"b","status":"removed"}]}` + "\n",
		`{"index":1,"endpoints":[{"name":"a","address":"x"},]}` + "\n" + `{"index":1,"endpoints":[,]}` + "\n" + `{"index":1,"endpoints":[}` + "\n\n",
		`{"index":1,"endpoints":[` + "\n" + `{"index":2,"snapshot":true,"endpoints":[{"name":"a","address":"x"}]}` + "\n",
		`{"index":1,"Endpoints":[null, 1 , "a,]"]}` + "\n" + `{"index":1,"endpoints":null}` + "\n" + `["endpoints":[]]` + "\n",
		"{\n\"endpoints\" : [\n{\n\"name\":\"a\",\"address\":\"]},{\"\n}\n]\n,\"index\":3}\n", `{"index":1,"endpoints":[{"name":"a"}]}x` + "\n",
	} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, pieceSize int) {
		if len(text) > 8<<10 {
			t.Skip("the reference copies the whole text for each line")
		}
		whole, partial, err := decode(t, text, len(text), DefaultLimits)
		pieces, partialOfPieces, errOfPieces := decode(t, text, pieceSize, DefaultLimits)
		require.Equal(t, err, errOfPieces)
		require.Equal(t, partial, partialOfPieces)
		requireSameLines(t, whole, pieces)
		for i := range whole {
			require.Equal(t, whole[i].Err, pieces[i].Err)
		}
		if err == nil && !mayRepeatEndpoints(text) {
			requireSameLines(t, reference(text, mapping), whole)
		}
	})
}

// mayRepeatEndpoints reports whether a list may have two endpoints arrays: json.Unmarshal uses the last, the decoder refuses
// the list.
func mayRepeatEndpoints(text []byte) bool {
	var l referenceLines
	repeated := false
	l.Add(text, func(line []byte) { repeated = repeated || len(endpointsKeys.FindAll(line, 2)) > 1 })
	return repeated
}

// FuzzLimits checks with small limits that a text is refused at the same place however it is split into pieces.
func FuzzLimits(f *testing.F) {
	f.Add(listText(1, 4), 3)
	f.Add([]byte("{\"index\":1,\"endpoints\":[\n{\"index\":2,\"endpoints\":[{\"name\":\"a\",\"address\":\"x\"},{\"name\":\"b\",\"address\":\"x\"}]}\n"), 5)
	limits := Limits{Endpoints: 3, EntryBytes: 40, FieldsBytes: 60, ListBytes: 3 * endpointOverheadBytes}
	f.Fuzz(func(t *testing.T, text []byte, pieceSize int) {
		whole, partial, err := decode(t, text, len(text), limits)
		pieces, partialOfPieces, errOfPieces := decode(t, text, pieceSize, limits)
		require.Equal(t, err, errOfPieces)
		require.Equal(t, partial, partialOfPieces)
		requireSameLines(t, whole, pieces)
	})
}
