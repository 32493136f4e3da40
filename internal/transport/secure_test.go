package transport_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
	"micaspindle/internal/transport"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

type authority struct {
	dir string
	ca  *pki.Authority
}

func newAuthority(t *testing.T, now time.Time) authority {
	dir := t.TempDir()
	return authority{dir, must(pki.Create(dir, "test", now, 1000*time.Hour))}
}

func (a authority) ring(name string, issued time.Time, life time.Duration) *identity.Keyring {
	n := must(identity.ParseName(name))
	cert := must(a.ca.Issue(n, issued, life, false))
	return must(identity.Load(identity.Files{Own: cert.File, Roots: filepath.Join(a.dir, pki.RootFile)}))
}

func freeAddr() string {
	l := must(net.Listen("tcp4", "127.0.0.1:0"))
	defer l.Close() //nolint:errcheck // closed at once
	return l.Addr().String()
}

// serveTLS answers with who the client is.
func serveTLS(t *testing.T, server func() *tls.Config, clientSide func(string) *tls.Config) (string, *transport.Client) {
	addr := freeAddr()
	client := transport.NewClient()
	client.TLSConfig = clientSide
	ctx, cancel := context.WithCancel(context.Background())
	up, down := make(chan struct{}), make(chan error, 1)
	handler := func(_ context.Context, r *transport.Request) transport.Response {
		who := "nobody"
		if r.Peer != nil {
			if n, err := identity.FromCertificate(r.Peer); err == nil {
				who = n.String()
			}
		}
		return transport.Response{Status: 200, Body: fmt.Appendf(nil, "%s %s %d", who, r.Authorization, len(r.Body))}
	}
	go func() {
		down <- transport.Run(ctx, []*transport.Listener{{Addr: addr, Handler: handler, MaxConns: 50, MaxBody: 200_000, TLSConfig: server}}, func(e *transport.Engine) {
			client.Attach(e)
			close(up)
			<-ctx.Done()
		})
	}()
	select {
	case <-up:
	case err := <-down:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-down; err != nil {
			t.Error(err)
		}
	})
	return addr, client
}

func anybody(identity.Name) bool { return true }

func TestRequestsOverTLS(t *testing.T) {
	a := newAuthority(t, time.Now())
	server, client := a.ring("controller/n0", time.Now(), time.Hour), a.ring("controller/n1", time.Now(), time.Hour)
	addr, c := serveTLS(t, func() *tls.Config { return server.ServerConfig(true) }, func(string) *tls.Config {
		return client.ClientConfig(func(n identity.Name) bool { return n.String() == "controller/n0" })
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			for k := range 10 {
				// Bodies of more than one TLS record too.
				body := bytes.Repeat([]byte{byte(i)}, 1+k*19_000)
				resp, err := c.Do(ctx, addr, "POST", "/x", body)
				if err != nil || string(resp.Body) != fmt.Sprintf("controller/n1  %d", len(body)) {
					t.Errorf("%v %+v", err, resp)
					return
				}
			}
		})
	}
	wg.Wait()
}

// Who shows the wrong certificate, or none, is not spoken to, on either side,
// and a request that could not be sent is known not to be executed.
func TestWrongCertificates(t *testing.T) {
	now := time.Now()
	a, foreign := newAuthority(t, now), newAuthority(t, now)
	server := a.ring("controller/n0", now, time.Hour)
	old := newAuthority(t, now.Add(-100*time.Hour))
	for name, tc := range map[string]struct {
		server, client *identity.Keyring
		accept         func(identity.Name) bool
	}{
		"client of a foreign root":  {server, foreign.ring("controller/n1", now, time.Hour), anybody},
		"server of a foreign root":  {foreign.ring("controller/n0", now, time.Hour), a.ring("controller/n1", now, time.Hour), anybody},
		"server of another name":    {server, a.ring("controller/n2", now, time.Hour), func(n identity.Name) bool { return n.ID == "n9" }},
		"server of another kind":    {a.ring("worker/m-1", now, time.Hour), a.ring("controller/n3", now, time.Hour), func(n identity.Name) bool { return n.Kind == identity.Controller }},
		"both ended":                {old.ring("controller/n0", now.Add(-50*time.Hour), time.Hour), old.ring("controller/n1", now.Add(-50*time.Hour), time.Hour), anybody},
		"only the client's ended":   {old.ring("controller/n4", now, time.Hour), old.ring("controller/n5", now.Add(-50*time.Hour), time.Hour), anybody},
		"only the server's ended":   {old.ring("controller/n6", now.Add(-50*time.Hour), time.Hour), old.ring("controller/n7", now, time.Hour), anybody},
		"server's is not valid yet": {a.ring("controller/n8", now.Add(time.Hour), time.Hour), a.ring("controller/n9", now, time.Hour), anybody},
	} {
		t.Run(name, func(t *testing.T) {
			addr, c := serveTLS(t, func() *tls.Config { return tc.server.ServerConfig(true) }, func(string) *tls.Config { return tc.client.ClientConfig(tc.accept) })
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if resp, err := c.Do(ctx, addr, "GET", "/", nil); err == nil {
				t.Errorf("answered %+v", resp)
			}
		})
	}
	t.Run("nobody's", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(true) }, nil)
		conn, err := tls.Dial("tcp4", addr, &tls.Config{InsecureSkipVerify: true})
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			if n, err := conn.Read(make([]byte, 100)); err == nil {
				t.Errorf("answered with %d bytes", n)
			}
		}
	})
	t.Run("an old TLS", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
		if _, err := tls.Dial("tcp4", addr, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}); err == nil {
			t.Error("TLS 1.2 was taken")
		}
	})
	t.Run("in the clear", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
		c := must(net.Dial("tcp4", addr))
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if got, _ := io.ReadAll(c); bytes.Contains(got, []byte("HTTP/1.1")) {
			t.Errorf("answered %q", got)
		}
	})
	t.Run("a silent client", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
		c := must(net.Dial("tcp4", addr))
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		begun := time.Now()
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, context.DeadlineExceeded) || time.Since(begun) > 15*time.Second {
			t.Errorf("held open for %s: %v", time.Since(begun), err)
		}
	})
}

// A certificate is renewed without dropping a connection: the open one goes on,
// and new ones see the new certificate.
func TestCertificatesRotateUnderOpenConnections(t *testing.T) {
	a := newAuthority(t, time.Now())
	name := must(identity.ParseName("controller/n0"))
	server := a.ring("controller/n0", time.Now(), time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go server.Watch(ctx, discard())
	addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
	roots := x509.NewCertPool()
	roots.AddCert(a.ca.Root())
	var serials sync.Map
	config := identity.ClientConfig(roots, nil, anybody)
	verify := config.VerifyConnection
	config.VerifyConnection = func(cs tls.ConnectionState) error {
		serials.Store(cs.PeerCertificates[0].SerialNumber.String(), true)
		return verify(cs)
	}
	conns := 0
	dialer := &tls.Dialer{Config: config}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conns++
		return dialer.DialContext(ctx, network, addr)
	}}}
	ask := func() {
		t.Helper()
		resp, err := client.Get("https://" + addr + "/")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	ask()
	must(a.ca.Issue(name, time.Now(), 2*time.Hour, true))
	_, before := server.Signer()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ask()
		if _, now := server.Signer(); !now.Equal(before) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the new certificate was never read")
		}
	}
	ask()
	if conns != 1 {
		t.Errorf("%d connections, want the first to go on", conns)
	}
	client.CloseIdleConnections()
	ask()
	n := 0
	serials.Range(func(any, any) bool { n++; return true })
	if conns != 2 || n != 2 {
		t.Errorf("%d connections saw %d certificates, want 2 and 2", conns, n)
	}
}

func discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
