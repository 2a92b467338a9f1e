package rules

// The entries of the assigned table, by key and in order of use. Nothing here decides anything.

type tableEntry struct {
	key          uint64
	set          []*worker
	requests     decayingCount
	newer, older *tableEntry
}

// entries keeps table entries by key and in order of use.
type keyTable struct {
	byKey          map[uint64]*tableEntry
	newest, oldest *tableEntry
}

// use finds or makes the key's entry and makes it the newest; above most entries the oldest goes.
func (t *keyTable) touch(key uint64, most int) *tableEntry {
	e := t.byKey[key]
	if e == nil {
		if len(t.byKey) >= most {
			old := t.oldest
			t.unlink(old)
			delete(t.byKey, old.key)
		}
		e = &tableEntry{key: key}
		t.byKey[key] = e
	} else if e == t.newest {
		return e
	} else {
		t.unlink(e)
	}
	if e.older = t.newest; t.newest != nil {
		t.newest.newer = e
	} else {
		t.oldest = e
	}
	t.newest = e
	return e
}

func (t *keyTable) unlink(e *tableEntry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		t.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		t.oldest = e.newer
	}
	e.newer, e.older = nil, nil
}
