package memorynetwork

import (
	"net"
	"syscall"
	"time"
)

// SetKeepAliveConfig configures how a silent peer is detected.
func (e *endpoint) SetKeepAliveConfig(config net.KeepAliveConfig) error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.setKeepAlive(config)
	return nil
}

// setKeepAlive implements SetKeepAliveConfig. The caller holds the mutex.
func (e *endpoint) setKeepAlive(config net.KeepAliveConfig) {
	if !config.Enable {
		return
	}
	e.keepAliveIdle = config.Idle
	e.keepAliveTimeout = config.Idle + time.Duration(config.Count)*config.Interval
	if !e.isConnected() {
		e.startKeepAliveTimer()
	}
}

// isConnected reports whether the machines reach each other in both directions. The caller holds the mutex.
func (e *endpoint) isConnected() bool {
	here, there := e.process.machine, e.peer.process.machine
	return e.network.reachable(here, there) && e.network.reachable(there, here)
}

// startKeepAliveTimer starts a timer that fails the connection if the peer is unreachable after keepAliveTimeout. It replaces a
// running timer. The caller holds the mutex.
func (e *endpoint) startKeepAliveTimer() {
	if e.keepAliveTimeout == 0 {
		return
	}
	e.keepAliveTimer++
	started := e.keepAliveTimer
	time.AfterFunc(e.keepAliveTimeout, func() {
		e.network.mutex.Lock()
		defer e.network.mutex.Unlock()
		if e.keepAliveTimer == started && !e.isConnected() {
			e.fail(syscall.ETIMEDOUT)
		}
	})
}

// startProbe starts a timer that resets the connection if the peer no longer has it after keepAliveIdle. The caller holds the mutex.
func (e *endpoint) startProbe() {
	if e.keepAliveIdle == 0 || !e.isConnected() {
		return
	}
	e.keepAliveTimer++
	time.AfterFunc(e.keepAliveIdle, func() {
		e.network.mutex.Lock()
		defer e.network.mutex.Unlock()
		if e.isConnected() && (e.peer.closed && len(e.peer.inFlight) == 0 && !e.remoteClosed || e.peer.failure != nil) {
			e.fail(syscall.ECONNRESET)
		}
	})
}
