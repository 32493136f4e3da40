// Package blobstore is a content-addressed store of blobs on disk with a maximum size. Blobs
// belong to spaces, which are isolated namespaces. A blob is stored completely or not at all.
// The least recently used blobs are evicted first, but not while they are pinned or retained.
// The package also stores small records, the action results. It does not depend on a protocol.
package blobstore

import (
	"container/list"
	"encoding/hex"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Key identifies a blob in a space.
type Key struct {
	Space string
	Digest
}

// Options bound a store.
type Options struct {
	// MaxBytes is the maximum total size of blobs and uploads, and MaxBlob the maximum size of
	// one blob.
	MaxBytes int64
	MaxBlob  int64
	// Quotas are the bytes guaranteed to spaces: blobs within the quota of their space are not
	// evicted for other spaces. A space may use more than its quota while the store has free
	// space. A space that is not listed has a quota of zero.
	Quotas map[string]int64
	// Retention is the time for which a blob is not evicted after the store has reported it
	// to a caller as stored.
	Retention time.Duration
}

// OpenStats reports what Open has found in the store's directory.
type OpenStats struct {
	Blobs int
	Bytes int64
	// Incomplete is the number of incomplete files that were removed, and Interrupted the
	// number of interrupted uploads that can be resumed.
	Incomplete, Interrupted int
}

// Store is a store of blobs. It is safe for concurrent use. Only one process can have its
// directory open.
type Store struct {
	dir     string
	options Options
	lock    *os.File

	mu          sync.Mutex
	entries     map[Key]*entry
	order       list.List // of *entry, least recently used first
	used        int64     // bytes of blobs, of interrupted uploads and reserved for uploads
	bySpace     map[string]int64
	interrupted map[string]interruptedUpload // by path, left by earlier processes
	evicted     int64
	corrupt     int64
}

// entry is a stored blob.
type entry struct {
	key           Key
	element       *list.Element // the entry's element of Store.order
	retainedUntil time.Time
	pins          int
	// verified is set once this process has checked the blob's bytes.
	verified bool
}

// Names of files and directories in the store's directory.
const (
	blobDir  = "blobs"
	tempDir  = "uploads"
	lockFile = "lock"
)

// Open opens the store in a directory, which is created if it does not exist. It removes files
// that a killed process left incomplete.
func Open(dir string, options Options) (*Store, OpenStats, error) {
	var found OpenStats
	if err := options.check(); err != nil {
		return nil, found, err
	}
	for _, d := range []string{filepath.Join(dir, blobDir), filepath.Join(dir, tempDir)} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, found, wrap(err)
		}
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, found, wrap(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, found, fmt.Errorf("content store: directory %s is in use by another process", dir)
	}
	s := &Store{
		dir:         dir,
		options:     options,
		lock:        lock,
		entries:     map[Key]*entry{},
		bySpace:     map[string]int64{},
		interrupted: map[string]interruptedUpload{},
	}
	if err := s.scan(&found); err != nil {
		_ = lock.Close()
		return nil, found, err
	}
	return s, found, nil
}

// check validates the options.
func (o Options) check() error {
	quotas := int64(0)
	for space, quota := range o.Quotas {
		if quotas += quota; quota < 0 || quotas > o.MaxBytes {
			return fmt.Errorf("%w: content store: quota of space %q is negative or the quotas exceed the store's size", ErrInvalid, space)
		}
	}
	if o.MaxBytes <= 0 || o.MaxBlob <= 0 || o.MaxBlob > o.MaxBytes || o.Retention < 0 {
		return fmt.Errorf("%w: content store: size limits must be positive, the blob limit at most the store's, and the retention not negative", ErrInvalid)
	}
	return nil
}

// Close releases the directory.
func (s *Store) Close() error { return s.lock.Close() }

// scan indexes the blobs in the directory, in order of modification time.
func (s *Store) scan(found *OpenStats) error {
	if err := s.scanUploads(found); err != nil {
		return wrap(err)
	}
	var files []storedFile
	err := filepath.WalkDir(filepath.Join(s.dir, blobDir), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err != nil {
			return err
		}
		key, ok := s.parsePath(path)
		if !ok || info.Size() != key.Size {
			found.Incomplete++
			return os.Remove(path)
		}
		files = append(files, storedFile{key, info.ModTime()})
		return nil
	})
	if err != nil {
		return wrap(err)
	}
	sortByTime(files)
	for _, file := range files {
		s.addEntry(file.key, false)
		s.bySpace[file.key.Space] += file.key.Size
		found.Blobs++
		found.Bytes += file.key.Size
	}
	s.used = found.Bytes
	return nil
}

// path returns the file of a blob: blobs/SPACE/HH/HASH-SIZE[-FUNCTION], with the space in hex
// and HH the first two digits of the hash.
func (s *Store) path(key Key) string {
	name := key.Hash + "-" + strconv.FormatInt(key.Size, 10)
	if key.Function != SHA256 {
		name += "-" + key.Function.String()
	}
	return filepath.Join(s.dir, blobDir, hex.EncodeToString([]byte(key.Space)), key.Hash[:2], name)
}

// parsePath returns the key of the blob in a file.
func (s *Store) parsePath(path string) (Key, bool) {
	relative, err := filepath.Rel(filepath.Join(s.dir, blobDir), path)
	parts := strings.Split(relative, string(filepath.Separator))
	if err != nil || len(parts) != 3 {
		return Key{}, false
	}
	space, spaceErr := hex.DecodeString(parts[0])
	hash, rest, _ := strings.Cut(parts[2], "-")
	digits, function, _ := strings.Cut(rest, "-")
	size, sizeErr := strconv.ParseInt(digits, 10, 64)
	key := Key{string(space), Digest{Hash: hash, Size: size}}
	key.Function, _ = FunctionNamed(function)
	return key, spaceErr == nil && sizeErr == nil && key.Check() == nil && s.path(key) == path
}

// addEntry adds a blob to the index as the most recently used. s.mu is held.
func (s *Store) addEntry(key Key, verified bool) *entry {
	e := &entry{key: key, verified: verified}
	e.element = s.order.PushBack(e)
	s.entries[key] = e
	return e
}

// removeEntry removes a blob from the index and frees its bytes. s.mu is held.
func (s *Store) removeEntry(e *entry) {
	s.order.Remove(e.element)
	delete(s.entries, e.key)
	s.account(e.key.Space, -e.key.Size)
}

// forget removes a blob from the index because its file is missing or corrupt.
func (s *Store) forget(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		s.removeEntry(e)
	}
}

// FindMissing returns the digests whose blobs are not in the store, and retains the blobs that
// are.
func (s *Store) FindMissing(space string, digests []Digest) []Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(s.options.Retention)
	var missing []Digest
	for _, digest := range digests {
		if digest.IsEmpty() {
			continue
		}
		e := s.entries[Key{space, digest}]
		if e == nil {
			missing = append(missing, digest)
			continue
		}
		e.retainedUntil = until
		s.order.MoveToBack(e.element)
	}
	return missing
}

// Has reports whether a blob is in the store, and retains it if so.
func (s *Store) Has(key Key) bool { return len(s.FindMissing(key.Space, []Digest{key.Digest})) == 0 }

// PeekMissing returns the digests whose blobs are not in the store. It retains no blobs.
func (s *Store) PeekMissing(space string, digests []Digest) []Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []Digest
	for _, digest := range digests {
		if !digest.IsEmpty() && s.entries[Key{space, digest}] == nil {
			missing = append(missing, digest)
		}
	}
	return missing
}

// Pin prevents the eviction of blobs until the returned function is called. If some blobs are
// missing, it returns their digests and pins none.
func (s *Store) Pin(space string, digests []Digest) (unpin func(), missing []Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pinned []*entry
	for _, digest := range digests {
		if digest.IsEmpty() {
			continue
		}
		if e := s.entries[Key{space, digest}]; e != nil {
			pinned = append(pinned, e)
		} else {
			missing = append(missing, digest)
		}
	}
	if len(missing) > 0 {
		return func() {}, missing
	}
	for _, e := range pinned {
		e.pins++
		s.order.MoveToBack(e.element)
	}
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range pinned {
			e.pins--
		}
	}), nil
}

// Keys returns the keys of all blobs in unspecified order.
func (s *Store) Keys() []Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]Key, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	return keys
}
