package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// ErrNotSent means that no byte of a request has left this process, so that the peer cannot
// execute it later.
var ErrNotSent = errors.New("transport: request not sent")

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
	// responseTimeout bounds the wait for a response if the caller's context has no earlier
	// deadline.
	responseTimeout = 2 * time.Minute
	// maxIdlePerAddr is the maximum number of idle connections per address.
	maxIdlePerAddr = 4
	// clientIdleTimeout is the time for which idle connections are kept.
	clientIdleTimeout = 20 * time.Second
	// shortIdleTimeout replaces clientIdleTimeout while the process is near its limit of
	// sockets. It is also the interval of CloseIdleUntilDone.
	shortIdleTimeout = time.Second
)

// Client sends requests over pooled connections.
type Client struct {
	// TLSConfig, if set, returns the TLS configuration for connections to an address. If it or its
	// result is nil, the connection is plain HTTP.
	TLSConfig func(addr string) *tls.Config
	// MaxConnectionsForIdle, if set, is the number of open connections of the process, accepted and
	// dialled, at which the client stops keeping idle connections. It then closes each connection
	// after its response, which leaves the sockets to agents and users. Below that number,
	// connections are reused, which saves dials and TLS handshakes.
	MaxConnectionsForIdle int

	engine *Engine

	mu   sync.Mutex
	idle map[string][]idleConnection // by address, the most recently used last
}

// idleConnection is an open connection without a request in progress.
type idleConnection struct {
	connection
	idleSince time.Time
}

// requestHeadSize is the approximate size of the head of a request, in bytes.
const requestHeadSize = 256

// NewClient returns a client. Attach must be called before Do.
func NewClient() *Client { return &Client{idle: map[string][]idleConnection{}} }

// Attach sets the engine whose event loop the client uses.
func (c *Client) Attach(e *Engine) { c.engine = e }

// Do sends one request and waits for its response until ctx is done. If the error wraps ErrNotSent,
// the peer will never execute the request.
func (c *Client) Do(ctx context.Context, addr, method, target string, body []byte) (*Response, error) {
	conn := c.takeIdle(addr)
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx, addr); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if err := conn.write(appendRequest(make([]byte, 0, requestHeadSize+len(body)), method, target, addr, body)); err != nil {
		conn.close()
		return nil, err
	}
	resp, err := readResponse(ctx, conn)
	if err != nil {
		conn.close()
		return nil, fmt.Errorf("transport: %s %s%s: %w", method, addr, target, err)
	}
	if resp.Close {
		conn.close()
	} else {
		c.release(addr, conn)
	}
	return resp, nil
}

// dial connects to an address, over TLS if there is a TLS configuration for it.
func (c *Client) dial(ctx context.Context, addr string) (connection, error) {
	raw, err := c.engine.dial(ctx, addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	if c.TLSConfig == nil {
		return raw, nil
	}
	config := c.TLSConfig(addr)
	if config == nil {
		return raw, nil
	}
	s, err := handshakeTLS(ctx, raw, func(nc net.Conn) *tls.Conn { return tls.Client(nc, config) })
	if err != nil {
		raw.close()
		return nil, err
	}
	return s, nil
}

// readResponse waits for the response to the last request.
func readResponse(ctx context.Context, conn connection) (*Response, error) {
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	for {
		var resp *Response
		err := conn.consume(func(buf []byte) (n int, err error) {
			resp, n, err = ParseResponse(buf, clientBuffer)
			return n, err
		})
		if err == nil {
			return resp, nil
		}
		if !errors.Is(err, ErrIncomplete) {
			return nil, err
		}
		if err := conn.wait(ctx, timer); err != nil {
			return nil, err
		}
	}
}

// takeIdle removes an idle connection to an address from the pool and returns it; nil if there is
// no usable one. It closes the unusable ones that it finds.
func (c *Client) takeIdle(addr string) connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		if time.Since(last.idleSince) < clientIdleTimeout && !last.dead() && last.buffered() == 0 {
			return last.connection
		}
		last.close()
	}
	return nil
}

// release adds a connection to the pool, or closes it if the pool is full or the process is near
// its limit of sockets.
func (c *Client) release(addr string, conn connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= maxIdlePerAddr || c.nearSocketLimit() {
		conn.close()
		return
	}
	c.idle[addr] = append(c.idle[addr], idleConnection{connection: conn, idleSince: time.Now()})
}

// nearSocketLimit reports whether the process has MaxConnectionsForIdle or more open connections.
func (c *Client) nearSocketLimit() bool {
	return c.MaxConnectionsForIdle > 0 && c.engine.open.Load() >= int64(c.MaxConnectionsForIdle)
}

// CloseIdleUntilDone closes idle connections after clientIdleTimeout, or after shortIdleTimeout while the
// process is near its limit of sockets. It returns when ctx is done.
func (c *Client) CloseIdleUntilDone(ctx context.Context) {
	tick := time.NewTicker(shortIdleTimeout)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case now := <-tick.C:
			if c.nearSocketLimit() {
				c.closeIdle(shortIdleTimeout)
			} else if now.Sub(last) >= clientIdleTimeout/2 {
				c.closeIdle(clientIdleTimeout)
				last = now
			}
		case <-ctx.Done():
			return
		}
	}
}

// closeIdle closes connections that have been idle for at least a timeout, also those to addresses
// to which no more requests are sent.
func (c *Client) closeIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if time.Since(conn.idleSince) < timeout && !conn.dead() {
				kept = append(kept, conn)
			} else {
				conn.close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
}
