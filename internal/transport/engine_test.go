package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// freeAddr returns a loopback address with a free port.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // closed at once
	return l.Addr().String()
}

func run(t *testing.T, h Handler, maxConns int) (addr string, client *Client) {
	t.Helper()
	return runListener(t, &Listener{Handler: h, MaxConns: maxConns})
}

func runListener(t *testing.T, l *Listener) (addr string, client *Client) {
	t.Helper()
	addr = freeAddr(t)
	l.Addr, l.MaxBody = addr, 1000
	client = NewClient()
	ctx, cancel := context.WithCancel(context.Background())
	started, stopped := make(chan struct{}), make(chan error, 1)
	go func() {
		stopped <- Run(ctx, []*Listener{l}, func(e *Engine) {
			client.Attach(e)
			close(started)
			<-ctx.Done()
		})
	}()
	select {
	case <-started:
	case err := <-stopped:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return addr, client
}

func echo(_ context.Context, r *Request) Response {
	if r.Path == "/panic" {
		panic("requested by the test")
	}
	return Response{Status: 200, Body: append([]byte(r.Method+" "), r.Body...), RetryAfter: 3}
}

func TestRequestsOverTheEngine(t *testing.T) {
	addr, client := run(t, echo, 50)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			for k := range 20 {
				body := fmt.Appendf(nil, "%d.%d", i, k)
				resp, err := client.Do(ctx, addr, "POST", "/x", body)
				if err != nil || resp.Status != 200 || !bytes.Equal(resp.Body, append([]byte("POST "), body...)) || resp.RetryAfter != 3 {
					t.Errorf("POST /x: error %v, response %+v; want status 200, the echoed body and RetryAfter 3", err, resp)
					return
				}
			}
		})
	}
	wg.Wait()
	if resp, err := client.Do(ctx, addr, "GET", "/panic", nil); err != nil || resp.Status != 500 {
		t.Errorf("handler that panics: error %v, response %+v; want status 500", err, resp)
	}
	if _, err := client.Do(ctx, freeAddr(t), "GET", "/", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("request to an address without a listener: error %v, want ErrNotSent", err)
	}
	client.closeIdle(clientIdleTimeout)
}

func TestMalformedRequestsAreAnsweredAndClosed(t *testing.T) {
	addr, _ := run(t, echo, 50)
	for in, want := range map[string]string{
		"nonsense\r\n\r\n": "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n": "HTTP/1.1 413 ",
	} {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(in)); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		got, err := io.ReadAll(c)
		if err != nil || !bytes.HasPrefix(got, []byte(want)) {
			t.Errorf("request %q: unexpected response %q or error %v", in, got, err)
		}
		_ = c.Close()
	}
}

// Connections beyond MaxConns are closed and counted, so that they cannot use up the sockets of the
// process.
func TestConnectionsPastTheBoundAreRefused(t *testing.T) {
	var refusedCalls atomic.Int64
	addr, _ := runListener(t, &Listener{Handler: echo, MaxConns: 2, OnRefused: func() { refusedCalls.Add(1) }})
	var open []net.Conn
	refused := 0
	for range 6 {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			refused++
			continue
		}
		open = append(open, c)
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 10)); err != nil {
			refused++
		}
	}
	for _, c := range open {
		_ = c.Close()
	}
	if refused != 4 || refusedCalls.Load() != 4 {
		t.Errorf("%d of 6 connections were refused and OnRefused was called %d times, want 4 and 4", refused, refusedCalls.Load())
	}
}

// With MaxConnectionsForIdle or more open connections, a connection is closed after its response,
// and idle ones are closed early. With fewer, connections are kept.
func TestIdleConnectionsAreClosedNearTheSocketLimit(t *testing.T) {
	addr, client := run(t, echo, 50)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	send := func() {
		t.Helper()
		if _, err := client.Do(ctx, addr, "POST", "/x", []byte("hello")); err != nil {
			t.Fatal(err)
		}
	}
	awaitOpen := func(want int64) {
		t.Helper()
		for client.engine.open.Load() != want {
			if ctx.Err() != nil {
				t.Fatalf("timed out with %d open connections, want %d", client.engine.open.Load(), want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	send()
	send()
	awaitOpen(2) // both ends of one connection
	client.MaxConnectionsForIdle = 2
	send()
	awaitOpen(0)
	client.MaxConnectionsForIdle = 3
	send()
	awaitOpen(2)
	client.MaxConnectionsForIdle = 2
	swept := make(chan struct{})
	sweeping, stop := context.WithCancel(ctx)
	go func() { defer close(swept); client.CloseIdleUntilDone(sweeping) }()
	awaitOpen(0)
	stop()
	<-swept
}
