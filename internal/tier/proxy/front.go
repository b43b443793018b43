package proxy

import (
	"context"
	"errors"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/network"
)

const (
	// libraryHeaderSlop is what net/http adds to a limit on the header's size.
	libraryHeaderSlop = 4 << 10
	// acceptPause is how long no connection is taken after the system could not give one.
	acceptPause = 10 * time.Millisecond
	// ownWriteTime bounds the writing of an answer that has no deadline of its own.
	ownWriteTime = 10 * time.Second
	// lastAnswersTime is for the answers to requests that are given up as the proxy ends.
	lastAnswersTime = 150 * time.Millisecond
)

// limits bounds what clients may send and how long they may take.
type limits struct {
	headerBytes int
	headerWait  time.Duration
	idleClose   time.Duration
}

// defaultLimits hold until a configuration is known.
var defaultLimits = limits{headerBytes: 16 << 10, headerWait: 3 * time.Second, idleClose: 15 * time.Second}

// limitsOf reads the limits of a configuration.
func limitsOf(configured model.Limits) limits {
	l := defaultLimits
	if configured.MaxHeaderBytes > 0 {
		l.headerBytes = configured.MaxHeaderBytes
	}
	if configured.HeaderTimeoutMs > 0 {
		l.headerWait = time.Duration(configured.HeaderTimeoutMs) * time.Millisecond
	}
	if configured.IdleTimeoutMs > 0 {
		l.idleClose = time.Duration(configured.IdleTimeoutMs) * time.Millisecond
	}
	return l
}

// front takes the connections of clients. The library reads a server's limits without a lock, so each set of limits has a
// server of its own; a connection stays with the one that it began at.
type front struct {
	listener net.Listener
	handler  http.Handler
	limits   func() limits
	most     int
	errors   *log.Logger
	requests context.Context    // of which each request's context is a part
	giveUp   context.CancelFunc // ends it: each request is answered at once, or its answer broken off

	mutex   sync.Mutex
	current *generation
	old     []*generation
	clients map[*clientConnection]struct{}
	closed  bool
	empty   chan struct{} // closed once closed is set and no connection is left
}

// generation is a server for one set of limits.
type generation struct {
	limits limits
	server *http.Server
	feed   *feed
	open   int // connections
}

func newFront(listener net.Listener, handler http.Handler, current func() limits, options Options) *front {
	f := &front{
		listener: listener,
		handler:  handler,
		limits:   current,
		most:     options.MaxClientConnections,
		errors:   log.New(io.Discard, "", 0),
		clients:  make(map[*clientConnection]struct{}),
		empty:    make(chan struct{}),
	}
	f.requests, f.giveUp = context.WithCancel(context.Background())
	if options.Logger != nil {
		f.errors = log.New(kitlog.NewStdlibAdapter(level.Error(options.Logger)), "", 0)
	}
	return f
}

// serve takes connections until the listener is closed.
func (f *front) serve() error {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			if outOfDescriptors(err) {
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		f.hand(&clientConnection{TCPConn: connection.(network.TCPConn), idle: true})
	}
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// hand gives a connection to the server for the limits of now.
func (f *front) hand(client *clientConnection) {
	current := f.admit(client)
	if current == nil {
		client.Close()
		return
	}
	if !current.feed.put(client) {
		f.forget(current, client)
		client.Close()
	}
}

// admit counts a new connection and returns its server; nil if it isn't to be taken.
func (f *front) admit(client *clientConnection) *generation {
	wanted := f.limits()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed || f.most > 0 && len(f.clients) >= f.most {
		return nil
	}
	if f.current == nil || f.current.limits != wanted {
		f.replace(wanted)
	}
	f.current.open++
	f.clients[client] = struct{}{}
	return f.current
}

// forget takes a connection that has ended out of the count.
func (f *front) forget(g *generation, client *clientConnection) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	g.open--
	delete(f.clients, client)
	f.noteEmpty()
}

// follow is told of the states of a server's connections.
func (f *front) follow(g *generation, connection net.Conn, state http.ConnState) {
	client := connection.(*clientConnection)
	switch state {
	case http.StateIdle:
		client.rest()
	case http.StateClosed, http.StateHijacked:
		f.forget(g, client)
	}
}

// replace starts a server for other limits. The caller holds the mutex.
func (f *front) replace(wanted limits) {
	f.retire()
	g := &generation{limits: wanted, feed: newFeed(f.listener.Addr())}
	g.server = &http.Server{
		Handler:           f.handler,
		ReadHeaderTimeout: wanted.headerWait,
		IdleTimeout:       wanted.idleClose,
		WriteTimeout:      ownWriteTime,
		MaxHeaderBytes:    max(wanted.headerBytes-libraryHeaderSlop, 1),
		ErrorLog:          f.errors,
		BaseContext:       func(net.Listener) context.Context { return f.requests },
		ConnContext:       withClient,
		ConnState: func(connection net.Conn, state http.ConnState) {
			f.follow(g, connection, state)
		},
		DisableGeneralOptionsHandler: true,
	}
	f.current = g
	go g.server.Serve(g.feed)
}

// retire makes the current server an old one, and forgets the old ones that have no connection left. The caller holds the
// mutex.
func (f *front) retire() {
	if f.current != nil {
		f.current.feed.Close()
		f.old = append(f.old, f.current)
	}
	f.old = slices.DeleteFunc(f.old, func(g *generation) bool { return g.open == 0 })
}

// shutdown closes the listener and the connections without a request, and waits until the requests under way have been
// answered and their connections have ended. What is left when the context ends is given up, and told so. The library's own
// Shutdown isn't used: it takes a kept connection for idle until the whole head of its next request has been read, and closes
// it in the middle. Each phase is told.
func (f *front) shutdown(ctx context.Context, tell func(message string)) error {
	f.listener.Close()
	generations, clients := f.close()
	for _, client := range clients {
		client.closeUnread()
	}
	tell("proxy takes no more connections")
	failure := f.awaitEmpty(ctx)
	f.giveUp()
	if failure != nil {
		tell("proxy gives up the requests that are left")
		bounded, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
		defer cancel()
		f.awaitEmpty(bounded)
	}
	for _, g := range generations {
		g.feed.Close()
	}
	tell("proxy has ended its connections")
	return failure
}

// open returns how many connections there are.
func (f *front) open() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.clients)
}

// awaitEmpty returns nil once no connection is left and none will come, or the context's error.
func (f *front) awaitEmpty(ctx context.Context) error {
	select {
	case <-f.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close takes no more connections, and returns what there is.
func (f *front) close() ([]*generation, []*clientConnection) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	f.noteEmpty()
	generations := slices.Clone(f.old)
	if f.current != nil {
		generations = append(generations, f.current)
	}
	return generations, slices.Collect(maps.Keys(f.clients))
}

// noteEmpty tells that the last connection has ended and none will come. The caller holds the mutex.
func (f *front) noteEmpty() {
	if !f.closed || len(f.clients) > 0 {
		return
	}
	select {
	case <-f.empty:
	default:
		close(f.empty)
	}
}
