package transport

import (
	"bytes"
	"strconv"
	"strings"
)

// head holds the values of the headers that this package uses.
type head struct {
	length        int
	hasLength     bool
	chunked       bool
	close         bool
	retryAfter    int
	authorization string
	onBehalfOf    string
}

// parseHead parses the first line and the headers of a message at the start of buf. used is their
// length in bytes, with the empty line after them.
func parseHead(buf []byte) (start string, headers head, used int, err error) {
	end, err := findHeadEnd(buf)
	if err != nil {
		return "", head{}, 0, err
	}
	lines, err := splitHead(string(buf[:end]))
	if err != nil {
		return "", head{}, 0, err
	}
	for _, line := range lines[1:] {
		if err := headers.addLine(line); err != nil {
			return "", head{}, 0, err
		}
	}
	if headers.chunked && headers.hasLength {
		return "", head{}, 0, malformed("both Content-Length and chunked encoding")
	}
	return lines[0], headers, end + len(headEnd), nil
}

// findHeadEnd returns the index of the CRLF that ends the last header line.
func findHeadEnd(buf []byte) (int, error) {
	end := bytes.Index(buf[:min(len(buf), MaxHeadBytes)], []byte(headEnd))
	switch {
	case end >= 0:
		return end, nil
	case len(buf) >= MaxHeadBytes:
		return 0, &ParseError{Status: 431, Reason: "head too large"}
	case len(buf) > 0 && (buf[0] < 'A' || buf[0] > 'Z'):
		return 0, malformed("first byte is not an uppercase letter")
	}
	return 0, ErrIncomplete
}

// splitHead splits a head into lines. It refuses lines that contain CR, LF or NUL.
func splitHead(text string) ([]string, error) {
	lines := strings.Split(text, lineEnd)
	if len(lines) > MaxHeaders+1 {
		return nil, &ParseError{Status: 431, Reason: "too many headers"}
	}
	for _, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return nil, malformed("CR, LF or NUL within a header line")
		}
	}
	return lines, nil
}

// addLine parses one header line.
func (h *head) addLine(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return malformed("malformed header line")
	}
	return h.addHeader(strings.ToLower(name), strings.Trim(value, " \t"))
}

// addHeader parses one header. It ignores headers that this package does not use.
func (h *head) addHeader(name, value string) error {
	switch name {
	case "content-length":
		return h.setLength(value)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return malformed("unsupported transfer encoding")
		}
		h.chunked = true
	case "connection":
		h.addConnectionOptions(value)
	case "authorization":
		if h.authorization != "" {
			return malformed("repeated Authorization header")
		}
		h.authorization = value
	case "on-behalf-of":
		if h.onBehalfOf != "" {
			return malformed("repeated On-Behalf-Of header")
		}
		h.onBehalfOf = value
	case "retry-after":
		h.retryAfter, _ = strconv.Atoi(value)
	}
	return nil
}

// setLength parses Content-Length. A repeated header must have the same value.
func (h *head) setLength(value string) error {
	length, err := strconv.ParseUint(value, 10, sizeBits)
	if err != nil || value[0] == '+' || h.hasLength && int(length) != h.length {
		return malformed("invalid or conflicting Content-Length")
	}
	h.length, h.hasLength = int(length), true
	return nil
}

func (h *head) addConnectionOptions(value string) {
	for _, option := range strings.Split(value, ",") {
		if strings.EqualFold(strings.TrimSpace(option), "close") {
			h.close = true
		}
	}
}
