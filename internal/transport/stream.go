package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Errors of connections.
var (
	ErrClosed      = errors.New("transport: connection closed")
	ErrTimeout     = errors.New("transport: timed out")
	errTooMuchData = errors.New("transport: peer sent more data than the receive buffer may hold")
)

const (
	// serverBuffer is the number of bytes that an accepted connection buffers in addition to the
	// largest request.
	serverBuffer = 96 << 10
	// clientBuffer is the number of bytes that a dialled connection buffers. It is also the maximum
	// size of a response body.
	clientBuffer = 8 << 20
	// maxKeptBuffer is the capacity above which an emptied buffer is freed, in bytes.
	maxKeptBuffer = 8 << 10
)

// connection is a plain TCP connection (stream) or a TLS connection (tlsStream), for use by the
// goroutine that reads from it.
type connection interface {
	// consume calls parse with the buffered bytes and removes the number of bytes that parse
	// returns. If parse returns an error, the buffer is unchanged. If that error is ErrIncomplete
	// and no more bytes can arrive, consume returns the error that ended the connection.
	consume(parse func([]byte) (int, error)) error
	// wait blocks until bytes arrive, the connection fails, the timer fires or ctx is done.
	wait(ctx context.Context, timer *time.Timer) error
	write(b []byte) error
	// buffered returns the number of bytes that have arrived and are not consumed yet.
	buffered() int
	// dead reports whether the connection has failed or is closed.
	dead() bool
	// remoteAddr returns the address of the peer.
	remoteAddr() string
	close()
}

// stream is a plain TCP connection. The engine's event loop adds received bytes; one goroutine
// reads them.
type stream struct {
	raw gnet.Conn
	// addr is the address of the peer. It is kept here because only the event loop may call
	// gnet's RemoteAddr.
	addr  net.Addr
	limit int           // maximum length of buf, in bytes
	wake  chan struct{} // signals that buf or err has changed

	mu  sync.Mutex
	buf []byte
	err error // the error that ended the connection; nil while it is open
}

func newStream(limit int) *stream {
	return &stream{limit: limit, wake: make(chan struct{}, 1)}
}

// feed adds received bytes to the buffer. It returns false if they exceed the limit.
func (s *stream) feed(b []byte) bool {
	s.mu.Lock()
	ok := len(s.buf)+len(b) <= s.limit
	if ok {
		s.buf = append(s.buf, b...)
	} else if s.err == nil {
		s.err = errTooMuchData
	}
	s.mu.Unlock()
	s.signal()
	return ok
}

// fail records the error that ended the connection, unless an earlier one is recorded.
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

func (s *stream) consume(parse func([]byte) (int, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := parse(s.buf)
	if err == nil {
		s.buf = s.buf[:copy(s.buf, s.buf[n:])]
		if len(s.buf) == 0 && cap(s.buf) > maxKeptBuffer {
			s.buf = nil
		}
		return nil
	}
	if errors.Is(err, ErrIncomplete) && s.err != nil {
		return s.err
	}
	return err
}

func (s *stream) buffered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buf)
}

func (s *stream) dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

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

func (s *stream) remoteAddr() string {
	if s.addr == nil {
		return ""
	}
	return s.addr.String()
}
