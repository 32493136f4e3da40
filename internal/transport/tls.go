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

// handshakeTimeout bounds a handshake on either side, so that a silent peer
// holds no socket.
const handshakeTimeout = 5 * time.Second

// readSize is by how much a TLS connection's buffer grows at a time.
const readSize = 4 << 10

// tlsStream is TLS over a stream. One goroutine uses it; only the stream below is
// shared with the event loop.
type tlsStream struct {
	raw   *stream
	conn  *tls.Conn
	limit int    // of plain, in bytes
	plain []byte // decrypted and not taken yet
	err   error  // nothing more arrives, because of this
	// ctx and timer are those of the wait under way: crypto/tls reads without any.
	ctx   context.Context
	timer *time.Timer
}

// startTLS does the handshake of TLS over a stream; wrap makes the client's or the server's
// side. On error the stream is of no more use.
func startTLS(ctx context.Context, raw *stream, wrap func(net.Conn) *tls.Conn) (*tlsStream, error) {
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	s := &tlsStream{raw: raw, limit: raw.limit, ctx: ctx, timer: timer}
	s.conn = wrap((*tlsTransport)(s))
	if err := s.conn.HandshakeContext(context.WithoutCancel(ctx)); err != nil {
		return nil, fmt.Errorf("transport: TLS handshake: %w", err)
	}
	return s, nil
}

// peer is the certificate that the other side has proven to own, or nil.
func (s *tlsStream) peer() *x509.Certificate {
	if certs := s.conn.ConnectionState().PeerCertificates; len(certs) > 0 {
		return certs[0]
	}
	return nil
}

func (s *tlsStream) take(parse func([]byte) (int, error)) error {
	n, err := parse(s.plain)
	if err == nil {
		s.plain = s.plain[:copy(s.plain, s.plain[n:])]
		if len(s.plain) == 0 && cap(s.plain) > 2*readSize {
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
	if cap(s.plain)-len(s.plain) < readSize/2 {
		grown := make([]byte, len(s.plain), max(readSize, 2*cap(s.plain)))
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

func (s *tlsStream) pending() int { return len(s.plain) + s.raw.pending() }
func (s *tlsStream) dead() bool   { return s.err != nil || s.raw.dead() }
func (s *tlsStream) from() string { return s.raw.from() }

func (s *tlsStream) close() {
	_ = s.conn.CloseWrite()
	s.raw.close()
}

// tlsTransport is the stream below a tlsStream as the net.Conn that crypto/tls needs.
type tlsTransport tlsStream

// Read waits for bytes as long as the present wait allows.
func (t *tlsTransport) Read(p []byte) (int, error) {
	for {
		n := 0
		err := t.raw.take(func(buf []byte) (int, error) {
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

// Write hands a copy to the event loop: crypto/tls uses its buffer again.
func (t *tlsTransport) Write(p []byte) (int, error) {
	if err := t.raw.write(append([]byte(nil), p...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close and what follows it is not used here, but belongs to net.Conn.
func (t *tlsTransport) Close() error                     { t.raw.close(); return nil }
func (t *tlsTransport) LocalAddr() net.Addr              { return t.raw.addr }
func (t *tlsTransport) RemoteAddr() net.Addr             { return t.raw.addr }
func (t *tlsTransport) SetDeadline(time.Time) error      { return nil }
func (t *tlsTransport) SetReadDeadline(time.Time) error  { return nil }
func (t *tlsTransport) SetWriteDeadline(time.Time) error { return nil }
