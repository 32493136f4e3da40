package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startControllers starts n servers that respond with answer, and returns a client for them. requests
// counts the requests that they receive.
func startControllers(t *testing.T, n int, requests *atomic.Int64, answer func(controller int, w http.ResponseWriter)) *Client {
	t.Helper()
	var addrs []string
	for i := range n {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			answer(i, w)
		}))
		t.Cleanup(s.Close)
		addrs = append(addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	return New(addrs, nil, "")
}

func TestFailedRequestsGoToAnotherControllerAtOnce(t *testing.T) {
	var requests atomic.Int64
	c := startControllers(t, 3, &requests, func(i int, w http.ResponseWriter) {
		if i < 2 {
			w.WriteHeader(503)
		}
	})
	start := time.Now()
	if err := c.Do(t.Context(), "GET", "/x", nil, nil); err != nil || requests.Load() != 3 || time.Since(start) > 400*time.Millisecond {
		t.Errorf("error %v after %d requests in %s, want success with 3 requests in 400ms", err, requests.Load(), time.Since(start))
	}
}

func TestFinalRefusalsAreNotRetried(t *testing.T) {
	for _, status := range []int{400, 401, 403, 404, 409, 422} {
		var requests atomic.Int64
		c := startControllers(t, 2, &requests, func(_ int, w http.ResponseWriter) { w.WriteHeader(status) })
		var r *Refusal
		if err := c.Do(t.Context(), "GET", "/x", nil, nil); !errors.As(err, &r) || r.Status != status || requests.Load() != 1 {
			t.Errorf("status %d: error %v after %d requests, want one refusal", status, err, requests.Load())
		}
	}
}

// Guards against retry storms: while all controllers refuse requests, the retry budget limits
// immediate retries, and a client waits for the time that Retry-After gives.
func TestRetriesDoNotMultiplyAnOutage(t *testing.T) {
	const callers = 300
	var requests atomic.Int64
	c := startControllers(t, 5, &requests, func(_ int, w http.ResponseWriter) { w.WriteHeader(503) })
	ctx, cancel := context.WithTimeout(t.Context(), 450*time.Millisecond) // shorter than the backoff after the first round
	defer cancel()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			if err := c.Do(ctx, "GET", "/x", nil, nil); !errors.Is(err, ErrUnanswered) {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if limit := int64(callers + 50 + callers/5); requests.Load() > limit {
		t.Errorf("%d requests from %d callers, want at most %d", requests.Load(), callers, limit)
	}

	requests.Store(0)
	c = startControllers(t, 2, &requests, func(_ int, w http.ResponseWriter) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(429)
	})
	ctx, cancel = context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	if err := c.Do(ctx, "GET", "/x", nil, nil); !errors.Is(err, ErrUnanswered) || requests.Load() != 1 {
		t.Errorf("with Retry-After: error %v after %d requests, want ErrUnanswered after 1", err, requests.Load())
	}
}
