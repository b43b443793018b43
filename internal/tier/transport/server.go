package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/network"
)

// Server accepts connections and datagrams at one address, and sends datagrams from that address.
type Server struct {
	handlers *Handlers
	logger   log.Logger
	limits   limits
	memory   *memorybudget.Budget
	listener net.Listener
	packets  network.PacketConn
	done     chan struct{}
	running  sync.WaitGroup // all goroutines of the server, including handlers

	mutex       sync.Mutex // guards the fields below
	connections map[*serverConnection]struct{}
	closed      bool
}

// Listen opens the address (host:port) for TCP and, on the same port, for UDP. Port 0 selects a port that is free for both.
func Listen(address string, handlers *Handlers, logger log.Logger) (*Server, error) {
	return ListenOn(network.System{}, address, handlers, logger)
}

// ListenOn is like Listen but uses the given network instead of the system's.
func ListenOn(on network.Network, address string, handlers *Handlers, logger log.Logger) (*Server, error) {
	return listenOn(on, address, handlers, logger, defaultLimits())
}

// listen is like Listen but uses the given limits.
func listen(address string, handlers *Handlers, logger log.Logger, bounds limits) (*Server, error) {
	return listenOn(network.System{}, address, handlers, logger, bounds)
}

// listenOn opens a server on a network and starts its goroutines, which Close ends and waits for.
func listenOn(on network.Network, address string, handlers *Handlers, logger log.Logger, bounds limits) (*Server, error) {
	listener, packets, err := listenBoth(on, address)
	if err != nil {
		return nil, err
	}
	server := &Server{
		handlers:    handlers,
		logger:      logger,
		limits:      bounds,
		memory:      handlers.memory,
		listener:    listener,
		packets:     packets,
		done:        make(chan struct{}),
		connections: map[*serverConnection]struct{}{},
	}
	server.running.Add(1)
	go server.accept()
	if handlers.datagram != nil {
		server.running.Add(1)
		go server.readDatagrams()
	}
	return server, nil
}

// maxPortAttempts bounds the search for a port that is free for both TCP and UDP.
const maxPortAttempts = 16

// listenBoth opens one port for TCP and UDP. For port 0 the system chooses a port for TCP, and another one while the chosen port is
// not free for UDP.
func listenBoth(on network.Network, address string) (net.Listener, network.PacketConn, error) {
	requested, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, nil, err
	}
	for attempt := 1; ; attempt++ {
		listener, err := on.Listen(context.Background(), plainTCP(), "tcp4", requested.String())
		if err != nil {
			return nil, nil, err
		}
		chosen := listener.Addr().(*net.TCPAddr)
		packets, err := on.ListenPacket(&net.UDPAddr{IP: chosen.IP, Port: chosen.Port})
		if err == nil {
			return listener, packets, nil
		}
		listener.Close()
		if requested.Port != 0 || attempt == maxPortAttempts {
			return nil, nil, fmt.Errorf("listen at %s for datagrams: %w", chosen, err)
		}
	}
}

// plainTCP returns a listen configuration without multipath TCP, and with a bounded receive buffer.
func plainTCP() *net.ListenConfig {
	config := network.ListenConfig(receiveBufferBytes)
	config.SetMultipathTCP(false)
	return config
}

// Address returns the address (host:port) at which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops listening, closes all connections, cancels the contexts of all handlers and waits for the server's goroutines.
func (s *Server) Close() error {
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return nil
	}
	s.closed = true
	close(s.done)
	for connection := range s.connections {
		connection.close()
	}
	s.mutex.Unlock()
	err := errors.Join(s.listener.Close(), s.packets.Close())
	s.running.Wait()
	return err
}

// accept admits connections until Close closes the listener. Close waits for accept.
func (s *Server) accept() {
	defer s.running.Done()
	for {
		socket, err := s.listener.Accept()
		if err == nil {
			s.admit(socket)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		level.Warn(s.logger).Log("msg", "accepting connection failed", "err", err)
		select {
		case <-s.done:
			return
		case <-time.After(acceptRetryDelay):
		}
	}
}

// admit starts the reader of a new connection, or closes the connection if maxConnections are open.
func (s *Server) admit(socket net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || len(s.connections) >= maxConnections {
		socket.Close()
		return
	}
	lease, err := s.memory.TryReserve(memorybudget.Connections, connectionBytes)
	if err != nil {
		socket.Close()
		return
	}
	s.setSocketOptions(socket)
	connection := newServerConnection(s, socket)
	connection.lease = lease
	s.connections[connection] = struct{}{}
	s.running.Add(1)
	go connection.read()
}

// keepAliveSetter is a connection whose keep-alive probes can be configured, such as a net.TCPConn.
type keepAliveSetter interface {
	SetKeepAliveConfig(config net.KeepAliveConfig) error
}

// setSocketOptions sets the timeouts after which the kernel breaks the connection to a silent peer. If that fails, the connection is
// used without them.
func (s *Server) setSocketOptions(socket net.Conn) {
	var err error
	if configurable, ok := socket.(keepAliveSetter); ok {
		err = configurable.SetKeepAliveConfig(keepAlive)
	}
	if system, ok := socket.(syscall.Conn); ok {
		raw, rawErr := system.SyscallConn()
		if rawErr == nil {
			rawErr = setTCPUserTimeout(raw)
		}
		err = errors.Join(err, rawErr)
	}
	if err != nil {
		level.Warn(s.logger).Log("msg", "setting keep-alive failed", "err", err)
	}
}

// remove deletes a connection that has ended.
func (s *Server) remove(connection *serverConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, connection)
}
