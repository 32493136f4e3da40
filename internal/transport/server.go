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
	idleTimeout = 75 * time.Second
	readTimeout = 5 * time.Second
)

// accept serves one connection, over TLS if the listener asks for it.
func accept(ctx context.Context, raw *stream, l *Listener) {
	if l.TLSConfig == nil {
		serve(ctx, raw, l, nil)
		return
	}
	s, err := secure(ctx, raw, func(c net.Conn) *tls.Conn { return tls.Server(c, l.TLSConfig()) })
	if err != nil {
		slog.Debug("connection refused", "reason", err, "from", raw.from())
		raw.close()
		return
	}
	serve(ctx, s, l, s.peer())
}

// serve answers the requests of one connection, one after the other.
func serve(ctx context.Context, s pipe, l *Listener, peer *x509.Certificate) {
	defer s.close()
	for {
		req, err := readRequest(ctx, s, l.MaxBody)
		if err != nil {
			var bad *ParseError
			if errors.As(err, &bad) {
				out := appendResponse(nil, Response{Status: bad.Status, Close: true})
				_ = s.write(out)
			}
			return
		}
		req.Peer, req.From = peer, s.from()
		resp := safely(ctx, l.Handler, req)
		resp.Close = resp.Close || req.Close
		if s.write(appendResponse(make([]byte, 0, 160+len(resp.Body)), resp)) != nil || resp.Close {
			return
		}
	}
}

// safely keeps a fault in one handler from ending the process.
func safely(ctx context.Context, h Handler, req *Request) (resp Response) {
	defer func() {
		if r := recover(); r != nil {
			slog.Error("handler failed", "path", req.Path, "reason", r, "stack", string(debug.Stack()))
			resp = Response{Status: 500, Close: true}
		}
	}()
	return h(ctx, req)
}

func readRequest(ctx context.Context, s pipe, maxBody int) (*Request, error) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	begun := false
	for {
		var req *Request
		err := s.take(func(buf []byte) (n int, err error) {
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
		if !begun && s.pending() > 0 {
			begun = true
			timer.Reset(readTimeout)
		}
		if err := s.wait(ctx, timer); err != nil {
			if begun && errors.Is(err, ErrTimeout) {
				return nil, &ParseError{Status: 408, Reason: "request came too slowly"}
			}
			return nil, err
		}
	}
}
