// Package blobstore keeps blobs on disk under their digests, bounded, for several
// spaces that do not see each other. A blob is there whole or not at all; what
// was promised or is in use is never evicted. It knows no protocol.
package blobstore

import (
	"container/list"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Key is a blob in a space.
type Key struct {
	Space string
	Digest
}

// What can go wrong.
var (
	ErrInvalid  = errors.New("not valid")
	ErrNotFound = errors.New("blob is not here")
	// ErrMismatch means that the bytes are not what the digest says.
	ErrMismatch = errors.New("bytes do not have this digest")
	ErrTooLarge = errors.New("blob is larger than the store takes")
)

// FullError means that there is no room: everything is in use or promised.
type FullError struct{ RetryAfter time.Duration }

func (e *FullError) Error() string {
	return fmt.Sprintf("the store is full of blobs that are in use or promised; come back in %s", e.RetryAfter.Round(time.Second))
}

// Options bound a store.
type Options struct {
	MaxBytes int64
	MaxBlob  int64
	// Quotas are what spaces have for sure: nobody else's blobs make them lose what
	// lies within. A space takes more while there is room; one that is not named
	// has no quota.
	Quotas map[string]int64
	// Promise is how long a blob stays that somebody was told is here.
	Promise time.Duration
}

// Opened says what was found in the store's folder.
type Opened struct {
	Blobs int
	Bytes int64
	// Torn counts files that were not whole and are gone, Kept uploads that may be
	// gone on with.
	Torn, Kept int
}

// Store is a content store. Several goroutines may use it; one process owns its
// folder.
type Store struct {
	dir  string
	opt  Options
	lock *os.File

	mu      sync.Mutex
	entries map[Key]*entry
	order   list.List // of *entry, the least recently used first
	used    int64     // bytes of blobs, and of uploads that may become ones
	bySpace map[string]int64
	kept    map[string]keptUpload // by path, of earlier processes
	evicted int64
	corrupt int64
}

type entry struct {
	key      Key
	at       *list.Element
	promised time.Time
	pins     int
	// verified: its bytes were checked since the process began.
	verified bool
}

const (
	blobDir = "blobs"
	tempDir = "uploads"
	// leastWait is the least that a full store tells to wait.
	leastWait = time.Second
)

// Open opens a store's folder, made if it is not there. What a kill has left
// half done is removed.
func Open(dir string, opt Options) (*Store, Opened, error) {
	var found Opened
	quotas := int64(0)
	for space, q := range opt.Quotas {
		if quotas += q; q < 0 || quotas > opt.MaxBytes {
			return nil, found, fmt.Errorf("%w: the quotas of the content store, at %q", ErrInvalid, space)
		}
	}
	if opt.MaxBytes <= 0 || opt.MaxBlob <= 0 || opt.MaxBlob > opt.MaxBytes || opt.Promise < 0 {
		return nil, found, fmt.Errorf("%w: bounds of the content store", ErrInvalid)
	}
	for _, d := range []string{filepath.Join(dir, blobDir), filepath.Join(dir, tempDir)} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, found, fmt.Errorf("content: %w", err)
		}
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, found, fmt.Errorf("content: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, found, fmt.Errorf("content: %s is in use by another process", dir)
	}
	s := &Store{dir: dir, opt: opt, lock: lock, entries: map[Key]*entry{}, bySpace: map[string]int64{}, kept: map[string]keptUpload{}}
	if err := s.scan(&found); err != nil {
		_ = lock.Close()
		return nil, found, err
	}
	return s, found, nil
}

// Close gives the folder up.
func (s *Store) Close() error { return s.lock.Close() }

// scan finds the blobs, oldest first.
func (s *Store) scan(found *Opened) error {
	if err := s.scanUploads(found); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	type file struct {
		key Key
		at  time.Time
	}
	var files []file
	err := filepath.WalkDir(filepath.Join(s.dir, blobDir), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err != nil {
			return err
		}
		key, ok := s.parse(path)
		if !ok || info.Size() != key.Size {
			found.Torn++
			return os.Remove(path)
		}
		files = append(files, file{key, info.ModTime()})
		return nil
	})
	if err != nil {
		return fmt.Errorf("content: %w", err)
	}
	sortByTime(files, func(f file) time.Time { return f.at })
	for _, f := range files {
		s.add(f.key, false)
		s.bySpace[f.key.Space] += f.key.Size
		found.Blobs++
		found.Bytes += f.key.Size
	}
	s.used = found.Bytes
	return nil
}

func (s *Store) path(k Key) string {
	name := k.Hash + "-" + strconv.FormatInt(k.Size, 10)
	if k.Function != SHA256 {
		name += "-" + k.Function.String()
	}
	return filepath.Join(s.dir, blobDir, hex.EncodeToString([]byte(k.Space)), k.Hash[:2], name)
}

func (s *Store) parse(path string) (Key, bool) {
	rel, err := filepath.Rel(filepath.Join(s.dir, blobDir), path)
	parts := strings.Split(rel, string(filepath.Separator))
	if err != nil || len(parts) != 3 {
		return Key{}, false
	}
	space, err := hex.DecodeString(parts[0])
	name, num, _ := strings.Cut(parts[2], "-")
	num, function, _ := strings.Cut(num, "-")
	size, serr := strconv.ParseInt(num, 10, 64)
	k := Key{string(space), Digest{Hash: name, Size: size}}
	k.Function, _ = Named(function)
	return k, err == nil && serr == nil && k.Check() == nil && s.path(k) == path
}

// add notes a blob as the most recently used; called with the lock held.
func (s *Store) add(k Key, verified bool) *entry {
	e := &entry{key: k, verified: verified}
	e.at = s.order.PushBack(e)
	s.entries[k] = e
	return e
}

// Missing says which blobs are not here. Those that are, stay for as long as
// the store promises.
func (s *Store) Missing(space string, digests []Digest) []Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(s.opt.Promise)
	var missing []Digest
	for _, d := range digests {
		if d.IsEmpty() {
			continue
		}
		e := s.entries[Key{space, d}]
		if e == nil {
			missing = append(missing, d)
			continue
		}
		e.promised = until
		s.order.MoveToBack(e.at)
	}
	return missing
}

// Pin keeps blobs until the returned function is called, or says which are
// missing and pins none.
func (s *Store) Pin(space string, digests []Digest) (unpin func(), missing []Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pinned []*entry
	for _, d := range digests {
		if d.IsEmpty() {
			continue
		}
		if e := s.entries[Key{space, d}]; e != nil {
			pinned = append(pinned, e)
		} else {
			missing = append(missing, d)
		}
	}
	if len(missing) > 0 {
		return func() {}, missing
	}
	for _, e := range pinned {
		e.pins++
		s.order.MoveToBack(e.at)
	}
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range pinned {
			e.pins--
		}
	}), nil
}

// reserve makes room for a space, called with the lock held: first of what other
// spaces have beyond their quotas, then of its own. What others have within theirs
// stays. Files go under the lock too: the same blob may come again at once.
func (s *Store) reserve(space string, n int64) error {
	now := time.Now()
	limit := s.limit(space, n)
	for path, left := range s.kept { // what may never be gone on with goes first
		if s.used+n <= limit {
			break
		}
		s.dropKept(path, left)
	}
	soonest := s.evict(now, limit-n, func(e *entry) bool { return s.beyond(e) })
	if own := s.evict(now, limit-n, func(e *entry) bool { return e.key.Space == space }); !own.IsZero() && (soonest.IsZero() || own.Before(soonest)) {
		soonest = own
	}
	if s.used+n > limit {
		wait := leastWait
		if !soonest.IsZero() {
			wait = max(wait, soonest.Sub(now))
		}
		return &FullError{wait}
	}
	s.take(space, n)
	return nil
}

// lent is the part of what others have not used of their quotas that a space
// beyond its own may take. The rest stays free for them, since what is promised
// can't be taken back.
const lent = 0.75

// limit is how full the store may be for a space to take more.
func (s *Store) limit(space string, n int64) int64 {
	if s.bySpace[space]+n <= s.opt.Quotas[space] {
		return s.opt.MaxBytes
	}
	unused := int64(0)
	for other, quota := range s.opt.Quotas {
		if other != space {
			unused += max(0, quota-s.bySpace[other])
		}
	}
	return s.opt.MaxBytes - int64(float64(unused)*(1-lent))
}

// beyond says whether a space has its quota without a blob. Without quotas, all is
// beyond.
func (s *Store) beyond(e *entry) bool {
	return s.bySpace[e.key.Space]-e.key.Size >= s.opt.Quotas[e.key.Space]
}

// take notes room that is taken, or given back if n is below 0.
func (s *Store) take(space string, n int64) {
	s.used += n
	s.bySpace[space] += n
}

// evict removes the least recently used blobs that may go until no more than so
// much is used, and says when the first promise of such a one ends.
func (s *Store) evict(now time.Time, most int64, may func(*entry) bool) (soonest time.Time) {
	for at := s.order.Front(); at != nil && s.used > most; {
		e := at.Value.(*entry)
		at = at.Next()
		if e.pins > 0 || !may(e) {
			continue
		}
		if e.promised.After(now) {
			if soonest.IsZero() || e.promised.Before(soonest) {
				soonest = e.promised
			}
			continue
		}
		s.order.Remove(e.at)
		delete(s.entries, e.key)
		s.take(e.key.Space, -e.key.Size)
		s.evicted++
		_ = os.Remove(s.path(e.key)) // found again at the next start if it stays
	}
	return soonest
}

// Upload is a blob that is being written.
type Upload struct {
	s    *Store
	key  Key
	f    *os.File
	h    hash.Hash
	size int64
	done bool
}

// Create begins a blob. Room for all of it is taken at once.
func (s *Store) Create(k Key) (*Upload, error) {
	if err := s.takes(k); err != nil {
		return nil, err
	}
	s.mu.Lock()
	err := s.reserve(k.Space, k.Size)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(s.dir, tempDir, rand.Text()), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		s.release(k)
		return nil, fmt.Errorf("content: %w", err)
	}
	return &Upload{s: s, key: k, f: f, h: k.Function.New()}, nil
}

// takes says why the store takes no such blob.
func (s *Store) takes(k Key) error {
	if err := k.Check(); err != nil {
		return err
	}
	if k.Size > s.opt.MaxBlob {
		return fmt.Errorf("%w: %d bytes of at most %d", ErrTooLarge, k.Size, s.opt.MaxBlob)
	}
	return nil
}

func (s *Store) release(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(k.Space, -k.Size)
}

// Size is how much was written.
func (u *Upload) Size() int64 { return u.size }

// Write adds bytes; more than the digest's size are refused.
func (u *Upload) Write(p []byte) (int, error) {
	if u.size+int64(len(p)) > u.key.Size {
		return 0, fmt.Errorf("%w: more than %d bytes", ErrMismatch, u.key.Size)
	}
	n, err := u.f.Write(p)
	u.h.Write(p[:n])
	u.size += int64(n)
	if err != nil {
		return n, fmt.Errorf("content: %w", err)
	}
	return n, nil
}

// Abort drops the upload, unless it was committed.
func (u *Upload) Abort() {
	if u.done {
		return
	}
	u.done = true
	_ = u.f.Close()
	_ = os.Remove(u.f.Name())
	u.s.release(u.key)
}

// Commit checks the bytes and makes the blob visible, on disk before it returns.
func (u *Upload) Commit() error {
	defer u.Abort()
	if u.size != u.key.Size || hex.EncodeToString(u.h.Sum(nil)) != u.key.Hash {
		return ErrMismatch
	}
	if err := u.f.Sync(); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	if err := u.f.Close(); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	path := u.s.path(u.key)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	if e := u.s.entries[u.key]; e != nil { // somebody was faster with the same
		e.promised = time.Now().Add(u.s.opt.Promise)
		u.s.order.MoveToBack(e.at)
		u.done = true
		u.s.take(u.key.Space, -u.key.Size)
		return os.Remove(u.f.Name())
	}
	if err := os.Rename(u.f.Name(), path); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	u.done = true
	e := u.s.add(u.key, true)
	e.promised = time.Now().Add(u.s.opt.Promise)
	return syncDir(filepath.Dir(path))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("content: %w", err)
	}
	defer d.Close() //nolint:errcheck // only read
	if err := d.Sync(); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	return nil
}

// Put writes a whole blob.
func (s *Store) Put(k Key, data []byte) error {
	if k.IsEmpty() || s.has(k) {
		if k.Function.Of(data) != k.Digest {
			return ErrMismatch
		}
		return nil
	}
	if k.Size != int64(len(data)) {
		return ErrMismatch
	}
	u, err := s.Create(k)
	if err != nil {
		return err
	}
	defer u.Abort()
	if _, err := u.Write(data); err != nil {
		return err
	}
	return u.Commit()
}

func (s *Store) has(k Key) bool { return len(s.Missing(k.Space, []Digest{k.Digest})) == 0 }

// Has says whether a blob is here, and promises it if so.
func (s *Store) Has(k Key) bool { return s.has(k) }

// Reader reads a blob; it stays for as long as the reader is open.
type Reader struct {
	*io.SectionReader
	f     *os.File
	unpin func()
}

// Close ends the reading.
func (r *Reader) Close() error {
	r.unpin()
	if r.f == nil {
		return nil
	}
	return r.f.Close()
}

// Open opens a blob. The first time since the process began its bytes are
// checked; one that is not what it should be is removed and not here.
func (s *Store) Open(k Key) (*Reader, error) {
	if err := k.Check(); err != nil {
		return nil, err
	}
	if k.IsEmpty() {
		return &Reader{SectionReader: io.NewSectionReader(strings.NewReader(""), 0, 0), unpin: func() {}}, nil
	}
	unpin, missing := s.Pin(k.Space, []Digest{k.Digest})
	if len(missing) > 0 {
		return nil, ErrNotFound
	}
	f, err := os.Open(s.path(k))
	if err != nil {
		unpin()
		if errors.Is(err, fs.ErrNotExist) {
			s.forget(k)
			return nil, ErrNotFound
		}
		return nil, fmt.Errorf("content: %w", err)
	}
	r := &Reader{SectionReader: io.NewSectionReader(f, 0, k.Size), f: f, unpin: unpin}
	if err := s.verify(k, r); err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

func (s *Store) verify(k Key, r *Reader) error {
	s.mu.Lock()
	e := s.entries[k]
	checked := e == nil || e.verified
	s.mu.Unlock()
	if checked {
		return nil
	}
	if err := s.reread(k, r); err != nil {
		if errors.Is(err, ErrMismatch) {
			err = ErrNotFound
		}
		return err
	}
	if _, err := r.Seek(0, io.SeekStart); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	s.mu.Lock()
	e.verified = true
	s.mu.Unlock()
	return nil
}

// reread reads a blob's bytes; one that is not what it should be is removed. A disk
// that does not answer proves nothing about it.
func (s *Store) reread(k Key, r *Reader) error {
	h := k.Function.New()
	n, err := io.Copy(h, r.SectionReader)
	if err != nil && !errors.Is(err, syscall.EIO) {
		return fmt.Errorf("content: %w", err)
	}
	if err != nil || n != k.Size || hex.EncodeToString(h.Sum(nil)) != k.Hash {
		s.mu.Lock()
		s.corrupt++
		s.mu.Unlock()
		s.forget(k)
		_ = os.Remove(s.path(k))
		return ErrMismatch
	}
	return nil
}

// Keys are all blobs that are here, in no order.
func (s *Store) Keys() []Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Key, 0, len(s.entries))
	for k := range s.entries {
		out = append(out, k)
	}
	return out
}

// Verify reads a blob's bytes at rest, and changes nothing about when it goes. One
// that is not what it should be is removed, which ErrMismatch tells.
func (s *Store) Verify(k Key) error {
	s.mu.Lock()
	e := s.entries[k]
	if e != nil {
		e.pins++
	}
	s.mu.Unlock()
	if e == nil {
		return ErrNotFound
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.pins--
	}()
	f, err := os.Open(s.path(k))
	if errors.Is(err, fs.ErrNotExist) {
		s.forget(k)
		return ErrNotFound
	}
	if err != nil {
		return fmt.Errorf("content: %w", err)
	}
	r := &Reader{SectionReader: io.NewSectionReader(f, 0, k.Size+1), f: f, unpin: func() {}}
	defer r.Close() //nolint:errcheck // only read
	return s.reread(k, r)
}

// Lacks says which blobs are not here, without promising those that are.
func (s *Store) Lacks(space string, digests []Digest) []Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Digest
	for _, d := range digests {
		if !d.IsEmpty() && s.entries[Key{space, d}] == nil {
			out = append(out, d)
		}
	}
	return out
}

// forget takes a blob out of the books.
func (s *Store) forget(k Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[k]; e != nil {
		s.order.Remove(e.at)
		delete(s.entries, k)
		s.take(k.Space, -k.Size)
	}
}

// Read reads a whole blob of at most limit bytes.
func (s *Store) Read(k Key, limit int64) ([]byte, error) {
	if k.Size > limit {
		return nil, fmt.Errorf("%w: %d bytes of at most %d", ErrTooLarge, k.Size, limit)
	}
	r, err := s.Open(k)
	if err != nil {
		return nil, err
	}
	defer r.Close() //nolint:errcheck // only read
	return io.ReadAll(r)
}

// Stats says how the store stands.
type Stats struct {
	Blobs                             int
	Bytes, MaxBytes, Evicted, Corrupt int64
	Spaces                            map[string]SpaceStats
}

// SpaceStats says how a space stands: what it holds, what of it nobody may take
// away now, and its quota.
type SpaceStats struct {
	Blobs                          int
	Bytes, Promised, Pinned, Quota int64
}

// Stats says how the store stands.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{len(s.entries), s.used, s.opt.MaxBytes, s.evicted, s.corrupt, map[string]SpaceStats{}}
	for space, quota := range s.opt.Quotas {
		out.Spaces[space] = SpaceStats{Quota: quota}
	}
	now := time.Now()
	for k, e := range s.entries {
		sp := out.Spaces[k.Space]
		sp.Blobs++
		sp.Bytes += k.Size
		if e.promised.After(now) {
			sp.Promised += k.Size
		}
		if e.pins > 0 {
			sp.Pinned += k.Size
		}
		out.Spaces[k.Space] = sp
	}
	return out
}
