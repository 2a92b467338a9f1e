package rules

// The assigned table: an LRU map of entries by key. No decisions are made here.

// tableEntry is what is known of one key.
type tableEntry struct {
	key          uint64
	set          []*worker     // the workers assigned to the key
	requests     decayingCount // requests with the key
	newer, older *tableEntry   // by last use
}

// keyTable holds table entries by key and in order of use.
type keyTable struct {
	byKey          map[uint64]*tableEntry
	newest, oldest *tableEntry
}

// touch returns the key's entry, a new one if there is none, and makes it the most recently used one. A new entry
// evicts the least recently used one if there are limit entries.
func (t *keyTable) touch(key uint64, limit int) *tableEntry {
	e := t.byKey[key]
	if e == nil {
		if len(t.byKey) >= limit {
			evicted := t.oldest
			t.unlink(evicted)
			delete(t.byKey, evicted.key)
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

// unlink removes an entry from the order of use.
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
