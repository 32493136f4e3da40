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
	// gnetBuffer is how large gnet's read and write buffers of a connection are, in bytes.
	gnetBuffer = 16 << 10
	// stopTimeout bounds the wait for gnet to stop.
	stopTimeout = 2 * time.Second
)

// Handler answers the requests of one listening address.
type Handler func(ctx context.Context, req *Request) Response

// Listener is a listening address and what answers there.
type Listener struct {
	Addr    string
	Handler Handler
	// MaxConns bounds the open connections; more are closed on arrival, so
	// that a flood of users leaves sockets for agents and the state store.
	MaxConns int
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int
	// TLSConfig, if set, gives the TLS configuration for each new connection.
	TLSConfig func() *tls.Config
	// OnRefused, if set, is called for each connection that is closed on arrival since there
	// are too many.
	OnRefused func()
	open      atomic.Int64 // connections
}

// Engine carries every connection of the process: one gnet event loop for the
// accepted ones and one for those that it dialled. gnet's way of registering
// dialled connections with a listening engine races with its acceptor.
type Engine struct {
	gnet.BuiltinEventEngine
	listeners map[string]*Listener // by port
	server    gnet.Engine
	client    *gnet.Client
	booted    chan struct{} // closed once the engine listens
	// ctx is that of Run: gnet's callbacks have none.
	ctx         context.Context
	connections sync.WaitGroup // goroutines of accepted connections
	// open counts the connections, accepted and dialled.
	open atomic.Int64
}

// dialledEvents handles gnet's events of the connections that the process dialled.
type dialledEvents struct {
	gnet.BuiltinEventEngine
	engine *Engine
}

func (*dialledEvents) OnTraffic(raw gnet.Conn) gnet.Action { return onTraffic(raw) }

func (d *dialledEvents) OnClose(raw gnet.Conn, err error) gnet.Action {
	return d.engine.onClose(raw, err)
}

// Run serves the listeners until ctx ends. Once connections can be made, body
// runs with the engine; the engine stops after body has returned.
func Run(ctx context.Context, listeners []*Listener, body func(*Engine)) error {
	e := &Engine{listeners: map[string]*Listener{}, booted: make(chan struct{}), ctx: ctx}
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
		return fmt.Errorf("transport: start: %w", err)
	case <-e.booted:
	}
	bodyDone := make(chan struct{})
	go func() {
		defer close(bodyDone)
		body(e)
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("transport: engine ended: %w", err)
	case <-ctx.Done():
	}
	<-bodyDone
	return e.stop()
}

// addListeners registers the listeners by their ports and returns their addresses in gnet's
// form.
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

// startClient starts the event loop of dialled connections.
func (e *Engine) startClient() error {
	client, err := gnet.NewClient(&dialledEvents{engine: e}, options()...)
	if err != nil {
		return fmt.Errorf("transport: client: %w", err)
	}
	e.client = client
	if err := client.Start(); err != nil {
		return fmt.Errorf("transport: client: %w", err)
	}
	return nil
}

// stop ends both event loops and waits for the goroutines of accepted connections.
func (e *Engine) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := e.server.Stop(ctx); err != nil {
		return fmt.Errorf("transport: stop: %w", err)
	}
	// No connection can be accepted any more, so the count only falls.
	e.connections.Wait()
	if err := e.client.Stop(); err != nil {
		return fmt.Errorf("transport: stop: %w", err)
	}
	return nil
}

// options are those of both event loops.
func options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(gnetBuffer),
		gnet.WithWriteBufferCap(gnetBuffer),
		gnet.WithLogger(engineLog{}),
	}
}

// engineLog passes gnet's own messages on to the process's log; all but those before gnet ends
// the process are for debugging.
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

// OnBoot marks that the engine listens.
func (e *Engine) OnBoot(server gnet.Engine) gnet.Action {
	e.server = server
	close(e.booted)
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
	s := newStream(l.MaxBody + MaxHead + serverBuffer)
	s.raw, s.addr = raw, raw.RemoteAddr()
	raw.SetContext(s)
	e.open.Add(1)
	e.connections.Go(func() {
		defer l.open.Add(-1)
		serveAccepted(e.ctx, s, l)
	})
	return nil, gnet.None
}

// OnTraffic hands the bytes that came to the connection's goroutine.
func (e *Engine) OnTraffic(raw gnet.Conn) gnet.Action { return onTraffic(raw) }

// OnClose wakes the connection's goroutine for the last time.
func (e *Engine) OnClose(raw gnet.Conn, err error) gnet.Action { return e.onClose(raw, err) }

// onTraffic feeds the bytes that arrived to the connection's stream.
func onTraffic(raw gnet.Conn) gnet.Action {
	buf, err := raw.Next(-1)
	s, ok := raw.Context().(*stream)
	if err != nil || !ok || !s.feed(buf) {
		return gnet.Close
	}
	return gnet.None
}

// onClose ends the connection's stream.
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

// dial connects off the event loop, since gnet's own dial blocks it, and then
// enrols the connection with the event loop.
func (e *Engine) dial(ctx context.Context, addr string, timeout time.Duration) (*stream, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: dial %s: %w", addr, err)
	}
	s := newStream(clientBuffer)
	s.addr = raw.RemoteAddr()
	e.open.Add(1) // its end may come before EnrollContext returns
	if s.raw, err = e.client.EnrollContext(raw, s); err != nil {
		e.open.Add(-1)
		return nil, fmt.Errorf("transport: enrol %s: %w", addr, err)
	}
	return s, nil
}
