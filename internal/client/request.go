package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/retry"
)

const (
	// maxRetryAfter is the longest pause that a Retry-After header can cause.
	maxRetryAfter = 30 * time.Second
	// maxResponseBytes is the size to which response bodies are truncated.
	maxResponseBytes = 8 << 20
)

// roundBackoff is the backoff after all controllers have failed. Its jitter keeps clients that failed
// together from retrying together.
var roundBackoff = retry.Backoff{First: time.Second, Max: 2 * time.Second}

// Do sends a request until there is a final response, which it decodes into out unless out is nil. It
// returns a *Refusal if the response is a final refusal, and an error that wraps ErrUnanswered if the
// client's time limit passes or ctx is done first.
func (c *Client) Do(ctx context.Context, method, target string, in, out any) error {
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	answer, err := c.doUntilFinal(ctx, method, target, body)
	if err != nil || out == nil {
		return err
	}
	if err := protocol.Decode(answer, out); err != nil {
		return fmt.Errorf("%s %s: %w", method, target, err)
	}
	return nil
}

// doUntilFinal sends a request to one controller after another until there is a final response.
func (c *Client) doUntilFinal(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.RetryTimeout)
	defer cancel()
	var last error
	failures := 0
	tries := retry.FailureCounter{Backoff: roundBackoff, JitterKey: rand.Text()}
	c.retryBudget.Call()
	for {
		answer, pause, err := c.doOnce(ctx, method, target, body)
		if err == nil {
			return answer, nil
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && isFinal(refusal.Status) {
			return nil, err
		}
		if ctx.Err() == nil {
			last = err
		}
		// The next controller is tried at once, unless all have failed in this round, the
		// controller has sent Retry-After, or the retry budget is used up.
		if failures++; failures%len(c.Controllers) != 0 && pause == 0 && c.retryBudget.Retry() {
			continue
		}
		select {
		case <-ctx.Done():
			if last == nil {
				last = ctx.Err()
			}
			return nil, fmt.Errorf("%w: %s %s: %w", ErrUnanswered, method, target, last)
		case <-time.After(max(pause, tries.Failed())):
		}
	}
}

// doOnce sends a request to the next controller. With an error it also returns the pause of the
// Retry-After header; 0 means no header.
func (c *Client) doOnce(ctx context.Context, method, target string, body []byte) (answer []byte, pause time.Duration, err error) {
	addr := c.Controllers[int(c.next.Add(1)-1)%len(c.Controllers)]
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr+target, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &Refusal{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	c.setHeaders(request.Header)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, withoutURL(err)
	}
	defer response.Body.Close() //nolint:errcheck // nothing is read after this
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, withoutURL(err)
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusCreated {
		return answer, 0, nil
	}
	var problem protocol.Problem
	_ = protocol.Decode(answer, &problem)
	return nil, retryAfter(response.Header), &Refusal{Status: response.StatusCode, Reason: problem.Error}
}

// setHeaders sets the content type and the credentials.
func (c *Client) setHeaders(header http.Header) {
	header.Set("Content-Type", "application/msgpack")
	if c.Token != "" {
		header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.OnBehalfOf != "" {
		header.Set("On-Behalf-Of", c.OnBehalfOf)
	}
}

// retryAfter returns the pause of the Retry-After header, at most maxRetryAfter; 0 means no header.
func retryAfter(header http.Header) time.Duration {
	seconds, _ := strconv.Atoi(header.Get("Retry-After"))
	return min(maxRetryAfter, time.Duration(seconds)*time.Second)
}
