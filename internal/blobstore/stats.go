package blobstore

import "time"

// Stats are the store's statistics, with sizes in bytes.
type Stats struct {
	Blobs                             int
	Bytes, MaxBytes, Evicted, Corrupt int64
	Spaces                            map[string]SpaceStats
}

// SpaceStats are the statistics of a space. Retained and pinned bytes can't be evicted at
// present.
type SpaceStats struct {
	Blobs                          int
	Bytes, Retained, Pinned, Quota int64
}

// Stats returns the store's statistics.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Blobs:    len(s.entries),
		Bytes:    s.used,
		MaxBytes: s.options.MaxBytes,
		Evicted:  s.evicted,
		Corrupt:  s.corrupt,
		Spaces:   map[string]SpaceStats{},
	}
	for name, quota := range s.options.Quotas {
		stats.Spaces[name] = SpaceStats{Quota: quota}
	}
	now := time.Now()
	for key, e := range s.entries {
		space := stats.Spaces[key.Space]
		space.Blobs++
		space.Bytes += key.Size
		if e.retainedUntil.After(now) {
			space.Retained += key.Size
		}
		if e.pins > 0 {
			space.Pinned += key.Size
		}
		stats.Spaces[key.Space] = space
	}
	return stats
}
