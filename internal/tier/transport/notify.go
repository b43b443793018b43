package transport

// Notify queues a message that is not answered, and never waits. It may be lost: if the peer can't be reached, if the
// connection breaks, and if the peer does not read, the oldest first. An error means that it was not queued.
func Notify[Notice any](pool *Pool, address, method string, notice Notice) error {
	connection, frame, err := newNotice(pool, address, method, notice)
	if err != nil {
		return err
	}
	connection.out.pushNotice(frame)
	return nil
}

// NotifyBulk is Notify for what is large and may wait, such as the chunks of a snapshot: it goes when nothing else is queued for the
// peer. A message beyond the bound of such ones is dropped, the newest first.
func NotifyBulk[Notice any](pool *Pool, address, method string, notice Notice) error {
	connection, frame, err := newNotice(pool, address, method, notice)
	if err != nil {
		return err
	}
	if !connection.out.pushBulk(frame) {
		return ErrQueueFull
	}
	return nil
}

// newNotice encodes a notice for the connection to a peer.
func newNotice[Notice any](pool *Pool, address, method string, notice Notice) (*clientConnection, *frame, error) {
	mustBeValidMethod(method)
	connection, err := pool.connection(address)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := encodeLine(noticeLine, 0, method, notice, pool.limits.lineBytes)
	if err != nil {
		return nil, nil, err
	}
	return connection, &frame{line: encoded, kind: method}, nil
}
