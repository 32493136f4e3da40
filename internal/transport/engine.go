package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Errors of a connection.
var (
	ErrClosed  = errors.New("transport: connection closed")
	ErrTimeout = errors.New("transport: timed out")
	errFlooded = errors.New("transport: peer sent more than a message may hold")
)

const (
	serverBuffer = 96 << 10
	clientBuffer = 8 << 20
)

// Handler answers the requests of one listening address.
type Handler func(ctx context.Context, req *Request) Response

// Listener is an address and what answers there.
type Listener struct {
	Addr    string
	Handler Handler
	// MaxConns bounds the open connections; more are closed on arrival, so
	// that a flood of users leaves sockets for workers and the state service.
	MaxConns int
	MaxBody  int
	// TLSConfig, if set, gives the TLS configuration for each new connection.
	TLSConfig func() *tls.Config
	// OnRefused, if set, is called for each connection that is closed on arrival since there
	// are too many.
	OnRefused func()
	open      atomic.Int64
}

// Engine carries every connection of the process: one gnet event loop for the
// accepted ones and one for those that it dialled. gnet's way of registering
// dialled connections with a listening engine races with its acceptor.
type Engine struct {
	gnet.BuiltinEventEngine
	listeners map[string]*Listener
	eng       gnet.Engine
	client    *gnet.Client
	booted    chan struct{}
	ctx       context.Context
	conns     sync.WaitGroup
	// open counts the connections, accepted and dialled.
	open atomic.Int64
}

// dialled handles the connections that the process made.
type dialled struct {
	gnet.BuiltinEventEngine
	e *Engine
}

func (*dialled) OnTraffic(raw gnet.Conn) gnet.Action            { return onTraffic(raw) }
func (d *dialled) OnClose(raw gnet.Conn, err error) gnet.Action { return d.e.onClose(raw, err) }

// Run serves the listeners until ctx ends. Once connections can be made, body
// runs with the engine; the engine stops after body has returned.
func Run(ctx context.Context, listeners []*Listener, body func(*Engine)) error {
	e := &Engine{listeners: map[string]*Listener{}, booted: make(chan struct{}), ctx: ctx}
	var addrs []string
	for _, l := range listeners {
		_, port, err := net.SplitHostPort(l.Addr)
		if err != nil {
			return fmt.Errorf("transport: listen on %q: %w", l.Addr, err)
		}
		e.listeners[port] = l
		addrs = append(addrs, "tcp4://"+l.Addr)
	}
	client, err := gnet.NewClient(&dialled{e: e}, options()...)
	if err != nil {
		return fmt.Errorf("transport: client: %w", err)
	}
	e.client = client
	if err := client.Start(); err != nil {
		return fmt.Errorf("transport: client: %w", err)
	}
	failed := make(chan error, 1)
	go func() { failed <- gnet.Rotate(e, addrs, append(options(), gnet.WithReuseAddr(true))...) }()
	select {
	case err := <-failed:
		return fmt.Errorf("transport: start: %w", err)
	case <-e.booted:
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		body(e)
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("transport: engine ended: %w", err)
	case <-ctx.Done():
	}
	<-ended
	stop, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := e.eng.Stop(stop); err != nil {
		return fmt.Errorf("transport: stop: %w", err)
	}
	// No connection can be accepted any more, so the count only falls.
	e.conns.Wait()
	if err := client.Stop(); err != nil {
		return fmt.Errorf("transport: stop: %w", err)
	}
	return nil
}

func options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(16 << 10),
		gnet.WithWriteBufferCap(16 << 10),
		gnet.WithLogger(engineLog{}),
	}
}

// engineLog passes gnet's own messages on to the process's log.
type engineLog struct{}

func (engineLog) Debugf(format string, args ...any) {
	slog.Debug(fmt.Sprintf("gnet: "+format, args...))
}
func (engineLog) Infof(format string, args ...any) { slog.Debug(fmt.Sprintf("gnet: "+format, args...)) }
func (engineLog) Warnf(format string, args ...any) { slog.Debug(fmt.Sprintf("gnet: "+format, args...)) }
func (engineLog) Errorf(format string, args ...any) {
	slog.Debug(fmt.Sprintf("gnet: "+format, args...))
}
func (engineLog) Fatalf(format string, args ...any) {
	slog.Error(fmt.Sprintf("gnet: "+format, args...))
}

// OnBoot tells that the engine listens.
func (e *Engine) OnBoot(eng gnet.Engine) gnet.Action {
	e.eng = eng
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
	e.conns.Go(func() {
		defer l.open.Add(-1)
		accept(e.ctx, s, l)
	})
	return nil, gnet.None
}

// OnTraffic hands the bytes that came to the connection's goroutine.
func (e *Engine) OnTraffic(raw gnet.Conn) gnet.Action { return onTraffic(raw) }

// OnClose wakes the connection's goroutine for the last time.
func (e *Engine) OnClose(raw gnet.Conn, err error) gnet.Action { return e.onClose(raw, err) }

func onTraffic(raw gnet.Conn) gnet.Action {
	buf, err := raw.Next(-1)
	s, ok := raw.Context().(*stream)
	if err != nil || !ok || !s.feed(buf) {
		return gnet.Close
	}
	return gnet.None
}

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
// enrols the connection.
func (e *Engine) dial(ctx context.Context, addr string, timeout time.Duration) (*stream, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: dial %s: %w", addr, err)
	}
	s := newStream(clientBuffer)
	s.addr = nc.RemoteAddr()
	e.open.Add(1) // its end may come before EnrollContext returns
	raw, err := e.client.EnrollContext(nc, s)
	if err != nil {
		e.open.Add(-1)
		return nil, fmt.Errorf("transport: enrol %s: %w", addr, err)
	}
	s.raw = raw
	return s, nil
}

// stream is the byte stream of one connection. The event loop feeds it; one
// goroutine reads it.
type stream struct {
	raw gnet.Conn
	// addr is the other side; gnet's own may be asked for by the loop only.
	addr  net.Addr
	limit int
	wake  chan struct{}

	mu  sync.Mutex
	buf []byte
	err error
}

func newStream(limit int) *stream {
	return &stream{limit: limit, wake: make(chan struct{}, 1)}
}

func (s *stream) feed(b []byte) bool {
	s.mu.Lock()
	ok := len(s.buf)+len(b) <= s.limit
	if ok {
		s.buf = append(s.buf, b...)
	} else if s.err == nil {
		s.err = errFlooded
	}
	s.mu.Unlock()
	s.signal()
	return ok
}

func (s *stream) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take runs parse on what has arrived and drops the bytes it used.
func (s *stream) take(parse func([]byte) (int, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := parse(s.buf)
	if err == nil {
		s.buf = s.buf[:copy(s.buf, s.buf[n:])]
		if len(s.buf) == 0 && cap(s.buf) > 8<<10 {
			s.buf = nil
		}
		return nil
	}
	if errors.Is(err, ErrIncomplete) && s.err != nil {
		return s.err
	}
	return err
}

func (s *stream) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buf)
}

func (s *stream) dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// wait blocks until something arrived, the time is over or ctx ends.
func (s *stream) wait(ctx context.Context, timer *time.Timer) error {
	select {
	case <-s.wake:
		return nil
	case <-timer.C:
		return ErrTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *stream) write(b []byte) error {
	if err := s.raw.AsyncWrite(b, nil); err != nil {
		return fmt.Errorf("transport: write: %w", err)
	}
	return nil
}

func (s *stream) close() { _ = s.raw.Close() }

func (s *stream) from() string {
	if s.addr == nil {
		return ""
	}
	return s.addr.String()
}
