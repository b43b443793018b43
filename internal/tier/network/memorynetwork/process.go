package memorynetwork

import (
	"context"
	"net"
	"time"
)

// Process opens sockets on its machine. It implements network.Network; Kill closes all its sockets.
type Process struct {
	machine   *Machine
	killed    bool
	ended     chan struct{}
	endpoints map[*endpoint]struct{}
	sockets   map[interface{ kill() }]struct{} // listeners and sockets for datagrams
}

// Kill closes the sockets of the process as the kernel does when one exits; all its calls fail from then on.
func (p *Process) Kill() {
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p.kill((*endpoint).close)
}

// kill ends the process. The caller holds the mutex.
func (p *Process) kill(endOne func(*endpoint)) {
	if p.killed {
		return
	}
	p.killed = true
	close(p.ended)
	for e := range p.endpoints {
		endOne(e)
	}
	for socket := range p.sockets {
		socket.kill()
	}
	p.machine.thawed.Broadcast()
}

// awaitThaw waits until the machine isn't frozen; false: the process was killed. The caller holds the mutex.
func (p *Process) awaitThaw() bool {
	for p.machine.frozen && !p.killed {
		p.machine.thawed.Wait()
	}
	return !p.killed
}

// AwaitThaw waits while the machine is frozen. It returns net.ErrClosed once the process is killed.
func (p *Process) AwaitThaw() error {
	p.machine.network.mutex.Lock()
	defer p.machine.network.mutex.Unlock()
	if !p.awaitThaw() {
		return net.ErrClosed
	}
	return nil
}

// sleep waits for a time, the end of ctx or that of the process, whichever is first.
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
