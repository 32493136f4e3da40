package transport

import (
	"bytes"
	"strconv"
	"strings"
)

// head is what the headers of a message say.
type head struct {
	length        int
	hasLength     bool
	chunked       bool
	close         bool
	retryAfter    int
	authorization string
	onBehalfOf    string
}

// parseHead reads the first line and the headers of a message from the front of buf and
// reports how many bytes they took.
func parseHead(buf []byte) (start string, hd head, used int, err error) {
	end, err := findHeadEnd(buf)
	if err != nil {
		return "", head{}, 0, err
	}
	lines, err := splitHead(string(buf[:end]))
	if err != nil {
		return "", head{}, 0, err
	}
	for _, line := range lines[1:] {
		if err := hd.addLine(line); err != nil {
			return "", head{}, 0, err
		}
	}
	if hd.chunked && hd.hasLength {
		return "", head{}, 0, malformed("both a length and chunks")
	}
	return lines[0], hd, end + len(headEnd), nil
}

// findHeadEnd is where the empty line after the headers begins.
func findHeadEnd(buf []byte) (int, error) {
	end := bytes.Index(buf[:min(len(buf), MaxHead)], []byte(headEnd))
	switch {
	case end >= 0:
		return end, nil
	case len(buf) >= MaxHead:
		return 0, &ParseError{Status: 431, Reason: "head too large"}
	case len(buf) > 0 && (buf[0] < 'A' || buf[0] > 'Z'):
		return 0, malformed("bad first byte")
	}
	return 0, ErrIncomplete
}

// splitHead splits a head into its lines and checks that no control byte hides in one.
func splitHead(text string) ([]string, error) {
	lines := strings.Split(text, lineEnd)
	if len(lines) > MaxHeaders+1 {
		return nil, &ParseError{Status: 431, Reason: "too many headers"}
	}
	for _, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return nil, malformed("bare control byte in head")
		}
	}
	return lines, nil
}

// addLine reads one header line.
func (h *head) addLine(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return malformed("bad header line")
	}
	return h.addHeader(strings.ToLower(name), strings.Trim(value, " \t"))
}

// addHeader reads one header; those that are not known are ignored.
func (h *head) addHeader(name, value string) error {
	switch name {
	case "content-length":
		return h.setLength(value)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return malformed("unknown transfer encoding")
		}
		h.chunked = true
	case "connection":
		h.addConnectionOptions(value)
	case "authorization":
		if h.authorization != "" {
			return malformed("two credentials")
		}
		h.authorization = value
	case "on-behalf-of":
		if h.onBehalfOf != "" {
			return malformed("on behalf of two")
		}
		h.onBehalfOf = value
	case "retry-after":
		h.retryAfter, _ = strconv.Atoi(value)
	}
	return nil
}

// setLength reads the content length, which may be given twice only if it is the same.
func (h *head) setLength(value string) error {
	length, err := strconv.ParseUint(value, 10, sizeBits)
	if err != nil || value[0] == '+' || h.hasLength && int(length) != h.length {
		return malformed("bad content length")
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
