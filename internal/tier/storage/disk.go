package storage

// Disk is the directory that a machine's files lie in. Names are plain file names, without a path. A change of names is durable
// once SyncDir has returned, a change of content once the file's Sync has; each without the other may be lost with the power.
type Disk interface {
	// Open opens an existing file for reading and appending. The error matches fs.ErrNotExist when there is none.
	Open(name string) (File, error)
	// Create opens a file, and truncates it or creates it.
	Create(name string) (File, error)
	// Rename renames a file, atomically replacing the one that has the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir returns once all names created, renamed or removed before are durable.
	SyncDir() error
}

// File is an open file that is written at its end only.
type File interface {
	// ReadAt fills data with the content from an offset on. It does not move the end.
	ReadAt(data []byte, offset int64) (int, error)
	// ReadAll returns the complete content.
	ReadAll() ([]byte, error)
	// Write appends at the end. A short write returns an error.
	Write(data []byte) (int, error)
	// Truncate sets the length, where the next Write appends.
	Truncate(size int64) error
	// Size returns the length.
	Size() (int64, error)
	// Sync returns once the content is durable. After an error what was written since the last Sync counts as lost: it must not
	// be synced again.
	Sync() error
	// Close closes the file without a sync.
	Close() error
}
