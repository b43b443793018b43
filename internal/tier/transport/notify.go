package transport

// Notify queues a message that is not answered, and never waits. It may be lost: if the peer can't be reached, if the
// connection breaks, and if the peer does not read, the oldest first. An error means that it was not queued.
func Notify[Notice any](pool *Pool, address, method string, notice Notice) error {
	mustBeValidMethod(method)
	connection, err := pool.connection(address)
	if err != nil {
		return err
	}
	encoded, err := encodeLine(noticeLine, 0, method, notice, pool.limits.lineBytes)
	if err != nil {
		return err
	}
	connection.out.pushNotice(&frame{line: encoded, kind: method})
	return nil
}
