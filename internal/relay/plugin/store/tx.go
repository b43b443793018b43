package store

import "time"

// Tx is what one call reads and writes; nothing of it stays unless it is committed. It is not safe for concurrent use.
type Tx struct {
	store   *Store
	now     time.Time
	changes map[string]entry // nil value: deleted
}

// Begin returns a transaction at a time, which decides what has expired.
func (s *Store) Begin(now time.Time) *Tx { return &Tx{store: s, now: now} }

// Get returns a value, with the transaction's own changes; false: there is none. It must not be written to.
func (t *Tx) Get(key string) ([]byte, bool) {
	if e, ok := t.changes[key]; ok {
		return e.value, e.value != nil
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	e, ok := t.store.entries[key]
	if !ok || e.expired(t.now) {
		return nil, false
	}
	return e.value, true
}

// Set notes a copy of a value, for a time or, with 0, for good. Its error is ErrKey, ErrValue or ErrFull, and then
// nothing is noted. The quota is checked again by Commit, since others write meanwhile.
func (t *Tx) Set(key string, value []byte, ttl time.Duration) error {
	switch limits := &t.store.limits; {
	case key == "" || len(key) > limits.KeySize:
		return ErrKey
	case len(value) > limits.ValueSize:
		return ErrValue
	}
	e := entry{value: append([]byte{}, value...)}
	if ttl > 0 {
		e.expiresAt = t.now.Add(ttl)
	}
	before, had := t.changes[key]
	t.change(key, e)
	if t.makeRoom() {
		return nil
	}
	delete(t.changes, key)
	if had {
		t.changes[key] = before
	}
	return ErrFull
}

// Delete notes that a key is dropped, if it is there.
func (t *Tx) Delete(key string) { t.change(key, entry{}) }

// change notes an entry, without a value a deletion.
func (t *Tx) change(key string, e entry) {
	if t.changes == nil {
		t.changes = map[string]entry{}
	}
	t.changes[key] = e
}

// makeRoom tells whether the changes fit into the store, if need be after what has expired there is dropped.
func (t *Tx) makeRoom() bool {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if t.store.limits.fits(t.lenAfterCommit()) {
		return true
	}
	t.store.sweep(t.now)
	return t.store.limits.fits(t.lenAfterCommit())
}

// lenAfterCommit is what Store.Len would be with the changes. The store is locked.
func (t *Tx) lenAfterCommit() (entries, size int) {
	entries, size = len(t.store.entries), t.store.size
	for key, e := range t.changes {
		if old, ok := t.store.entries[key]; ok {
			size -= entrySize(key, old)
			entries--
		}
		if e.value != nil {
			size += entrySize(key, e)
			entries++
		}
	}
	return entries, size
}

// Commit makes what was noted the store's; where others have filled it meanwhile nothing is, and the error is ErrFull.
func (t *Tx) Commit() error {
	if len(t.changes) == 0 {
		return nil
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	entries, size := t.lenAfterCommit()
	if !t.store.limits.fits(entries, size) {
		return ErrFull
	}
	for key, e := range t.changes {
		if e.value == nil {
			delete(t.store.entries, key)
		} else {
			t.store.entries[key] = e
		}
	}
	t.store.size, t.store.dirty, t.changes = size, true, nil
	return nil
}
