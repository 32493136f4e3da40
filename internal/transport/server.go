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
	// idleTimeout is how long a connection may wait for its next request.
	idleTimeout = 75 * time.Second
	// readTimeout is how long a request may take to arrive once it has begun.
	readTimeout = 5 * time.Second
)

// responseHeadSize is about how many bytes the head of a response has.
const responseHeadSize = 160

// serveAccepted serves one accepted connection, over TLS if the listener asks for it.
func serveAccepted(ctx context.Context, raw *stream, l *Listener) {
	if l.TLSConfig == nil {
		serveRequests(ctx, raw, l, nil)
		return
	}
	s, err := startTLS(ctx, raw, func(c net.Conn) *tls.Conn { return tls.Server(c, l.TLSConfig()) })
	if err != nil {
		slog.Debug("connection refused", "error", err, "from", raw.from())
		raw.close()
		return
	}
	serveRequests(ctx, s, l, s.peer())
}

// serveRequests answers the requests of one connection, one after the other.
func serveRequests(ctx context.Context, conn connection, l *Listener, peer *x509.Certificate) {
	defer conn.close()
	for {
		req, err := readRequest(ctx, conn, l.MaxBody)
		if err != nil {
			var malformed *ParseError
			if errors.As(err, &malformed) {
				_ = conn.write(appendResponse(nil, Response{Status: malformed.Status, Close: true}))
			}
			return
		}
		req.Peer, req.From = peer, conn.from()
		resp := handle(ctx, l.Handler, req)
		resp.Close = resp.Close || req.Close
		if conn.write(appendResponse(make([]byte, 0, responseHeadSize+len(resp.Body)), resp)) != nil || resp.Close {
			return
		}
	}
}

// handle runs a handler. A panic in it does not end the process, but is answered with
// status 500.
func handle(ctx context.Context, handler Handler, req *Request) (resp Response) {
	defer func() {
		if fault := recover(); fault != nil {
			slog.Error("handler failed", "path", req.Path, "reason", fault, "stack", string(debug.Stack()))
			resp = Response{Status: 500, Close: true}
		}
	}()
	return handler(ctx, req)
}

// readRequest waits for the next request of a connection.
func readRequest(ctx context.Context, conn connection, maxBody int) (*Request, error) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	begun := false
	for {
		var req *Request
		err := conn.take(func(buf []byte) (n int, err error) {
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
		// A sender that has begun must finish soon; an idle one may wait.
		if !begun && conn.pending() > 0 {
			begun = true
			timer.Reset(readTimeout)
		}
		if err := conn.wait(ctx, timer); err != nil {
			if begun && errors.Is(err, ErrTimeout) {
				return nil, &ParseError{Status: 408, Reason: "request came too slowly"}
			}
			return nil, err
		}
	}
}
