// Package client sends the requests of users and operators to the controllers
// of a cluster, as PROTOCOL lets users do: to any controller, again until it is
// answered or its time is over. It knows wire messages, and nothing of how the
// controllers decide.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/retry"
)

const (
	answerTime = 5 * time.Second
	longPause  = 30 * time.Second
	maxAnswer  = 8 << 20
)

// pauses are between rounds of tries: users come again about once a second, and
// those who failed together do not come back together.
var pauses = retry.Backoff{First: time.Second, Most: 2 * time.Second}

// Client speaks to a cluster; it may be used by several goroutines at a time.
type Client struct {
	// Controllers are addresses, HOST:PORT.
	Controllers []string
	// Token goes with every request, if there is one.
	Token string
	// OnBehalfOf names for whom a service asks; the controllers see that it may.
	OnBehalfOf string
	// Patience is how long a request is tried again.
	Patience time.Duration

	scheme string
	http   *http.Client
	next   atomic.Uint32
	// retries is shared by all that speak for this process.
	retries *retry.Budget
}

// New makes a client; without a TLS configuration it speaks in the clear.
func New(controllers []string, secure *tls.Config, token string) *Client {
	c := &Client{Controllers: controllers, Token: token, Patience: time.Minute, scheme: "http", retries: &retry.Budget{Part: 0.2, Most: 50}}
	transport := &http.Transport{TLSClientConfig: secure, MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second}
	if secure != nil {
		c.scheme = "https"
	}
	c.http = &http.Client{Transport: transport, Timeout: answerTime}
	return c
}

// At is the same client, speaking to one controller only.
func (c *Client) At(addr string) *Client {
	return &Client{Controllers: []string{addr}, Token: c.Token, OnBehalfOf: c.OnBehalfOf, Patience: c.Patience, scheme: c.scheme, http: c.http, retries: c.retries}
}

// With is the same client with somebody else's token.
func (c *Client) With(token string) *Client {
	return &Client{Controllers: c.Controllers, Token: token, Patience: c.Patience, scheme: c.scheme, http: c.http, retries: c.retries}
}

// For is the same client, asking for somebody with the process's own certificate.
func (c *Client) For(name string) *Client {
	return &Client{Controllers: c.Controllers, OnBehalfOf: name, Patience: c.Patience, scheme: c.scheme, http: c.http, retries: c.retries}
}

// Refusal is an answer that refuses.
type Refusal struct {
	Status int
	Reason string
}

func (r *Refusal) Error() string {
	text := map[int]string{400: "malformed", 401: "no good credential", 403: "not allowed", 404: "not found",
		409: "conflict", 422: "can never be done"}[r.Status]
	if text == "" {
		text = "status " + strconv.Itoa(r.Status)
	}
	if r.Reason == "" || r.Reason == text {
		return text
	}
	return text + ": " + r.Reason
}

// ErrUnanswered means that no controller gave an answer in time; what was asked
// may have been done.
var ErrUnanswered = errors.New("no controller answered")

// Do sends a request until it is answered for good, and decodes the answer into
// out unless that is nil.
func (c *Client) Do(ctx context.Context, method, target string, in, out any) error {
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Patience)
	defer cancel()
	var last error
	failures := 0
	tries := retry.Tries{Backoff: pauses, Who: rand.Text()}
	c.retries.Call()
	for {
		answer, pause, err := c.once(ctx, method, target, body)
		if err == nil {
			if out == nil {
				return nil
			}
			if err := protocol.Decode(answer, out); err != nil {
				return fmt.Errorf("%s %s: %w", method, target, err)
			}
			return nil
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && final(refusal.Status) {
			return err
		}
		if ctx.Err() == nil {
			last = err
		}
		// Another controller may answer at once; only when all have failed is
		// there a reason to wait, or when so much fails that it would be a flood.
		if failures++; failures%len(c.Controllers) != 0 && pause == 0 && c.retries.Retry() {
			continue
		}
		select {
		case <-ctx.Done():
			if last == nil {
				last = ctx.Err()
			}
			return fmt.Errorf("%w: %s %s: %w", ErrUnanswered, method, target, last)
		case <-time.After(max(pause, tries.Failed())):
		}
	}
}

func final(status int) bool {
	switch status {
	case 400, 401, 403, 404, 405, 409, 413, 422:
		return true
	}
	return false
}

// once asks the next controller.
func (c *Client) once(ctx context.Context, method, target string, body []byte) ([]byte, time.Duration, error) {
	addr := c.Controllers[int(c.next.Add(1)-1)%len(c.Controllers)]
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr+target, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &Refusal{Status: 400, Reason: err.Error()}
	}
	req.Header.Set("Content-Type", "application/msgpack")
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.OnBehalfOf != "" {
		req.Header.Set("On-Behalf-Of", c.OnBehalfOf)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, plain(err)
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end or given up
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, 0, plain(err)
	}
	if resp.StatusCode == 200 || resp.StatusCode == 201 {
		return answer, 0, nil
	}
	var p protocol.Problem
	_ = protocol.Decode(answer, &p)
	retry, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return nil, min(longPause, time.Duration(retry)*time.Second), &Refusal{Status: resp.StatusCode, Reason: p.Error}
}

// plain takes the address of the request, which may hold more than should be
// shown, out of an error.
func plain(err error) error {
	var ue *url.Error
	if errors.As(err, &ue) {
		return ue.Err
	}
	return err
}

// Submit submits a job until it is accepted.
func (c *Client) Submit(ctx context.Context, s *protocol.Submission) (protocol.JobStatus, error) {
	var st protocol.JobStatus
	err := c.Do(ctx, "POST", "/submissions", s, &st)
	return st, err
}

// Status asks for a job's state.
func (c *Client) Status(ctx context.Context, id string) (protocol.JobStatus, error) {
	var st protocol.JobStatus
	err := c.Do(ctx, "GET", "/submissions/"+url.PathEscape(id), nil, &st)
	return st, err
}

// Withdraw withdraws a job.
func (c *Client) Withdraw(ctx context.Context, id string) (protocol.JobStatus, error) {
	var st protocol.JobStatus
	err := c.Do(ctx, "POST", "/submissions/"+url.PathEscape(id)+"/withdraw", map[string]any{}, &st)
	return st, err
}

// SplitAddresses reads a list of addresses.
func SplitAddresses(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
