package blobstore

import (
	"os"
	"time"
)

const (
	// minRetryDelay is the minimum delay before a retry in a FullError.
	minRetryDelay = time.Second
	// borrowableShare is the fraction of the other spaces' unused quotas that a space may use
	// beyond its own quota. The rest stays free for the other spaces, since retained blobs
	// could not be evicted when those spaces need the bytes.
	borrowableShare = 0.75
)

// reserve reserves bytes for a space. To free bytes, it discards interrupted uploads first, then
// evicts blobs of spaces beyond their quotas, then the space's own blobs. It does not evict
// blobs of other spaces within their quotas. s.mu is held also while files are removed, since
// the same blob may be written again right afterwards.
func (s *Store) reserve(space string, bytes int64) error {
	now := time.Now()
	limit := s.limit(space, bytes)
	for path, upload := range s.interrupted {
		if s.used+bytes <= limit {
			break
		}
		s.discardInterrupted(path, upload)
	}
	soonest := s.evict(now, limit-bytes, s.beyondQuota)
	ownSoonest := s.evict(now, limit-bytes, func(e *entry) bool { return e.key.Space == space })
	if !ownSoonest.IsZero() && (soonest.IsZero() || ownSoonest.Before(soonest)) {
		soonest = ownSoonest
	}
	if s.used+bytes > limit {
		delay := minRetryDelay
		if !soonest.IsZero() {
			delay = max(delay, soonest.Sub(now))
		}
		return &FullError{delay}
	}
	s.account(space, bytes)
	return nil
}

// limit returns the maximum total size of the store's blobs once a space has added the given
// number of bytes.
func (s *Store) limit(space string, bytes int64) int64 {
	if s.bySpace[space]+bytes <= s.options.Quotas[space] {
		return s.options.MaxBytes
	}
	unused := int64(0)
	for other, quota := range s.options.Quotas {
		if other != space {
			unused += max(0, quota-s.bySpace[other])
		}
	}
	return s.options.MaxBytes - int64(float64(unused)*(1-borrowableShare))
}

// beyondQuota reports whether a blob's space would use its whole quota even without the blob.
// This holds for every blob of a space without a quota.
func (s *Store) beyondQuota(e *entry) bool {
	return s.bySpace[e.key.Space]-e.key.Size >= s.options.Quotas[e.key.Space]
}

// account adds bytes to the usage of a space and of the store; a negative number subtracts.
// s.mu is held.
func (s *Store) account(space string, bytes int64) {
	s.used += bytes
	s.bySpace[space] += bytes
}

// release frees the bytes reserved for a blob.
func (s *Store) release(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(key.Space, -key.Size)
}

// evict removes evictable blobs, least recently used first, until at most maxUsed bytes are
// used. It skips pinned and retained blobs, and returns the earliest end of retention of those
// that it skipped, or zero if none is retained. s.mu is held.
func (s *Store) evict(now time.Time, maxUsed int64, evictable func(*entry) bool) (soonest time.Time) {
	for element := s.order.Front(); element != nil && s.used > maxUsed; {
		e := element.Value.(*entry)
		element = element.Next()
		if e.pins > 0 || !evictable(e) {
			continue
		}
		if e.retainedUntil.After(now) {
			if soonest.IsZero() || e.retainedUntil.Before(soonest) {
				soonest = e.retainedUntil
			}
			continue
		}
		s.removeEntry(e)
		s.evicted++
		_ = os.Remove(s.path(e.key)) // if the file remains, the next start finds it
	}
	return soonest
}
