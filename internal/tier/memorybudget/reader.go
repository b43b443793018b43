package memorybudget

import "io"

// Reader returns a reader that reports what a caller sends as the progress of its lease.
func (l *Lease) Reader(source io.Reader) io.Reader { return &progressReader{source: source, lease: l} }

// progressReader reads what a caller sends.
type progressReader struct {
	source io.Reader
	lease  *Lease
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.lease.Progressed(n)
	return n, err
}
