package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits on the head of a message, which is its first line and its headers. A larger head is
// refused with status 431.
const (
	MaxHeadBytes = 8 << 10
	MaxHeaders   = 64
)

const (
	// maxTargetBytes is the maximum length of a request target.
	maxTargetBytes = 2048
	// maxChunkSizeLine is the maximum length of the line with a chunk's size, in bytes.
	maxChunkSizeLine = 32
	// sizeBits limits lengths to 31 bits, so that they fit into an int on every platform.
	sizeBits = 31
)

const (
	lineEnd = "\r\n"
	headEnd = "\r\n\r\n"
)

// ErrIncomplete means that the buffer holds only the beginning of a message.
var ErrIncomplete = errors.New("transport: message incomplete")

// ParseError is the error for a message that is malformed, too large, unsupported or too slow.
// Status is the HTTP status with which a server answers it.
type ParseError struct {
	Status int
	Reason string
}

func (e *ParseError) Error() string { return "transport: " + e.Reason }

func malformed(reason string) error { return &ParseError{Status: 400, Reason: reason} }

func bodyTooLarge() error { return &ParseError{Status: 413, Reason: "body too large"} }

// ParseRequest parses one request at the start of buf and returns its length in bytes. It returns
// ErrIncomplete if buf does not hold the whole message yet.
func ParseRequest(buf []byte, maxBody int) (*Request, int, error) {
	start, headers, used, err := parseHead(buf)
	if err != nil {
		return nil, 0, err
	}
	line, err := parseRequestLine(start)
	if err != nil {
		return nil, 0, err
	}
	if headers.chunked {
		return nil, 0, &ParseError{Status: 411, Reason: "chunked request bodies are not supported"}
	}
	body, err := parseBody(buf[used:], headers.length, maxBody)
	if err != nil {
		return nil, 0, err
	}
	request := &Request{
		Method:        line.method,
		Body:          body,
		Close:         headers.close || line.http10,
		Authorization: headers.authorization,
		OnBehalfOf:    headers.onBehalfOf,
	}
	request.Path, request.Query, _ = strings.Cut(line.target, "?")
	return request, used + headers.length, nil
}

// ParseResponse parses one response at the start of buf and returns its length in bytes. It returns
// ErrIncomplete if buf does not hold the whole message yet.
func ParseResponse(buf []byte, maxBody int) (*Response, int, error) {
	start, headers, used, err := parseHead(buf)
	if err != nil {
		return nil, 0, err
	}
	status, err := parseStatusLine(start)
	if err != nil {
		return nil, 0, err
	}
	response := &Response{Status: status, RetryAfter: headers.retryAfter, Close: headers.close}
	switch {
	case status < 200 || status == 204 || status == 304: // no body
		return response, used, nil
	case headers.chunked:
		body, bodyLen, err := parseChunks(buf[used:], maxBody)
		if err != nil {
			return nil, 0, err
		}
		response.Body = body
		return response, used + bodyLen, nil
	case !headers.hasLength:
		return nil, 0, malformed("response has neither Content-Length nor chunked encoding")
	}
	if response.Body, err = parseBody(buf[used:], headers.length, maxBody); err != nil {
		return nil, 0, err
	}
	return response, used + headers.length, nil
}

// requestLine is the first line of a request.
type requestLine struct {
	method, target string
	http10         bool // version is HTTP/1.0
}

func parseRequestLine(line string) (requestLine, error) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) {
		return requestLine{}, malformed("malformed request line")
	}
	http10 := version == "HTTP/1.0"
	if version != "HTTP/1.1" && !http10 {
		return requestLine{}, &ParseError{Status: 505, Reason: "unsupported HTTP version"}
	}
	if !strings.HasPrefix(target, "/") || len(target) > maxTargetBytes {
		return requestLine{}, malformed("request target is too long or does not begin with /")
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return requestLine{}, malformed("invalid byte in request target")
		}
	}
	return requestLine{method, target, http10}, nil
}

// parseStatusLine parses the first line of a response and returns the status code.
func parseStatusLine(line string) (int, error) {
	const codeAt, codeEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(line) < codeEnd || !strings.HasPrefix(line, "HTTP/1.") || line[codeAt-1] != ' ' {
		return 0, malformed("malformed status line")
	}
	status, err := strconv.Atoi(line[codeAt:codeEnd])
	if err != nil || status < 100 || status > 599 {
		return 0, malformed("invalid status code")
	}
	return status, nil
}

// parseBody copies a body of the given length from the start of buf.
func parseBody(buf []byte, length, maxBody int) ([]byte, error) {
	if length > maxBody {
		return nil, bodyTooLarge()
	}
	if len(buf) < length {
		return nil, ErrIncomplete
	}
	return bytes.Clone(buf[:length]), nil
}

// parseChunks parses a chunked body at the start of buf and returns it with its encoded length.
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
			return nil, 0, malformed("chunk does not end with CRLF")
		}
		used += len(lineEnd)
		if size == 0 {
			return body, used, nil
		}
	}
}

// parseChunkSize parses the line with a chunk's size and returns the size and the line's length.
func parseChunkSize(buf []byte) (size, used int, err error) {
	end := bytes.Index(buf[:min(len(buf), maxChunkSizeLine)], []byte(lineEnd))
	if end < 0 {
		if len(buf) >= maxChunkSizeLine {
			return 0, 0, malformed("chunk size line too long")
		}
		return 0, 0, ErrIncomplete
	}
	parsed, err := strconv.ParseUint(string(buf[:end]), 16, sizeBits)
	if err != nil {
		return 0, 0, malformed("invalid chunk size")
	}
	return int(parsed), end + len(lineEnd), nil
}

// isToken reports whether text is an HTTP token. Methods and header names are tokens.
func isToken(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return text != ""
}
