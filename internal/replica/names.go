package replica

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// Extensions of the files of a generation: NUMBER.lock, which its process holds locked, NUMBER.set with its directives, and
// NUMBER.tmp while the set is being written.
const (
	lockExtension      = ".lock"
	setExtension       = ".set"
	temporaryExtension = ".tmp"
)

// Bits for the files that a generation has.
const (
	hasLock = 1 << iota
	hasSet
	hasTemporary
)

func (r *Replica) path(generation int, extension string) string {
	return filepath.Join(r.Dir, fileName(generation, extension))
}

// fileName returns the name of a generation's file.
func fileName(generation int, extension string) string {
	return fmt.Sprintf("%08d%s", generation, extension)
}

// generations returns the generations that have files among the names, each with its has... bits. Other names are ignored.
func generations(names []string) map[int]int {
	found := map[int]int{}
	for _, name := range names {
		extension := filepath.Ext(name)
		generation, err := strconv.Atoi(strings.TrimSuffix(name, extension))
		if err != nil || generation <= 0 {
			continue
		}
		switch extension {
		case lockExtension:
			found[generation] |= hasLock
		case setExtension:
			found[generation] |= hasSet
		case temporaryExtension:
			found[generation] |= hasTemporary
		}
	}
	return found
}
