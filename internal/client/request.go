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
	// maxPause is the longest pause that a controller's Retry-After is followed for.
	maxPause = 30 * time.Second
	// maxResponseBytes is how much of a response is read.
	maxResponseBytes = 8 << 20
)

// roundBackoff is the pause after all controllers have failed: about a second, spread so that
// clients that failed together do not come back together.
var roundBackoff = retry.Backoff{First: time.Second, Max: 2 * time.Second}

// Do sends a request until there is a final answer, and decodes that into out unless out is nil. It
// returns a Refusal if the request is refused for good, and an error that wraps ErrUnanswered if
// Patience or ctx ends before.
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

// doUntilFinal sends a request to one controller after another until there is a final answer.
func (c *Client) doUntilFinal(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Patience)
	defer cancel()
	var last error
	failures := 0
	tries := retry.Tries{Backoff: roundBackoff, Who: rand.Text()}
	c.retries.Call()
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
		// Another controller may answer at once; only when all have failed is there a reason to
		// wait, or when so much fails that retries would multiply the load.
		if failures++; failures%len(c.Controllers) != 0 && pause == 0 && c.retries.Retry() {
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

// doOnce sends a request to the next controller. With an error it returns how long that controller
// asks to wait; 0: it does not say.
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
	defer response.Body.Close() //nolint:errcheck // read to its end or given up
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

// setHeaders says in which form the body is and who asks.
func (c *Client) setHeaders(header http.Header) {
	header.Set("Content-Type", "application/msgpack")
	if c.Token != "" {
		header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.OnBehalfOf != "" {
		header.Set("On-Behalf-Of", c.OnBehalfOf)
	}
}

// retryAfter is how long a response asks to wait, at most maxPause; 0: it does not say.
func retryAfter(header http.Header) time.Duration {
	seconds, _ := strconv.Atoi(header.Get("Retry-After"))
	return min(maxPause, time.Duration(seconds)*time.Second)
}
