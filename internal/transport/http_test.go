package transport

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		status   int // 0: success; -1: ErrIncomplete
	}{
		{"no body", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 0},
		{"body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 0},
		{"incomplete body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", -1},
		{"incomplete head", "GET /a HT", -1},
		{"no target", "GET HTTP/1.1\r\n\r\n", 400},
		{"invalid method", "G=T / HTTP/1.1\r\n\r\n", 400},
		{"binary data", "\x16\x03\x01", 400},
		{"unsupported version", "GET / HTTP/2.0\r\n\r\n", 505},
		{"conflicting lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", 400},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
		{"signed length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400},
		{"empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", 400},
		{"body too large", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413},
		{"length and chunked encoding", "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0", 400},
		{"chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411},
		{"space before colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400},
		{"folded header", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400},
		{"bare line feed", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400},
		{"head too large", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", MaxHeadBytes), 431},
		{"too many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxHeaders+1) + "\r\n", 431},
	} {
		req, n, err := ParseRequest([]byte(tc.in), 100)
		var bad *ParseError
		switch {
		case tc.status == 0 && (err != nil || n != len(tc.in) || req == nil):
			t.Errorf("%s: error %v after %d bytes, want the whole input parsed", tc.name, err, n)
		case tc.status == -1 && !errors.Is(err, ErrIncomplete):
			t.Errorf("%s: error %v, want ErrIncomplete", tc.name, err)
		case tc.status > 0 && (!errors.As(err, &bad) || bad.Status != tc.status):
			t.Errorf("%s: error %v, want one with status %d", tc.name, err, tc.status)
		}
	}
	req, _, err := ParseRequest([]byte("GET /a/b?c=d HTTP/1.1\r\nConnection: Close\r\n\r\n"), 0)
	if err != nil || req.Path != "/a/b" || req.Query != "c=d" || !req.Close {
		t.Errorf("GET /a/b?c=d with Connection: Close: parsed %+v, error %v; want path /a/b, query c=d and Close", req, err)
	}
}

func TestParseResponse(t *testing.T) {
	in := "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for i := range in {
		if _, _, err := ParseResponse([]byte(in[:i]), 10); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("first %d bytes: error %v, want ErrIncomplete", i, err)
		}
	}
	resp, n, err := ParseResponse([]byte(in), 10)
	if err != nil || n != len(in) || resp.Status != 503 || resp.RetryAfter != 7 || string(resp.Body) != "abc" {
		t.Errorf("response parsed as %+v, %d bytes, error %v; want all bytes, status 503, RetryAfter 7 and body abc", resp, n, err)
	}
	if _, _, err := ParseResponse([]byte(in), 2); err == nil {
		t.Error("a body larger than the limit was accepted")
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
			t.Fatalf("parsed %d of %d bytes, with a body of %d bytes; want at most all and a body of at most 64", n, len(in), len(req.Body))
		}
		// The result must not change when another request follows.
		again, m, err := ParseRequest(append(in[:len(in):len(in)], "GET / HTTP/1.1\r\n\r\n"...), 64)
		if err != nil || m != n || again.Path != req.Path {
			t.Fatalf("followed by another request: error %v, parsed %d bytes, want the same result as before", err, m)
		}
	})
}

func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if resp, n, err := ParseResponse(in, 64); err == nil && (n > len(in) || len(resp.Body) > 64) {
			t.Fatalf("parsed %d of %d bytes; want at most all of them, and a body of at most 64 bytes", n, len(in))
		}
	})
}
