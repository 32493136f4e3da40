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

// ErrNotSent marks a request of which no byte left this process, so that it
// cannot be executed late.
var ErrNotSent = errors.New("transport: request not sent")

const (
	// dialTimeout bounds the wait for a connection.
	dialTimeout = time.Second
	// responseTimeout bounds the wait for a response, beside the caller's context.
	responseTimeout = 2 * time.Minute
	// idlePerHost is how many connections to one address wait for their next request.
	idlePerHost = 4
	// idleFor is how long a connection waits for its next request.
	idleFor = 20 * time.Second
	// crowdedIdleFor is how long a connection waits for its next request where sockets
	// run out.
	crowdedIdleFor = time.Second
)

// Client sends requests over pooled connections.
type Client struct {
	// TLSConfig, if set, gives the TLS configuration for connections to an
	// address; nil: in the clear.
	TLSConfig func(addr string) *tls.Config
	// CrowdedConnections, if set, is from how many open connections of the process on, accepted ones
	// among them, no connection waits for a next request: sockets that only wait would be
	// missing for agents and users. Below it connections are reused, since dialling anew
	// costs time and processor.
	CrowdedConnections int

	engine *Engine

	mu   sync.Mutex
	idle map[string][]idleConnection // by address, the one used last at the end
}

// idleConnection is a connection that waits for its next request.
type idleConnection struct {
	connection
	since time.Time
}

// requestHeadSize is about how many bytes the head of a request has.
const requestHeadSize = 256

// NewClient makes a client; it can send once an engine is attached.
func NewClient() *Client { return &Client{idle: map[string][]idleConnection{}} }

// Attach lets the client use the engine's event loop.
func (c *Client) Attach(e *Engine) { c.engine = e }

// Do sends one request and waits for its response until ctx ends. An error
// that wraps ErrNotSent proves that the peer will never execute the request.
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

// dial connects, over TLS where the address asks for it.
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
	s, err := startTLS(ctx, raw, func(nc net.Conn) *tls.Conn { return tls.Client(nc, config) })
	if err != nil {
		raw.close()
		return nil, err
	}
	return s, nil
}

// readResponse waits for the response to the request that was sent last.
func readResponse(ctx context.Context, conn connection) (*Response, error) {
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	for {
		var resp *Response
		err := conn.take(func(buf []byte) (n int, err error) {
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

// takeIdle takes a connection that waits for its next request; nil: there is none that is
// still usable.
func (c *Client) takeIdle(addr string) connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		if time.Since(last.since) < idleFor && !last.dead() && last.pending() == 0 {
			return last.connection
		}
		last.close()
	}
	return nil
}

// release lets a connection wait for its next request, or closes it if enough do.
func (c *Client) release(addr string, conn connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= idlePerHost || c.crowded() {
		conn.close()
		return
	}
	c.idle[addr] = append(c.idle[addr], idleConnection{connection: conn, since: time.Now()})
}

// crowded says whether the process is about to run out of sockets.
func (c *Client) crowded() bool {
	return c.CrowdedConnections > 0 && c.engine.open.Load() >= int64(c.CrowdedConnections)
}

// SweepUntil closes connections that were not used for long, until ctx ends, and sooner where
// sockets run out.
func (c *Client) SweepUntil(ctx context.Context) {
	tick := time.NewTicker(crowdedIdleFor)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case now := <-tick.C:
			if c.crowded() {
				c.sweep(crowdedIdleFor)
			} else if now.Sub(last) >= idleFor/2 {
				c.sweep(idleFor)
				last = now
			}
		case <-ctx.Done():
			return
		}
	}
}

// sweep closes connections that nobody has used for so long; hosts come and
// go, and their sockets must not stay.
func (c *Client) sweep(unused time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, waiting := range list {
			if time.Since(waiting.since) < unused && !waiting.dead() {
				kept = append(kept, waiting)
			} else {
				waiting.close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
}
