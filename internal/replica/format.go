package replica

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"cobaltflow/internal/directive"
)

// The file of one process looks like this:
//
//	cobaltflow-directives 1
//	0badcafe process serving
//	0badcafe clock 12
//	0badcafe entry 7 on "worker/s-5be2a07c"
//	0badcafe end 1
//
// Each line but the first begins with a checksum (CRC-32C) of the rest of the line. A line that is truncated or corrupt is
// detected and skipped; the other lines are used.
const magic = "cobaltflow-directives 1"

var errUnknownFormat = errors.New("not a directive file of a known version")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshot is the decoded content of a process's file.
type snapshot struct {
	serving  bool // the process listens at the scheduler's addresses
	set      directive.Set
	badLines int  // skipped: corrupt lines, and entries beyond directive.MaxEntries
	complete bool // the end line was found and its count matches
}

func encode(serving bool, set *directive.Set) []byte {
	var b bytes.Buffer
	line := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		fmt.Fprintf(&b, "%08x %s\n", crc32.Checksum([]byte(text), castagnoli), text)
	}
	fmt.Fprintln(&b, magic)
	if serving {
		line("process serving")
	} else {
		line("process starting")
	}
	line("clock %d", set.Clock())
	entries := set.Entries()
	for _, e := range entries {
		state := "off"
		if e.On {
			state = "on"
		}
		line("entry %d %s %q", e.Version, state, e.Key)
	}
	line("end %d", len(entries))
	return b.Bytes()
}

// decode parses a file. Corrupt lines are counted and skipped. The error is errUnknownFormat.
func decode(text []byte) (*snapshot, error) {
	first, rest, _ := strings.Cut(string(text), "\n")
	if first != magic {
		return nil, errUnknownFormat
	}
	s := &snapshot{}
	for line := range strings.Lines(rest) {
		if !s.parseLine(strings.TrimSuffix(line, "\n")) {
			s.badLines++
		}
	}
	return s, nil
}

// parseLine parses one line and reports whether it was valid.
func (s *snapshot) parseLine(line string) bool {
	sum, text, _ := strings.Cut(line, " ")
	if want, err := strconv.ParseUint(sum, 16, 32); err != nil || len(sum) != 8 || uint32(want) != crc32.Checksum([]byte(text), castagnoli) {
		return false
	}
	kind, value, _ := strings.Cut(text, " ")
	switch kind {
	case "process":
		s.serving = value == "serving"
		return true
	case "clock":
		clock, err := strconv.ParseUint(value, 10, 64)
		s.set.Observe(clock)
		return err == nil
	case "entry":
		return s.parseEntry(value)
	case "end":
		s.complete = value == strconv.Itoa(s.set.Len())
		return s.complete
	}
	return false
}

// parseEntry parses the value of an entry line and reports whether it was valid.
func (s *snapshot) parseEntry(value string) bool {
	fields := strings.SplitN(value, " ", 3)
	if len(fields) != 3 {
		return false
	}
	version, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return false
	}
	key, err := strconv.Unquote(fields[2])
	if err != nil {
		return false
	}
	return s.set.Merge(directive.Entry{Key: directive.Key(key), Version: version, On: fields[1] == "on"})
}
