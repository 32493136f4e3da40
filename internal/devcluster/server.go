package devcluster

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"micaspindle/internal/transport"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxBody           = 1 << 20 // bytes
)

// handler returns a fake's response to a request, or nil to close the connection without one, as
// for a machine that is powered off.
type handler func(ctx context.Context, r *http.Request, body []byte) *transport.Response

// serve serves a fake on a free port until the cluster stops, and returns its address.
func (c *Cluster) serve(tlsConfig *tls.Config, handle handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("devcluster: %w", err)
	}
	server := &http.Server{
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return c.ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
			if err != nil {
				return
			}
			resp := handle(r.Context(), r, body)
			if resp == nil {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Content-Type", "application/msgpack")
			w.WriteHeader(resp.Status)
			_, _ = w.Write(resp.Body)
		}),
	}
	addr := listener.Addr().String()
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	c.group.Go(func() { _ = server.Serve(listener) })
	c.group.Go(func() {
		<-c.ctx.Done()
		_ = server.Close()
	})
	return addr, nil
}

// scheme returns the URL scheme of the controllers' API.
func (c *Cluster) scheme() string {
	if c.options.Identities != nil {
		return "https"
	}
	return "http"
}
