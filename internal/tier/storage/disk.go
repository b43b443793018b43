package storage

// Disk is the directory that holds a machine's files. Names are plain file names, without a path. A created, renamed or removed name
// is durable once SyncDir has returned, and a file's content once its Sync has returned; either may be lost on power loss before that.
type Disk interface {
	// Open opens an existing file for reading and appending. The error matches fs.ErrNotExist if the file doesn't exist.
	Open(name string) (File, error)
	// Create creates a file, or truncates an existing one, and opens it for reading and appending.
	Create(name string) (File, error)
	// Rename renames a file, atomically replacing a file with the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir returns once all earlier creations, renames and removals are durable.
	SyncDir() error
}

// File is an open file to which data can only be appended.
type File interface {
	// ReadAt fills data with the content from an offset on. It does not affect where Write appends.
	ReadAt(data []byte, offset int64) (int, error)
	// ReadAll returns the complete content.
	ReadAll() ([]byte, error)
	// Write appends at the end. A short write returns an error.
	Write(data []byte) (int, error)
	// Truncate sets the length. The next Write appends there.
	Truncate(size int64) error
	// Size returns the length.
	Size() (int64, error)
	// Sync returns once the content is durable. After an error, the data written since the last successful Sync must be considered
	// lost, and Sync must not be repeated: it might succeed without writing that data.
	Sync() error
	// Close closes the file without a sync.
	Close() error
}
