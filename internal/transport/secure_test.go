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

func (a authority) keyring(name string, issued time.Time, lifetime time.Duration) *identity.Keyring {
	n := must(identity.ParseName(name))
	cert := must(a.ca.Issue(n, issued, lifetime, false))
	return must(identity.Load(identity.Files{CredentialsFile: cert.File, RootsFile: filepath.Join(a.dir, pki.RootFile)}))
}

func freeAddr() string {
	l := must(net.Listen("tcp4", "127.0.0.1:0"))
	defer l.Close() //nolint:errcheck // closed at once
	return l.Addr().String()
}

// serveTLS serves over TLS. Each response contains the client's identity, the Authorization header
// and the length of the body.
func serveTLS(t *testing.T, server func() *tls.Config, clientSide func(string) *tls.Config) (string, *transport.Client) {
	addr := freeAddr()
	client := transport.NewClient()
	client.TLSConfig = clientSide
	ctx, cancel := context.WithCancel(context.Background())
	started, stopped := make(chan struct{}), make(chan error, 1)
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
		stopped <- transport.Run(ctx, []*transport.Listener{{Addr: addr, Handler: handler, MaxConns: 50, MaxBody: 200_000, TLSConfig: server}}, func(e *transport.Engine) {
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

func anyName(identity.Name) bool { return true }

func TestRequestsOverTLS(t *testing.T) {
	a := newAuthority(t, time.Now())
	server, client := a.keyring("controller/n0", time.Now(), time.Hour), a.keyring("controller/n1", time.Now(), time.Hour)
	addr, c := serveTLS(t, func() *tls.Config { return server.ServerConfig(true) }, func(string) *tls.Config {
		return client.ClientConfig(func(n identity.Name) bool { return n.String() == "controller/n0" })
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			for k := range 10 {
				// Some bodies are longer than one TLS record.
				body := bytes.Repeat([]byte{byte(i)}, 1+k*19_000)
				resp, err := c.Do(ctx, addr, "POST", "/x", body)
				if err != nil || string(resp.Body) != fmt.Sprintf("controller/n1  %d", len(body)) {
					t.Errorf("request over TLS: error %v, response %+v, want the identity controller/n1 and the length of the request body", err, resp)
					return
				}
			}
		})
	}
	wg.Wait()
}

// Clients and servers refuse a peer with an invalid certificate, without a certificate, without TLS
// or with an old version of TLS.
func TestWrongCertificates(t *testing.T) {
	now := time.Now()
	a, foreign := newAuthority(t, now), newAuthority(t, now)
	server := a.keyring("controller/n0", now, time.Hour)
	old := newAuthority(t, now.Add(-100*time.Hour))
	for name, tc := range map[string]struct {
		server, client *identity.Keyring
		accept         func(identity.Name) bool
	}{
		"client of a foreign root":  {server, foreign.keyring("controller/n1", now, time.Hour), anyName},
		"server of a foreign root":  {foreign.keyring("controller/n0", now, time.Hour), a.keyring("controller/n1", now, time.Hour), anyName},
		"server of another name":    {server, a.keyring("controller/n2", now, time.Hour), func(n identity.Name) bool { return n.ID == "n9" }},
		"server of another kind":    {a.keyring("worker/m-1", now, time.Hour), a.keyring("controller/n3", now, time.Hour), func(n identity.Name) bool { return n.Kind == identity.Controller }},
		"both expired":              {old.keyring("controller/n0", now.Add(-50*time.Hour), time.Hour), old.keyring("controller/n1", now.Add(-50*time.Hour), time.Hour), anyName},
		"client's expired":          {old.keyring("controller/n4", now, time.Hour), old.keyring("controller/n5", now.Add(-50*time.Hour), time.Hour), anyName},
		"server's expired":          {old.keyring("controller/n6", now.Add(-50*time.Hour), time.Hour), old.keyring("controller/n7", now, time.Hour), anyName},
		"server's is not valid yet": {a.keyring("controller/n8", now.Add(time.Hour), time.Hour), a.keyring("controller/n9", now, time.Hour), anyName},
	} {
		t.Run(name, func(t *testing.T) {
			addr, c := serveTLS(t, func() *tls.Config { return tc.server.ServerConfig(true) }, func(string) *tls.Config { return tc.client.ClientConfig(tc.accept) })
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if resp, err := c.Do(ctx, addr, "GET", "/", nil); err == nil {
				t.Errorf("got response %+v, want an error", resp)
			}
		})
	}
	t.Run("no client certificate", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(true) }, nil)
		conn, err := tls.Dial("tcp4", addr, &tls.Config{InsecureSkipVerify: true})
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			if n, err := conn.Read(make([]byte, 100)); err == nil {
				t.Errorf("read %d bytes without a client certificate, want an error", n)
			}
		}
	})
	t.Run("TLS 1.2", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
		if _, err := tls.Dial("tcp4", addr, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}); err == nil {
			t.Error("the server accepted TLS 1.2")
		}
	})
	t.Run("plain HTTP", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
		c := must(net.Dial("tcp4", addr))
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if got, _ := io.ReadAll(c); bytes.Contains(got, []byte("HTTP/1.1")) {
			t.Errorf("plain HTTP request got the response %q, want none", got)
		}
	})
	t.Run("client that sends nothing", func(t *testing.T) {
		addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
		c := must(net.Dial("tcp4", addr))
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		start := time.Now()
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, context.DeadlineExceeded) || time.Since(start) > 15*time.Second {
			t.Errorf("connection was open for %s, want at most 15s; error %v", time.Since(start), err)
		}
	})
}

// After a server's certificate is renewed, open connections stay open and new ones use the new
// certificate.
func TestCertificatesRotateUnderOpenConnections(t *testing.T) {
	a := newAuthority(t, time.Now())
	name := must(identity.ParseName("controller/n0"))
	server := a.keyring("controller/n0", time.Now(), time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go server.Watch(ctx, discard())
	addr, _ := serveTLS(t, func() *tls.Config { return server.ServerConfig(false) }, nil)
	roots := x509.NewCertPool()
	roots.AddCert(a.ca.Root())
	var serials sync.Map
	config := identity.ClientConfig(roots, nil, anyName)
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
	send := func() {
		t.Helper()
		resp, err := client.Get("https://" + addr + "/")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	send()
	must(a.ca.Issue(name, time.Now(), 2*time.Hour, true))
	_, before := server.Signer()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		send()
		if _, now := server.Signer(); !now.Equal(before) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the server did not load the new certificate within 20s")
		}
	}
	send()
	if conns != 1 {
		t.Errorf("%d connections, want only the first one", conns)
	}
	client.CloseIdleConnections()
	send()
	n := 0
	serials.Range(func(any, any) bool { n++; return true })
	if conns != 2 || n != 2 {
		t.Errorf("%d connections with %d different certificates, want 2 and 2", conns, n)
	}
}

func discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
