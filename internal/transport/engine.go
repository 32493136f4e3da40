package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// gnetBuffer is the size of gnet's read and write buffers per connection, in bytes.
	gnetBuffer = 16 << 10
	// stopTimeout bounds the time that a shutdown waits for the server's event loop.
	stopTimeout = 2 * time.Second
)

// Handler answers the requests of one listener.
type Handler func(ctx context.Context, req *Request) Response

// Listener configures one listening address.
type Listener struct {
	Addr    string
	Handler Handler
	// MaxConns is the maximum number of open connections. Further connections are closed as
	// soon as they are accepted, so that many users cannot take the sockets that agents and
	// the state store need.
	MaxConns int
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// TLSConfig, if set, returns the TLS configuration of a new connection. If it is nil,
	// the listener serves plain HTTP.
	TLSConfig func() *tls.Config
	// OnRefused, if set, is called for each connection that is closed because of MaxConns.
	OnRefused func()
	open      atomic.Int64 // number of open connections
}

// Engine runs all connections of the process: one gnet event loop for accepted connections
// and one for dialled connections. They are separate because registering a dialled connection
// with a listening gnet engine races with gnet's acceptor.
type Engine struct {
	gnet.BuiltinEventEngine
	listeners map[string]*Listener // by port
	server    gnet.Engine
	client    *gnet.Client
	listening chan struct{} // closed when the engine listens
	// ctx is the context of Run; gnet passes no context to its callbacks.
	ctx         context.Context
	connections sync.WaitGroup // goroutines of accepted connections
	// open is the number of open connections, accepted and dialled.
	open atomic.Int64
}

// dialledEvents handles gnet's events of dialled connections.
type dialledEvents struct {
	gnet.BuiltinEventEngine
	engine *Engine
}

func (*dialledEvents) OnTraffic(raw gnet.Conn) gnet.Action { return onTraffic(raw) }

func (d *dialledEvents) OnClose(raw gnet.Conn, err error) gnet.Action {
	return d.engine.onClose(raw, err)
}

// Run serves the listeners until ctx is done. It runs body in a goroutine once the engine
// listens, and stops the engine when ctx is done and body has returned.
func Run(ctx context.Context, listeners []*Listener, body func(*Engine)) error {
	e := &Engine{listeners: map[string]*Listener{}, listening: make(chan struct{}), ctx: ctx}
	addrs, err := e.addListeners(listeners)
	if err != nil {
		return err
	}
	if err := e.startClient(); err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- gnet.Rotate(e, addrs, append(options(), gnet.WithReuseAddr(true))...) }()
	select {
	case err := <-failed:
		return fmt.Errorf("transport: start engine: %w", err)
	case <-e.listening:
	}
	bodyDone := make(chan struct{})
	go func() {
		defer close(bodyDone)
		body(e)
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("transport: engine stopped unexpectedly: %w", err)
	case <-ctx.Done():
	}
	<-bodyDone
	return e.stop()
}

// addListeners registers the listeners by port and returns their addresses in gnet's format.
func (e *Engine) addListeners(listeners []*Listener) (addrs []string, err error) {
	for _, l := range listeners {
		_, port, err := net.SplitHostPort(l.Addr)
		if err != nil {
			return nil, fmt.Errorf("transport: listen on %q: %w", l.Addr, err)
		}
		e.listeners[port] = l
		addrs = append(addrs, "tcp4://"+l.Addr)
	}
	return addrs, nil
}

// startClient starts the event loop for dialled connections.
func (e *Engine) startClient() error {
	client, err := gnet.NewClient(&dialledEvents{engine: e}, options()...)
	if err != nil {
		return fmt.Errorf("transport: create client event loop: %w", err)
	}
	e.client = client
	if err := client.Start(); err != nil {
		return fmt.Errorf("transport: start client event loop: %w", err)
	}
	return nil
}

// stop stops both event loops and waits for the goroutines of accepted connections.
func (e *Engine) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := e.server.Stop(ctx); err != nil {
		return fmt.Errorf("transport: stop server event loop: %w", err)
	}
	// No more connections are accepted, so nothing is added to the WaitGroup during Wait.
	e.connections.Wait()
	if err := e.client.Stop(); err != nil {
		return fmt.Errorf("transport: stop client event loop: %w", err)
	}
	return nil
}

// options returns the gnet options of both event loops.
func options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(gnetBuffer),
		gnet.WithWriteBufferCap(gnetBuffer),
		gnet.WithLogger(engineLog{}),
	}
}

// engineLog writes gnet's messages to the default logger: fatal messages at level Error, all
// others at level Debug.
type engineLog struct{}

func (l engineLog) Debugf(format string, args ...any) { l.debug(format, args) }
func (l engineLog) Infof(format string, args ...any)  { l.debug(format, args) }
func (l engineLog) Warnf(format string, args ...any)  { l.debug(format, args) }
func (l engineLog) Errorf(format string, args ...any) { l.debug(format, args) }

func (engineLog) Fatalf(format string, args ...any) {
	slog.Error(fmt.Sprintf("gnet: "+format, args...))
}

func (engineLog) debug(format string, args []any) {
	slog.Debug(fmt.Sprintf("gnet: "+format, args...))
}

// OnBoot signals that the engine listens.
func (e *Engine) OnBoot(server gnet.Engine) gnet.Action {
	e.server = server
	close(e.listening)
	return gnet.None
}

// OnOpen starts the goroutine of an accepted connection.
func (e *Engine) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	_, port, _ := net.SplitHostPort(raw.LocalAddr().String())
	l := e.listeners[port]
	if l == nil || e.ctx.Err() != nil {
		return nil, gnet.Close
	}
	if l.open.Add(1) > int64(l.MaxConns) {
		l.open.Add(-1)
		if l.OnRefused != nil {
			l.OnRefused()
		}
		slog.Debug("connection refused", "reason", "too many connections", "addr", l.Addr)
		return nil, gnet.Close
	}
	s := newStream(l.MaxBody + MaxHeadBytes + serverBuffer)
	s.raw, s.addr = raw, raw.RemoteAddr()
	raw.SetContext(s)
	e.open.Add(1)
	e.connections.Go(func() {
		defer l.open.Add(-1)
		serveConnection(e.ctx, s, l)
	})
	return nil, gnet.None
}

// OnTraffic passes received bytes to the connection's goroutine.
func (e *Engine) OnTraffic(raw gnet.Conn) gnet.Action { return onTraffic(raw) }

// OnClose signals the end of the connection to its goroutine.
func (e *Engine) OnClose(raw gnet.Conn, err error) gnet.Action { return e.onClose(raw, err) }

// onTraffic adds received bytes to the connection's stream. It closes the connection if the
// stream's buffer is full.
func onTraffic(raw gnet.Conn) gnet.Action {
	buf, err := raw.Next(-1)
	s, ok := raw.Context().(*stream)
	if err != nil || !ok || !s.feed(buf) {
		return gnet.Close
	}
	return gnet.None
}

// onClose sets the error of the connection's stream and counts the connection as closed.
func (e *Engine) onClose(raw gnet.Conn, err error) gnet.Action {
	if s, ok := raw.Context().(*stream); ok {
		e.open.Add(-1)
		if err == nil {
			err = ErrClosed
		}
		s.fail(err)
	}
	return gnet.None
}

// dial connects to an address and then registers the connection with the client's event loop.
// It does not use gnet's own dial, which would block the event loop.
func (e *Engine) dial(ctx context.Context, addr string, timeout time.Duration) (*stream, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: dial %s: %w", addr, err)
	}
	s := newStream(clientBuffer)
	s.addr = raw.RemoteAddr()
	e.open.Add(1) // first, since OnClose may run before EnrollContext returns
	if s.raw, err = e.client.EnrollContext(raw, s); err != nil {
		e.open.Add(-1)
		return nil, fmt.Errorf("transport: register connection to %s: %w", addr, err)
	}
	return s, nil
}
