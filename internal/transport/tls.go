package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"time"
)

// handshakeTimeout bounds TLS handshakes on both sides, so that a peer that sends nothing cannot
// hold a socket.
const handshakeTimeout = 5 * time.Second

// initialPlainSize is the initial size of a TLS connection's buffer for decrypted bytes. The
// buffer doubles when less than half of this size is free, and is freed if it is empty and larger
// than twice this size.
const initialPlainSize = 4 << 10

// tlsStream is a TLS connection over a stream. Only one goroutine uses it; the stream is shared
// with the event loop.
type tlsStream struct {
	raw   *stream
	conn  *tls.Conn
	limit int    // maximum length of plain, in bytes
	plain []byte // decrypted bytes that are not consumed yet
	err   error  // the error that ended the connection; nil while it is open
	// ctx and timer are the arguments of the current call of wait. They are fields because
	// net.Conn's Read, which crypto/tls calls, takes neither.
	ctx   context.Context
	timer *time.Timer
}

// handshakeTLS does a TLS handshake over a stream. wrap is tls.Client or tls.Server with a
// configuration. After an error the stream can only be closed.
func handshakeTLS(ctx context.Context, raw *stream, wrap func(net.Conn) *tls.Conn) (*tlsStream, error) {
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	s := &tlsStream{raw: raw, limit: raw.limit, ctx: ctx, timer: timer}
	s.conn = wrap((*netConnAdapter)(s))
	if err := s.conn.HandshakeContext(context.WithoutCancel(ctx)); err != nil {
		return nil, fmt.Errorf("transport: TLS handshake: %w", err)
	}
	return s, nil
}

// peer returns the peer's certificate; nil if it presented none.
func (s *tlsStream) peer() *x509.Certificate {
	if certs := s.conn.ConnectionState().PeerCertificates; len(certs) > 0 {
		return certs[0]
	}
	return nil
}

func (s *tlsStream) consume(parse func([]byte) (int, error)) error {
	n, err := parse(s.plain)
	if err == nil {
		s.plain = s.plain[:copy(s.plain, s.plain[n:])]
		if len(s.plain) == 0 && cap(s.plain) > 2*initialPlainSize {
			s.plain = nil
		}
		return nil
	}
	if errors.Is(err, ErrIncomplete) && s.err != nil {
		return s.err
	}
	return err
}

func (s *tlsStream) wait(ctx context.Context, timer *time.Timer) error {
	s.ctx, s.timer = ctx, timer
	if len(s.plain) >= s.limit {
		return errTooMuchData
	}
	if cap(s.plain)-len(s.plain) < initialPlainSize/2 {
		grown := make([]byte, len(s.plain), max(initialPlainSize, 2*cap(s.plain)))
		copy(grown, s.plain)
		s.plain = grown
	}
	n, err := s.conn.Read(s.plain[len(s.plain):cap(s.plain)])
	s.plain = s.plain[:len(s.plain)+n]
	switch {
	case err == nil || n > 0:
		s.err = err
		return nil
	case errors.Is(err, ErrTimeout), ctx.Err() != nil:
		return err
	}
	s.err = err
	return nil
}

func (s *tlsStream) write(b []byte) error {
	if _, err := s.conn.Write(b); err != nil {
		return fmt.Errorf("transport: write: %w", err)
	}
	return nil
}

func (s *tlsStream) buffered() int      { return len(s.plain) + s.raw.buffered() }
func (s *tlsStream) dead() bool         { return s.err != nil || s.raw.dead() }
func (s *tlsStream) remoteAddr() string { return s.raw.remoteAddr() }

func (s *tlsStream) close() {
	_ = s.conn.CloseWrite()
	s.raw.close()
}

// netConnAdapter makes the stream of a tlsStream a net.Conn, as crypto/tls needs.
type netConnAdapter tlsStream

// Read returns encrypted bytes. It waits for them until the timer of the current wait fires or its
// context is done.
func (t *netConnAdapter) Read(p []byte) (int, error) {
	for {
		n := 0
		err := t.raw.consume(func(buf []byte) (int, error) {
			if len(buf) == 0 {
				return 0, ErrIncomplete
			}
			n = copy(p, buf)
			return n, nil
		})
		if err == nil {
			return n, nil
		}
		if !errors.Is(err, ErrIncomplete) {
			return 0, err
		}
		if err := t.raw.wait(t.ctx, t.timer); err != nil {
			return 0, err
		}
	}
}

// Write passes a copy of p to the event loop, because crypto/tls reuses p.
func (t *netConnAdapter) Write(p []byte) (int, error) {
	if err := t.raw.write(append([]byte(nil), p...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close and the methods below complete the interface net.Conn; this package does not call them.
func (t *netConnAdapter) Close() error                     { t.raw.close(); return nil }
func (t *netConnAdapter) LocalAddr() net.Addr              { return t.raw.addr }
func (t *netConnAdapter) RemoteAddr() net.Addr             { return t.raw.addr }
func (t *netConnAdapter) SetDeadline(time.Time) error      { return nil }
func (t *netConnAdapter) SetReadDeadline(time.Time) error  { return nil }
func (t *netConnAdapter) SetWriteDeadline(time.Time) error { return nil }
