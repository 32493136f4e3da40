package blobstore

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
	"syscall"
)

// Reader reads a blob, which is pinned until the reader is closed.
type Reader struct {
	*io.SectionReader
	file  *os.File // nil for the empty blob
	unpin func()
}

// Close closes the file and unpins the blob.
func (r *Reader) Close() error {
	r.unpin()
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// Open opens a blob. Unless this process has verified the blob's bytes before, Open verifies
// them; if they are corrupt, it removes the blob and returns ErrNotFound.
func (s *Store) Open(key Key) (*Reader, error) {
	if err := key.Check(); err != nil {
		return nil, err
	}
	if key.IsEmpty() {
		return &Reader{SectionReader: io.NewSectionReader(strings.NewReader(""), 0, 0), unpin: func() {}}, nil
	}
	unpin, missing := s.Pin(key.Space, []Digest{key.Digest})
	if len(missing) > 0 {
		return nil, ErrNotFound
	}
	file, err := s.openFile(key)
	if err != nil {
		unpin()
		return nil, err
	}
	r := &Reader{SectionReader: io.NewSectionReader(file, 0, key.Size), file: file, unpin: unpin}
	if err := s.verifyOnce(key, r); err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

// openFile opens the file of a blob. If the file is missing, it removes the blob from the index.
func (s *Store) openFile(key Key) (*os.File, error) {
	file, err := os.Open(s.path(key))
	if errors.Is(err, fs.ErrNotExist) {
		s.forget(key)
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, wrap(err)
	}
	return file, nil
}

// verifyOnce verifies a blob's bytes if this process has not done so yet.
func (s *Store) verifyOnce(key Key, r *Reader) error {
	s.mu.Lock()
	e := s.entries[key]
	done := e == nil || e.verified
	s.mu.Unlock()
	if done {
		return nil
	}
	if err := s.checkBytes(key, r); err != nil {
		if errors.Is(err, ErrMismatch) {
			err = ErrNotFound
		}
		return err
	}
	if _, err := r.Seek(0, io.SeekStart); err != nil {
		return wrap(err)
	}
	s.mu.Lock()
	e.verified = true
	s.mu.Unlock()
	return nil
}

// checkBytes reads a blob and verifies its digest. It removes the blob if it is corrupt or can't
// be read because of an I/O error of the disk. Other read errors do not mean that the blob is
// corrupt.
func (s *Store) checkBytes(key Key, r *Reader) error {
	hasher := key.Function.New()
	n, err := io.Copy(hasher, r.SectionReader)
	if err != nil && !errors.Is(err, syscall.EIO) {
		return wrap(err)
	}
	if err == nil && n == key.Size && hex.EncodeToString(hasher.Sum(nil)) == key.Hash {
		return nil
	}
	s.mu.Lock()
	s.corrupt++
	s.mu.Unlock()
	s.forget(key)
	_ = os.Remove(s.path(key))
	return ErrMismatch
}

// Verify reads a blob from disk and verifies its digest, without counting as a use of the blob.
// If the blob is corrupt, Verify removes it and returns ErrMismatch.
func (s *Store) Verify(key Key) error {
	s.mu.Lock()
	e := s.entries[key]
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
	file, err := s.openFile(key)
	if err != nil {
		return err
	}
	// Reads one byte more than the blob's size, since a file that is too long is corrupt too.
	r := &Reader{SectionReader: io.NewSectionReader(file, 0, key.Size+1), file: file, unpin: func() {}}
	defer r.Close() //nolint:errcheck // only read
	return s.checkBytes(key, r)
}

// Read reads a whole blob of at most limit bytes.
func (s *Store) Read(key Key, limit int64) ([]byte, error) {
	if key.Size > limit {
		return nil, fmt.Errorf("%w: %d bytes of at most %d", ErrTooLarge, key.Size, limit)
	}
	r, err := s.Open(key)
	if err != nil {
		return nil, err
	}
	defer r.Close() //nolint:errcheck // only read
	return io.ReadAll(r)
}
