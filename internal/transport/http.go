// Package transport is an HTTP/1.1 server and client over gnet event loops, with its own HTTP
// parser.
package transport

import (
	"cmp"
	"crypto/x509"
	"strconv"
)

// Request is one parsed HTTP request.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	// Close is true if the client requests that the connection be closed after the response.
	Close bool
	// Authorization is the value of the Authorization header. It is secret.
	Authorization string
	// OnBehalfOf is the user for whom a service sends the request.
	OnBehalfOf string
	// Peer is the certificate that the client presented and whose private key it has proven to
	// hold; nil if there is none. From is the client's address.
	Peer       *x509.Certificate
	RemoteAddr string
}

// Response is one HTTP response.
type Response struct {
	Status int
	Body   []byte
	// RetryAfter is the value of the Retry-After header, in seconds; 0 means no header.
	RetryAfter int
	// Close is true if the connection is to be closed after the response.
	Close bool
	// ContentType is the content type of the body; empty means MessagePack.
	ContentType string
}

// reasonPhrases maps status codes to the reason phrases of status lines.
var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// appendResponse appends an encoded response to dst.
func appendResponse(dst []byte, response Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(response.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[response.Status]...)
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, cmp.Or(response.ContentType, "application/msgpack")...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(response.Body)), 10)
	if response.RetryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(response.RetryAfter), 10)
	}
	if response.Status == 401 {
		dst = append(dst, "\r\nWWW-Authenticate: Bearer"...)
	}
	if response.Close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, response.Body...)
}

// appendRequest appends an encoded request to dst.
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
