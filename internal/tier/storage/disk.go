package storage

// Disk is the folder that a machine's files lie in. Names are plain file names.
type Disk interface {
	// Open opens a file that is there; the error is fs.ErrNotExist when it is not.
	Open(name string) (File, error)
	// Create opens a file and empties it, and makes it if it is not there.
	Create(name string) (File, error)
	// Rename gives a file another name, in place of the file that has it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir returns once all names that were made, renamed or removed last.
	SyncDir() error
}

// File is an open file. It is read whole or in pieces, and written at its end.
type File interface {
	// ReadAt fills data with the content from an offset on. It does not move the end.
	ReadAt(data []byte, offset int64) (int, error)
	// ReadAll returns the whole content.
	ReadAll() ([]byte, error)
	// Write writes at the end.
	Write(data []byte) (int, error)
	// Truncate sets the length. The next write goes behind it.
	Truncate(size int64) error
	// Size returns the length.
	Size() (int64, error)
	// Sync returns once the content lasts.
	Sync() error
	// Close closes the file without a sync.
	Close() error
}
