package memorynetwork

import (
	"context"
	"net"
	"time"
)

// Process is a process on a machine. It implements network.Network; Kill closes all its sockets.
type Process struct {
	machine   *Machine
	killed    bool
	ended     chan struct{}
	endpoints map[*endpoint]struct{}
	sockets   map[interface{ kill() }]struct{} // listeners and datagram sockets
}

// Kill closes the sockets of the process as the kernel does when a process exits. All later calls of the process fail.
func (p *Process) Kill() {
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p.kill((*endpoint).close)
}

// kill ends the process and closes its connections with closeEndpoint. The caller holds the mutex.
func (p *Process) kill(closeEndpoint func(*endpoint)) {
	if p.killed {
		return
	}
	p.killed = true
	close(p.ended)
	for e := range p.endpoints {
		closeEndpoint(e)
	}
	for socket := range p.sockets {
		socket.kill()
	}
	p.machine.thawed.Broadcast()
}

// awaitThaw waits while the machine is frozen, and returns false if the process was killed. The caller holds the mutex.
func (p *Process) awaitThaw() bool {
	for p.machine.frozen && !p.killed {
		p.machine.thawed.Wait()
	}
	return !p.killed
}

// AwaitThaw waits while the machine is frozen. It returns net.ErrClosed if the process was killed.
func (p *Process) AwaitThaw() error {
	p.machine.network.mutex.Lock()
	defer p.machine.network.mutex.Unlock()
	if !p.awaitThaw() {
		return net.ErrClosed
	}
	return nil
}

// sleep waits until the duration has passed, ctx ends or the process is killed, whichever comes first.
func (p *Process) sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.ended:
		return net.ErrClosed
	}
}
