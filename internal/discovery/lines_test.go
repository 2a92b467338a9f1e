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

var format = Mapping{
	Names:    &config.Names{Zones: []string{"suva", "lautoka"}, Kinds: []string{"gen1", "gen2"}},
	FromUnix: func(ms int64) core.Time { return ms * core.Millisecond },
}

// decode gives what a text comes to in parts of the given size.
func decode(t require.TestingT, text []byte, part int, limits Limits) (out []Line, partial bool, err error) {
	d := NewDecoder(format, limits, func(l Line) { out = append(out, l) })
	for rest := text; len(rest) > 0; {
		n := min(max(1, part), len(rest))
		piece := bytes.Clone(rest[:n])
		if err := d.Decode(piece); err != nil {
			return out, true, err
		}
		copy(piece, bytes.Repeat([]byte("#"), n)) // what has to outlive the piece was copied
		rest = rest[n:]
	}
	return out, d.IsPartial(), nil
}

// same compares what lines came to; of faults only that there is one, since a text read whole is told otherwise.
func same(t require.TestingT, want, got []Line) {
	require.Len(t, got, len(want))
	for i := range want {
		require.Equal(t, want[i].Err == nil, got[i].Err == nil, "line %d: %v, %v", i, want[i].Err, got[i].Err)
		require.Equal(t, want[i].Update == nil, got[i].Update == nil, "line %d", i)
		if want[i].Update != nil {
			require.Equal(t, *want[i].Update, *got[i].Update, "line %d", i)
		}
	}
}

// The lists that the lines hold are the same however they are indented and wherever the parts that come end.
func TestListsComeIndentedAndInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []byte
		var want []Line
		for i := range rapid.IntRange(1, 5).Draw(t, "lists") {
			text, _ := json.Marshal(map[string]any{"index": i, "snapshot": false, "endpoints": rapid.SliceOfN(rapid.Custom(func(t *rapid.T) any {
				return map[string]any{"name": "n" + rapid.StringMatching(`[a-z"\\{}\[\]\n,:]{0,6}`).Draw(t, "name"), "address": "127.0.0.1:1", "more": []any{1, map[string]any{}}}
			}), 0, 3).Draw(t, "endpoints")})
			update, err := ParseList(text, format)
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
		d := NewDecoder(format, DefaultLimits, func(l Line) { got = append(got, l) })
		for len(sent) > 0 {
			n := rapid.IntRange(1, len(sent)).Draw(t, "part")
			require.NoError(t, d.Decode(sent[:n]))
			sent = sent[n:]
		}
		same(t, want, got)
		assert.False(t, d.IsPartial())
	})
}

// A list that never ends costs itself and no other, where what follows can't be a part of it.
func TestAListWithoutEndIsGivenUp(t *testing.T) {
	const good, indented = `{"index":2,"snapshot":true,"endpoints":[]}`, "{\n  \"index\": 2,\n  \"snapshot\": true,\n  \"endpoints\": []\n}"
	for _, bad := range []string{`{"index":1,"endpoints":[`, "{\n  \"index\": 1,\n  \"endpoints\": [\n    {\"name\":\"a", `{"a":"\`, `{"index":1`} {
		for _, behind := range []string{"\n" + good, "\n\n" + good, "\n\n" + indented, "\n" + indented} {
			if behind == "\n"+indented && strings.HasSuffix(bad, "[") {
				continue // it might be an entry, until an empty line comes
			}
			lines, partial, err := decode(t, []byte(bad+behind+"\n"), 7, DefaultLimits)
			require.NoError(t, err)
			require.NotEmpty(t, lines, "%q", bad+behind)
			last := lines[len(lines)-1].Update
			if assert.NotNil(t, last, "%q", bad+behind) {
				assert.Equal(t, Update{Version: 2, IsSnapshot: true}, *last)
			}
			assert.False(t, partial)
		}
	}
}

// So does one that is followed by a list that is longer than an entry may be, where an entry could come.
func TestAListWithoutEndIsGivenUpForALongOne(t *testing.T) {
	for _, entries := range []int{100, 1000, 33_000} {
		good := listText(1, entries)
		want, err := ParseList(good, format)
		require.NoError(t, err)
		for _, part := range []int{1000, 1 << 30} {
			lines, _, err := decode(t, []byte("{\"index\":1,\"endpoints\":[\n"+string(good)+"\n"), part, DefaultLimits)
			require.NoError(t, err)
			require.Len(t, lines, 2)
			assert.Error(t, lines[0].Err)
			require.NotNil(t, lines[1].Update)
			assert.Equal(t, *want, *lines[1].Update)
		}
	}
}

// listText is a whole list of so many endpoints, as discovery writes it.
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

// FuzzLines: whatever comes, in whatever parts, is taken apart alike, and as if it were read whole.
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
	f.Fuzz(func(t *testing.T, text []byte, part int) {
		if len(text) > 8<<10 {
			t.Skip("the reference copies all of the text at each line")
		}
		whole, left, err := decode(t, text, len(text), DefaultLimits)
		parts, leftOfParts, errOfParts := decode(t, text, part, DefaultLimits)
		require.Equal(t, err, errOfParts)
		require.Equal(t, left, leftOfParts)
		same(t, whole, parts)
		for i := range whole {
			require.Equal(t, whole[i].Err, parts[i].Err)
		}
		if err == nil && !twice(text) {
			same(t, reference(text, format), whole)
		}
	})
}

// twice tells whether a list of the text may hold its endpoints twice, of which json.Unmarshal takes the last.
func twice(text []byte) bool {
	var l referenceLines
	yes := false
	l.Take(text, func(line []byte) { yes = yes || len(endpointsKeys.FindAll(line, 2)) > 1 })
	return yes
}

// With small bounds too a text is refused at the same place in whatever parts it comes.
func FuzzLimits(f *testing.F) {
	f.Add(listText(1, 4), 3)
	f.Add([]byte("{\"index\":1,\"endpoints\":[\n{\"index\":2,\"endpoints\":[{\"name\":\"a\",\"address\":\"x\"},{\"name\":\"b\",\"address\":\"x\"}]}\n"), 5)
	limits := Limits{Endpoints: 3, EntryBytes: 40, FieldsBytes: 60, ListBytes: 3 * endpointOverheadBytes}
	f.Fuzz(func(t *testing.T, text []byte, part int) {
		whole, left, err := decode(t, text, len(text), limits)
		parts, leftOfParts, errOfParts := decode(t, text, part, limits)
		require.Equal(t, err, errOfParts)
		require.Equal(t, left, leftOfParts)
		same(t, whole, parts)
	})
}
