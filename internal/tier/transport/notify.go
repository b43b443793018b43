package transport

// Notify queues a message without an answer and never blocks. The message is lost if the peer cannot be reached or the connection
// breaks; if the peer does not read, the oldest messages are dropped. An error means that the message was not queued.
func Notify[Notice any](pool *Pool, address, method string, notice Notice) error {
	connection, frame, err := newNotice(pool, address, method, notice)
	if err != nil {
		return err
	}
	connection.out.pushNotice(frame)
	return nil
}

// NotifyBulk is Notify for large messages that can wait, such as the chunks of a snapshot. They are sent only when nothing else is
// queued for the peer. If too many bytes of them are queued, a new one is dropped and ErrQueueFull returned.
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

// newNotice encodes a notice and returns it with the connection to the peer.
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
