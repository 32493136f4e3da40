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

// controllers are as many servers, each answering as answer says; asked counts what
// came to them.
func controllers(t *testing.T, n int, asked *atomic.Int64, answer func(controller int, w http.ResponseWriter)) *Client {
	t.Helper()
	var addrs []string
	for i := range n {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			answer(i, w)
		}))
		t.Cleanup(s.Close)
		addrs = append(addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	return New(addrs, nil, "")
}

func TestAnotherControllerAnswersAtOnce(t *testing.T) {
	var asked atomic.Int64
	c := controllers(t, 3, &asked, func(i int, w http.ResponseWriter) {
		if i < 2 {
			w.WriteHeader(503)
		}
	})
	begun := time.Now()
	if err := c.Do(t.Context(), "GET", "/x", nil, nil); err != nil || asked.Load() != 3 || time.Since(begun) > 400*time.Millisecond {
		t.Errorf("%v after %d requests in %s", err, asked.Load(), time.Since(begun))
	}
}

func TestWhatIsRefusedForGoodIsNotAskedAgain(t *testing.T) {
	for _, status := range []int{400, 401, 403, 404, 409, 422} {
		var asked atomic.Int64
		c := controllers(t, 2, &asked, func(_ int, w http.ResponseWriter) { w.WriteHeader(status) })
		var r *Refusal
		if err := c.Do(t.Context(), "GET", "/x", nil, nil); !errors.As(err, &r) || r.Status != status || asked.Load() != 1 {
			t.Errorf("%d: %v after %d requests", status, err, asked.Load())
		}
	}
}

// Guards against a storm: when all controllers refuse, those who ask do not each ask
// all of them at once, and what one is told of when to come back is kept to.
func TestRetriesDoNotMultiplyAnOutage(t *testing.T) {
	const callers = 300
	var asked atomic.Int64
	c := controllers(t, 5, &asked, func(_ int, w http.ResponseWriter) { w.WriteHeader(503) })
	ctx, cancel := context.WithTimeout(t.Context(), 450*time.Millisecond) // before anybody's second round
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
	if most := int64(callers + 50 + callers/5); asked.Load() > most {
		t.Errorf("%d requests of %d callers, at most %d", asked.Load(), callers, most)
	}

	asked.Store(0)
	c = controllers(t, 2, &asked, func(_ int, w http.ResponseWriter) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(429)
	})
	ctx, cancel = context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	if err := c.Do(ctx, "GET", "/x", nil, nil); !errors.Is(err, ErrUnanswered) || asked.Load() != 1 {
		t.Errorf("%v after %d requests", err, asked.Load())
	}
}
