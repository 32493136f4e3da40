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
	dialTimeout = time.Second
	idlePerHost = 4
	idleFor     = 20 * time.Second
	// crowdedIdleFor is how long a connection waits for its next request where sockets
	// run out.
	crowdedIdleFor = time.Second
)

// Client sends requests over pooled connections.
type Client struct {
	// TLSConfig, if set, gives the TLS configuration for connections to an
	// address; nil: in the clear.
	TLSConfig func(addr string) *tls.Config
	// CrowdedConnections, if set, is how many open connections of the process, accepted ones among
	// them, are so many that none is kept for a next request: sockets that only wait
	// would be missing for workers and users. Below it connections are kept, since
	// dialling anew costs time and processor.
	CrowdedConnections int

	engine *Engine

	mu   sync.Mutex
	idle map[string][]idleStream
}

type idleStream struct {
	s     pipe
	since time.Time
}

// NewClient makes a client; it can send once an engine is attached.
func NewClient() *Client { return &Client{idle: map[string][]idleStream{}} }

// Attach lets the client use the engine's event loop.
func (c *Client) Attach(e *Engine) { c.engine = e }

// Do sends one request and waits for its response until ctx ends. An error
// that wraps ErrNotSent proves that the peer will never execute the request.
func (c *Client) Do(ctx context.Context, addr, method, target string, body []byte) (*Response, error) {
	s := c.pooled(addr)
	if s == nil {
		var err error
		if s, err = c.dial(ctx, addr); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if err := s.write(appendRequest(make([]byte, 0, 256+len(body)), method, target, addr, body)); err != nil {
		s.close()
		return nil, err
	}
	resp, err := readResponse(ctx, s)
	if err != nil {
		s.close()
		return nil, fmt.Errorf("transport: %s %s%s: %w", method, addr, target, err)
	}
	if resp.Close {
		s.close()
	} else {
		c.keep(addr, s)
	}
	return resp, nil
}

// dial connects, and shakes hands where the address asks for it.
func (c *Client) dial(ctx context.Context, addr string) (pipe, error) {
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
	s, err := secure(ctx, raw, func(nc net.Conn) *tls.Conn { return tls.Client(nc, config) })
	if err != nil {
		raw.close()
		return nil, err
	}
	return s, nil
}

func readResponse(ctx context.Context, s pipe) (*Response, error) {
	timer := time.NewTimer(2 * time.Minute)
	defer timer.Stop()
	for {
		var resp *Response
		err := s.take(func(buf []byte) (n int, err error) {
			resp, n, err = ParseResponse(buf, clientBuffer)
			return n, err
		})
		if err == nil {
			return resp, nil
		}
		if !errors.Is(err, ErrIncomplete) {
			return nil, err
		}
		if err := s.wait(ctx, timer); err != nil {
			return nil, err
		}
	}
}

func (c *Client) pooled(addr string) pipe {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		if time.Since(last.since) < idleFor && !last.s.dead() && last.s.pending() == 0 {
			return last.s
		}
		last.s.close()
	}
	return nil
}

func (c *Client) keep(addr string, s pipe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= idlePerHost || c.crowded() {
		s.close()
		return
	}
	c.idle[addr] = append(c.idle[addr], idleStream{s: s, since: time.Now()})
}

// crowded says whether sockets run out.
func (c *Client) crowded() bool {
	return c.CrowdedConnections > 0 && c.engine.open.Load() >= int64(c.CrowdedConnections)
}

// SweepUntil sweeps now and then until ctx ends, and soon where sockets run out.
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
		for _, e := range list {
			if time.Since(e.since) < unused && !e.s.dead() {
				kept = append(kept, e)
			} else {
				e.s.close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
}
