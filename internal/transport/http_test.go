package transport

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		status   int // 0: parsed; -1: incomplete
	}{
		{"plain", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 0},
		{"body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 0},
		{"body not all there", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", -1},
		{"head not all there", "GET /a HT", -1},
		{"no target", "GET HTTP/1.1\r\n\r\n", 400},
		{"odd method", "G=T / HTTP/1.1\r\n\r\n", 400},
		{"binary", "\x16\x03\x01", 400},
		{"version", "GET / HTTP/2.0\r\n\r\n", 505},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", 400},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
		{"signed length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400},
		{"empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", 400},
		{"too large", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413},
		{"smuggled", "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0", 400},
		{"chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411},
		{"space before colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400},
		{"folded header", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400},
		{"bare line feed", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400},
		{"head too large", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", MaxHead), 431},
		{"too many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxHeaders+1) + "\r\n", 431},
	} {
		req, n, err := ParseRequest([]byte(tc.in), 100)
		var bad *ParseError
		switch {
		case tc.status == 0 && (err != nil || n != len(tc.in) || req == nil):
			t.Errorf("%s: %v after %d bytes", tc.name, err, n)
		case tc.status == -1 && !errors.Is(err, ErrIncomplete):
			t.Errorf("%s: %v, want incomplete", tc.name, err)
		case tc.status > 0 && (!errors.As(err, &bad) || bad.Status != tc.status):
			t.Errorf("%s: %v, want %d", tc.name, err, tc.status)
		}
	}
	req, _, err := ParseRequest([]byte("GET /a/b?c=d HTTP/1.1\r\nConnection: Close\r\n\r\n"), 0)
	if err != nil || req.Path != "/a/b" || req.Query != "c=d" || !req.Close {
		t.Errorf("%+v, %v", req, err)
	}
}

func TestParseResponse(t *testing.T) {
	in := "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for i := range in {
		if _, _, err := ParseResponse([]byte(in[:i]), 10); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("after %d bytes: %v", i, err)
		}
	}
	resp, n, err := ParseResponse([]byte(in), 10)
	if err != nil || n != len(in) || resp.Status != 503 || resp.RetryAfter != 7 || string(resp.Body) != "abc" {
		t.Errorf("%+v %d %v", resp, n, err)
	}
	if _, _, err := ParseResponse([]byte(in), 2); err == nil {
		t.Error("a body over the limit was taken")
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /a?b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: close\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		req, n, err := ParseRequest(in, 64)
		if err != nil {
			return
		}
		if n > len(in) || len(req.Body) > 64 {
			t.Fatalf("took %d of %d bytes, body %d", n, len(in), len(req.Body))
		}
		// What was parsed must not change when more bytes follow.
		again, m, err := ParseRequest(append(in[:len(in):len(in)], "GET / HTTP/1.1\r\n\r\n"...), 64)
		if err != nil || m != n || again.Path != req.Path {
			t.Fatalf("followed by another request: %v %d", err, m)
		}
	})
}

func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if resp, n, err := ParseResponse(in, 64); err == nil && (n > len(in) || len(resp.Body) > 64) {
			t.Fatalf("took %d of %d bytes", n, len(in))
		}
	})
}
