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

// Errors of a connection.
var (
	ErrClosed      = errors.New("transport: connection closed")
	ErrTimeout     = errors.New("transport: timed out")
	errTooMuchData = errors.New("transport: peer sent more than a message may hold")
)

const (
	// serverBuffer is how many bytes beyond one message an accepted connection buffers.
	serverBuffer = 96 << 10
	// clientBuffer is how many bytes a dialled connection buffers, and thus how large a
	// response may be.
	clientBuffer = 8 << 20
	// streamKeepBuffer is how large an empty buffer may be to be used again.
	streamKeepBuffer = 8 << 10
)

// connection is the byte stream of one connection as its goroutine uses it: in the
// clear (stream), or TLS over that (tlsStream).
type connection interface {
	// take runs parse on what has arrived and drops the bytes it used.
	take(parse func([]byte) (int, error)) error
	// wait blocks until something arrived, the timer fires or ctx ends.
	wait(ctx context.Context, timer *time.Timer) error
	write(b []byte) error
	// pending is how many bytes have arrived and are not taken yet.
	pending() int
	// dead says whether nothing more can arrive.
	dead() bool
	// from is the other side's address.
	from() string
	close()
}

// stream is a connection in the clear. The engine's event loop feeds it; one
// goroutine reads it.
type stream struct {
	raw gnet.Conn
	// addr is the other side; only the event loop may ask gnet for it.
	addr  net.Addr
	limit int // of buf, in bytes
	wake  chan struct{}

	mu  sync.Mutex
	buf []byte
	err error // nothing more arrives, because of this
}

func newStream(limit int) *stream {
	return &stream{limit: limit, wake: make(chan struct{}, 1)}
}

// feed adds bytes that arrived; false: there are more than the buffer may hold.
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

// fail says why nothing more arrives, unless that is known already.
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

func (s *stream) take(parse func([]byte) (int, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := parse(s.buf)
	if err == nil {
		s.buf = s.buf[:copy(s.buf, s.buf[n:])]
		if len(s.buf) == 0 && cap(s.buf) > streamKeepBuffer {
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
