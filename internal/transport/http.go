// Package transport carries bytes: a gnet engine, the project's own HTTP/1.1
// parser, and a server and a client built on both.
package transport

import (
	"bytes"
	"cmp"
	"crypto/x509"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of what the parser accepts before it calls a message malformed.
const (
	MaxHead    = 8 << 10
	MaxHeaders = 64
)

// ErrIncomplete says that the buffer holds only the beginning of a message.
var ErrIncomplete = errors.New("transport: message incomplete")

// ParseError is a malformed message and the status a server answers it with.
type ParseError struct {
	Status int
	Reason string
}

func (e *ParseError) Error() string { return "transport: " + e.Reason }

func malformed(format string, args ...any) error {
	return &ParseError{Status: 400, Reason: fmt.Sprintf(format, args...)}
}

// Request is one parsed HTTP request.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	Close  bool
	// Authorization is the header of that name. It holds a secret.
	Authorization string
	// OnBehalfOf names for whom a service asks.
	OnBehalfOf string
	// Peer is the client's certificate, if it has proven to own one, and From
	// its address.
	Peer *x509.Certificate
	From string
}

// Response is one HTTP response.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int
	Close      bool
	// Type is the body's content type, "" MessagePack.
	Type string
}

type head struct {
	length  int
	hasLen  bool
	chunked bool
	close   bool
	retry   int
	auth    string
	behalf  string
}

// ParseRequest reads one request from the front of buf and reports how many
// bytes it took. It returns ErrIncomplete until the whole message is there.
func ParseRequest(buf []byte, maxBody int) (*Request, int, error) {
	start, hd, n, err := parseHead(buf)
	if err != nil {
		return nil, 0, err
	}
	method, rest, ok := strings.Cut(start, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || method == "" || !isToken(method) {
		return nil, 0, malformed("bad request line")
	}
	old := version == "HTTP/1.0"
	if version != "HTTP/1.1" && !old {
		return nil, 0, &ParseError{Status: 505, Reason: "unsupported HTTP version"}
	}
	if !strings.HasPrefix(target, "/") || len(target) > 2048 {
		return nil, 0, malformed("bad request target")
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return nil, 0, malformed("bad byte in request target")
		}
	}
	if hd.chunked {
		return nil, 0, &ParseError{Status: 411, Reason: "a length is required"}
	}
	if hd.length > maxBody {
		return nil, 0, &ParseError{Status: 413, Reason: "body too large"}
	}
	if len(buf)-n < hd.length {
		return nil, 0, ErrIncomplete
	}
	req := &Request{Method: method, Close: hd.close || old, Authorization: hd.auth, OnBehalfOf: hd.behalf}
	req.Path, req.Query, _ = strings.Cut(target, "?")
	req.Body = bytes.Clone(buf[n : n+hd.length])
	return req, n + hd.length, nil
}

// ParseResponse reads one response from the front of buf.
func ParseResponse(buf []byte, maxBody int) (*Response, int, error) {
	start, hd, n, err := parseHead(buf)
	if err != nil {
		return nil, 0, err
	}
	if len(start) < 12 || !strings.HasPrefix(start, "HTTP/1.") || start[8] != ' ' {
		return nil, 0, malformed("bad status line")
	}
	status, err := strconv.Atoi(start[9:12])
	if err != nil || status < 100 || status > 599 {
		return nil, 0, malformed("bad status")
	}
	resp := &Response{Status: status, RetryAfter: hd.retry, Close: hd.close}
	if status < 200 || status == 204 || status == 304 {
		return resp, n, nil
	}
	if hd.chunked {
		body, used, err := parseChunks(buf[n:], maxBody)
		if err != nil {
			return nil, 0, err
		}
		resp.Body = body
		return resp, n + used, nil
	}
	if !hd.hasLen {
		return nil, 0, malformed("a length is required")
	}
	if hd.length > maxBody {
		return nil, 0, &ParseError{Status: 413, Reason: "body too large"}
	}
	if len(buf)-n < hd.length {
		return nil, 0, ErrIncomplete
	}
	resp.Body = bytes.Clone(buf[n : n+hd.length])
	return resp, n + hd.length, nil
}

func parseHead(buf []byte) (string, head, int, error) {
	var hd head
	end := bytes.Index(buf[:min(len(buf), MaxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) >= MaxHead {
			return "", hd, 0, &ParseError{Status: 431, Reason: "head too large"}
		}
		if len(buf) > 0 && (buf[0] < 'A' || buf[0] > 'Z') {
			return "", hd, 0, malformed("bad first byte")
		}
		return "", hd, 0, ErrIncomplete
	}
	lines := strings.Split(string(buf[:end]), "\r\n")
	if len(lines) > MaxHeaders+1 {
		return "", hd, 0, &ParseError{Status: 431, Reason: "too many headers"}
	}
	for _, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return "", hd, 0, malformed("bare control byte in head")
		}
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return "", hd, 0, malformed("bad header line")
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			length, err := strconv.ParseUint(value, 10, 31)
			if err != nil || value[0] == '+' || hd.hasLen && int(length) != hd.length {
				return "", hd, 0, malformed("bad content length")
			}
			hd.length, hd.hasLen = int(length), true
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return "", hd, 0, malformed("unknown transfer encoding")
			}
			hd.chunked = true
		case "connection":
			for _, option := range strings.Split(value, ",") {
				if strings.EqualFold(strings.TrimSpace(option), "close") {
					hd.close = true
				}
			}
		case "authorization":
			if hd.auth != "" {
				return "", hd, 0, malformed("two credentials")
			}
			hd.auth = value
		case "on-behalf-of":
			if hd.behalf != "" {
				return "", hd, 0, malformed("on behalf of two")
			}
			hd.behalf = value
		case "retry-after":
			hd.retry, _ = strconv.Atoi(value)
		}
	}
	if hd.chunked && hd.hasLen {
		return "", hd, 0, malformed("both a length and chunks")
	}
	return lines[0], hd, end + 4, nil
}

func parseChunks(buf []byte, maxBody int) ([]byte, int, error) {
	var body []byte
	used := 0
	for {
		i := bytes.Index(buf[used:min(len(buf), used+32)], []byte("\r\n"))
		if i < 0 {
			if len(buf)-used >= 32 {
				return nil, 0, malformed("bad chunk size")
			}
			return nil, 0, ErrIncomplete
		}
		size, err := strconv.ParseUint(string(buf[used:used+i]), 16, 31)
		if err != nil {
			return nil, 0, malformed("bad chunk size")
		}
		if len(body)+int(size) > maxBody {
			return nil, 0, &ParseError{Status: 413, Reason: "body too large"}
		}
		used += i + 2
		if len(buf)-used < int(size)+2 {
			return nil, 0, ErrIncomplete
		}
		body = append(body, buf[used:used+int(size)]...)
		used += int(size)
		if buf[used] != '\r' || buf[used+1] != '\n' {
			return nil, 0, malformed("bad chunk end")
		}
		used += 2
		if size == 0 {
			return body, used, nil
		}
	}
}

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

func appendResponse(dst []byte, r Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(r.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[r.Status]...)
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, cmp.Or(r.Type, "application/msgpack")...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(r.Body)), 10)
	if r.RetryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(r.RetryAfter), 10)
	}
	if r.Status == 401 {
		dst = append(dst, "\r\nWWW-Authenticate: Bearer"...)
	}
	if r.Close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, r.Body...)
}

func appendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if len(body) > 0 || method == "POST" {
		dst = append(dst, "\r\nContent-Type: application/msgpack\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
