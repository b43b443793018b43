package store

import "time"

// Tx is the transaction in which one call reads and changes a store. Its changes are lost unless it is committed. It is not safe for
// concurrent use.
type Tx struct {
	store   *Store
	now     time.Time
	changes map[string]entry // an entry with a nil value deletes the key
}

// Begin returns a transaction. Entries that have expired at now are not in it.
func (s *Store) Begin(now time.Time) *Tx { return &Tx{store: s, now: now} }

// Get returns the value of a key, including the transaction's own changes; false: there is none. The caller must not modify the value.
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

// Set sets a key to a copy of a value that expires after ttl; 0: never. Its error is ErrKey, ErrValue or ErrFull, and then the
// transaction is unchanged. Commit checks the quota again, since other transactions may have been committed meanwhile.
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

// Delete deletes a key, if it exists.
func (t *Tx) Delete(key string) { t.change(key, entry{}) }

// change records the change of a key; an entry with a nil value deletes it.
func (t *Tx) change(key string, e entry) {
	if t.changes == nil {
		t.changes = map[string]entry{}
	}
	t.changes[key] = e
}

// makeRoom reports whether the store with the changes is within its limits. It removes expired entries if they are needed for that.
func (t *Tx) makeRoom() bool {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if t.store.limits.fits(t.lenAfterCommit()) {
		return true
	}
	t.store.sweep(t.now)
	return t.store.limits.fits(t.lenAfterCommit())
}

// lenAfterCommit returns what Store.Len would return after a commit. The caller holds t.store.mu.
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

// Commit applies all changes to the store. If other transactions have filled the store meanwhile, Commit applies none and returns
// ErrFull.
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
