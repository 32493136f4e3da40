package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"time"
)

const (
	// idleTimeout is the maximum time for which a connection stays open without a request.
	idleTimeout = 75 * time.Second
	// readTimeout is the maximum time from the first to the last byte of a request.
	readTimeout = 5 * time.Second
)

// responseHeadSize is the approximate size of the head of a response, in bytes.
const responseHeadSize = 160

// serveConnection serves one accepted connection, over TLS if the listener has a TLS configuration.
func serveConnection(ctx context.Context, raw *stream, l *Listener) {
	if l.TLSConfig == nil {
		serveRequests(ctx, raw, l, nil)
		return
	}
	s, err := handshakeTLS(ctx, raw, func(c net.Conn) *tls.Conn { return tls.Server(c, l.TLSConfig()) })
	if err != nil {
		slog.Debug("connection closed after a failed TLS handshake", "error", err, "from", raw.remoteAddr())
		raw.close()
		return
	}
	serveRequests(ctx, s, l, s.peer())
}

// serveRequests answers the requests of one connection one after the other, then closes it.
func serveRequests(ctx context.Context, conn connection, l *Listener, peer *x509.Certificate) {
	defer conn.close()
	for {
		req, err := readRequest(ctx, conn, l.MaxBody)
		if err != nil {
			var parseErr *ParseError
			if errors.As(err, &parseErr) {
				_ = conn.write(appendResponse(nil, Response{Status: parseErr.Status, Close: true}))
			}
			return
		}
		req.Peer, req.RemoteAddr = peer, conn.remoteAddr()
		resp := handle(ctx, l.Handler, req)
		resp.Close = resp.Close || req.Close
		if conn.write(appendResponse(make([]byte, 0, responseHeadSize+len(resp.Body)), resp)) != nil || resp.Close {
			return
		}
	}
}

// handle runs a handler. If the handler panics, the response has status 500.
func handle(ctx context.Context, handler Handler, req *Request) (resp Response) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("handler panicked", "path", req.Path, "reason", cause, "stack", string(debug.Stack()))
			resp = Response{Status: 500, Close: true}
		}
	}()
	return handler(ctx, req)
}

// readRequest waits for the next request of a connection.
func readRequest(ctx context.Context, conn connection, maxBody int) (*Request, error) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	started := false
	for {
		var req *Request
		err := conn.consume(func(buf []byte) (n int, err error) {
			if len(buf) == 0 {
				return 0, ErrIncomplete
			}
			req, n, err = ParseRequest(buf, maxBody)
			return n, err
		})
		if err == nil {
			return req, nil
		}
		if !errors.Is(err, ErrIncomplete) {
			return nil, err
		}
		// The idle timeout holds until the first byte of a request, the read timeout after it.
		if !started && conn.buffered() > 0 {
			started = true
			timer.Reset(readTimeout)
		}
		if err := conn.wait(ctx, timer); err != nil {
			if started && errors.Is(err, ErrTimeout) {
				return nil, &ParseError{Status: 408, Reason: "request not received in time"}
			}
			return nil, err
		}
	}
}
