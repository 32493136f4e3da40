package blobstore

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"time"
)

// Upload is a blob that is being written. Its size stays reserved in the store until it is
// committed or aborted.
type Upload struct {
	store   *Store
	key     Key
	file    *os.File
	hasher  hash.Hash
	written int64
	closed  bool
}

// Create begins the upload of a blob and reserves its full size.
func (s *Store) Create(key Key) (*Upload, error) {
	if err := s.checkUpload(key); err != nil {
		return nil, err
	}
	s.mu.Lock()
	err := s.reserve(key.Space, key.Size)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(s.dir, tempDir, rand.Text()), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		s.release(key)
		return nil, wrap(err)
	}
	return &Upload{store: s, key: key, file: file, hasher: key.Function.New()}, nil
}

// checkUpload checks that the store accepts a blob with this digest.
func (s *Store) checkUpload(key Key) error {
	if err := key.Check(); err != nil {
		return err
	}
	if key.Size > s.options.MaxBlob {
		return fmt.Errorf("%w: %d bytes of at most %d", ErrTooLarge, key.Size, s.options.MaxBlob)
	}
	return nil
}

// Size returns the number of bytes written so far.
func (u *Upload) Size() int64 { return u.written }

// Write appends bytes. It fails if the upload would exceed the digest's size.
func (u *Upload) Write(data []byte) (int, error) {
	if u.written+int64(len(data)) > u.key.Size {
		return 0, fmt.Errorf("%w: more than %d bytes", ErrMismatch, u.key.Size)
	}
	n, err := u.file.Write(data)
	u.hasher.Write(data[:n])
	u.written += int64(n)
	if err != nil {
		return n, wrap(err)
	}
	return n, nil
}

// Abort discards the upload. It does nothing after a commit.
func (u *Upload) Abort() {
	if u.closed {
		return
	}
	u.closed = true
	_ = u.file.Close()
	_ = os.Remove(u.file.Name())
	u.store.release(u.key)
}

// Commit verifies the digest, stores the blob durably, makes it visible and retains it.
func (u *Upload) Commit() error {
	defer u.Abort()
	if u.written != u.key.Size || hex.EncodeToString(u.hasher.Sum(nil)) != u.key.Hash {
		return ErrMismatch
	}
	if err := u.file.Sync(); err != nil {
		return wrap(err)
	}
	if err := u.file.Close(); err != nil {
		return wrap(err)
	}
	path := u.store.path(u.key)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return wrap(err)
	}
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	retainedUntil := time.Now().Add(u.store.options.Retention)
	if e := u.store.entries[u.key]; e != nil { // a concurrent upload of the same blob was committed first
		e.retainedUntil = retainedUntil
		u.store.order.MoveToBack(e.element)
		u.closed = true
		u.store.account(u.key.Space, -u.key.Size)
		return os.Remove(u.file.Name())
	}
	if err := os.Rename(u.file.Name(), path); err != nil {
		return wrap(err)
	}
	u.closed = true
	u.store.addEntry(u.key, true).retainedUntil = retainedUntil
	return syncDir(filepath.Dir(path))
}

// syncDir writes the entries of a directory to disk.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return wrap(err)
	}
	defer d.Close() //nolint:errcheck // only read
	if err := d.Sync(); err != nil {
		return wrap(err)
	}
	return nil
}

// Put stores a blob whose bytes are all in memory.
func (s *Store) Put(key Key, data []byte) error {
	if key.IsEmpty() || s.Has(key) {
		if key.Function.Of(data) != key.Digest {
			return ErrMismatch
		}
		return nil
	}
	if key.Size != int64(len(data)) {
		return ErrMismatch
	}
	upload, err := s.Create(key)
	if err != nil {
		return err
	}
	defer upload.Abort()
	if _, err := upload.Write(data); err != nil {
		return err
	}
	return upload.Commit()
}
