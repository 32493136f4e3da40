package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of what the parser accepts before it calls a message malformed.
const (
	MaxHead    = 8 << 10
	MaxHeaders = 64
)

const (
	// maxTarget is how long a request target may be, in bytes.
	maxTarget = 2048
	// maxChunkSizeLine is how long the line with a chunk's size may be, in bytes.
	maxChunkSizeLine = 32
	// sizeBits bounds lengths, so that they fit into an int on every platform.
	sizeBits = 31
)

const (
	lineEnd = "\r\n"
	headEnd = "\r\n\r\n"
)

// ErrIncomplete says that the buffer holds only the beginning of a message.
var ErrIncomplete = errors.New("transport: message incomplete")

// ParseError is a malformed message and the status with which a server answers it.
type ParseError struct {
	Status int
	Reason string
}

func (e *ParseError) Error() string { return "transport: " + e.Reason }

func malformed(reason string) error { return &ParseError{Status: 400, Reason: reason} }

func bodyTooLarge() error { return &ParseError{Status: 413, Reason: "body too large"} }

// ParseRequest reads one request from the front of buf and reports how many
// bytes it took. It returns ErrIncomplete until the whole message is there.
func ParseRequest(buf []byte, maxBody int) (*Request, int, error) {
	start, hd, used, err := parseHead(buf)
	if err != nil {
		return nil, 0, err
	}
	line, err := parseRequestLine(start)
	if err != nil {
		return nil, 0, err
	}
	if hd.chunked {
		return nil, 0, &ParseError{Status: 411, Reason: "a length is required"}
	}
	body, err := parseBody(buf[used:], hd.length, maxBody)
	if err != nil {
		return nil, 0, err
	}
	request := &Request{
		Method:        line.method,
		Body:          body,
		Close:         hd.close || line.http10,
		Authorization: hd.authorization,
		OnBehalfOf:    hd.onBehalfOf,
	}
	request.Path, request.Query, _ = strings.Cut(line.target, "?")
	return request, used + hd.length, nil
}

// ParseResponse reads one response from the front of buf and reports how many bytes it took.
// It returns ErrIncomplete until the whole message is there.
func ParseResponse(buf []byte, maxBody int) (*Response, int, error) {
	start, hd, used, err := parseHead(buf)
	if err != nil {
		return nil, 0, err
	}
	status, err := parseStatusLine(start)
	if err != nil {
		return nil, 0, err
	}
	response := &Response{Status: status, RetryAfter: hd.retryAfter, Close: hd.close}
	switch {
	case status < 200 || status == 204 || status == 304: // these have no body
		return response, used, nil
	case hd.chunked:
		body, bodyLen, err := parseChunks(buf[used:], maxBody)
		if err != nil {
			return nil, 0, err
		}
		response.Body = body
		return response, used + bodyLen, nil
	case !hd.hasLength:
		return nil, 0, malformed("a length is required")
	}
	if response.Body, err = parseBody(buf[used:], hd.length, maxBody); err != nil {
		return nil, 0, err
	}
	return response, used + hd.length, nil
}

// requestLine is the first line of a request.
type requestLine struct {
	method, target string
	http10         bool // of version 1.0
}

func parseRequestLine(line string) (requestLine, error) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) {
		return requestLine{}, malformed("bad request line")
	}
	http10 := version == "HTTP/1.0"
	if version != "HTTP/1.1" && !http10 {
		return requestLine{}, &ParseError{Status: 505, Reason: "unsupported HTTP version"}
	}
	if !strings.HasPrefix(target, "/") || len(target) > maxTarget {
		return requestLine{}, malformed("bad request target")
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return requestLine{}, malformed("bad byte in request target")
		}
	}
	return requestLine{method, target, http10}, nil
}

// parseStatusLine reads the status from the first line of a response.
func parseStatusLine(line string) (int, error) {
	const codeAt, codeEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(line) < codeEnd || !strings.HasPrefix(line, "HTTP/1.") || line[codeAt-1] != ' ' {
		return 0, malformed("bad status line")
	}
	status, err := strconv.Atoi(line[codeAt:codeEnd])
	if err != nil || status < 100 || status > 599 {
		return 0, malformed("bad status")
	}
	return status, nil
}

// parseBody copies a body of known length from the front of buf.
func parseBody(buf []byte, length, maxBody int) ([]byte, error) {
	if length > maxBody {
		return nil, bodyTooLarge()
	}
	if len(buf) < length {
		return nil, ErrIncomplete
	}
	return bytes.Clone(buf[:length]), nil
}

// parseChunks reads a chunked body from the front of buf and reports how many bytes it took.
func parseChunks(buf []byte, maxBody int) ([]byte, int, error) {
	var body []byte
	used := 0
	for {
		size, lineLen, err := parseChunkSize(buf[used:])
		if err != nil {
			return nil, 0, err
		}
		if len(body)+size > maxBody {
			return nil, 0, bodyTooLarge()
		}
		used += lineLen
		if len(buf)-used < size+len(lineEnd) {
			return nil, 0, ErrIncomplete
		}
		body = append(body, buf[used:used+size]...)
		used += size
		if string(buf[used:used+len(lineEnd)]) != lineEnd {
			return nil, 0, malformed("bad chunk end")
		}
		used += len(lineEnd)
		if size == 0 {
			return body, used, nil
		}
	}
}

// parseChunkSize reads the line with a chunk's size and reports how many bytes it took.
func parseChunkSize(buf []byte) (size, used int, err error) {
	end := bytes.Index(buf[:min(len(buf), maxChunkSizeLine)], []byte(lineEnd))
	if end < 0 {
		if len(buf) >= maxChunkSizeLine {
			return 0, 0, malformed("bad chunk size")
		}
		return 0, 0, ErrIncomplete
	}
	parsed, err := strconv.ParseUint(string(buf[:end]), 16, sizeBits)
	if err != nil {
		return 0, 0, malformed("bad chunk size")
	}
	return int(parsed), end + len(lineEnd), nil
}

// isToken says whether text is a token of HTTP, as methods and header names are.
func isToken(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return text != ""
}
