package blobstore

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// An upload with a name can be gone on with after the process has ended: its bytes
// so far lie under that name until it is finished, given up, or too old. Nothing
// is believed of them before the whole blob has its digest.

// keptPrefix begins the files of uploads with names.
const keptPrefix = "kept-"

// keptUpload is what an earlier process has left of an upload. Whose space it was
// is known again once somebody goes on with it.
type keptUpload struct {
	size int64
	last time.Time
}

func (s *Store) keptPath(name string) string {
	sum := sha256.Sum256([]byte(name))
	return filepath.Join(s.dir, tempDir, keptPrefix+hex.EncodeToString(sum[:]))
}

// Resume begins a blob's upload under a name, or goes on with it where an earlier
// process, or an earlier try, has left it: Size tells where. One name has one
// upload at a time, which is for the caller to see to.
func (s *Store) Resume(name string, k Key) (*Upload, error) {
	if err := s.takes(k); err != nil {
		return nil, err
	}
	return s.resume(name, k)
}

func (s *Store) resume(name string, k Key) (*Upload, error) {
	path := s.keptPath(name)
	s.mu.Lock()
	err := s.reserve(k.Space, k.Size)
	if left, ok := s.kept[path]; ok && err == nil {
		s.used -= left.size
		delete(s.kept, path)
	}
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	u := &Upload{s: s, key: k, h: k.Function.New()}
	if err := u.reopen(path); err != nil {
		s.release(k)
		return nil, fmt.Errorf("content: %w", err)
	}
	return u, nil
}

// reopen takes up what a file holds; more than there can be is nothing.
func (u *Upload) reopen(path string) (err error) {
	if u.f, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = u.f.Close()
		}
	}()
	if u.size, err = io.Copy(u.h, u.f); err != nil {
		return err
	}
	if u.size > u.key.Size {
		u.h.Reset()
		u.size = 0
		if err := u.f.Truncate(0); err != nil {
			return err
		}
	}
	_, err = u.f.Seek(u.size, io.SeekStart)
	return err
}

// Spool is an upload whose bytes are not the blob's own, since they come
// compressed.
type Spool struct{ u *Upload }

// Spool begins a spool of at most so many bytes under a name, or goes on with it.
func (s *Store) Spool(name, space string, most int64) (*Spool, error) {
	u, err := s.resume(name, Key{Space: space, Digest: Digest{Size: most}})
	if err != nil {
		return nil, err
	}
	return &Spool{u}, nil
}

// Write adds bytes; more than the spool's most are refused.
func (s *Spool) Write(p []byte) (int, error) { return s.u.Write(p) }

// Size is how much was written.
func (s *Spool) Size() int64 { return s.u.size }

// Reader reads all that was written.
func (s *Spool) Reader() io.Reader { return io.NewSectionReader(s.u.f, 0, s.u.size) }

// Drop ends the spool.
func (s *Spool) Drop() { s.u.Abort() }

// Begun says how much of an upload with this name lies here.
func (s *Store) Begun(name string) int64 {
	info, err := os.Stat(s.keptPath(name))
	if err != nil {
		return 0
	}
	return info.Size()
}

// ReadBegun reads what lies here of an upload with this name, from an offset on.
func (s *Store) ReadBegun(name string, offset int64) (io.ReadCloser, error) {
	f, err := os.Open(s.keptPath(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, fmt.Errorf("content: %w", err)
	}
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("content: %w", err)
	}
	return f, nil
}

// Expire drops what earlier processes have left of uploads that nobody has gone on
// with since.
func (s *Store) Expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for path, left := range s.kept {
		if left.last.Before(before) {
			s.dropKept(path, left)
		}
	}
}

func (s *Store) dropKept(path string, left keptUpload) {
	s.used -= left.size
	delete(s.kept, path)
	_ = os.Remove(path) // found again at the next start if it stays
}

// scanUploads finds what was being written: what has a name stays for whoever goes
// on with it, the rest goes.
func (s *Store) scanUploads(found *Opened) error {
	temps, err := os.ReadDir(filepath.Join(s.dir, tempDir))
	if err != nil {
		return err
	}
	for _, t := range temps {
		path := filepath.Join(s.dir, tempDir, t.Name())
		info, err := t.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed by the end of what wrote it
		}
		if err != nil {
			return err
		}
		if strings.HasPrefix(t.Name(), keptPrefix) && info.Mode().IsRegular() && info.Size() > 0 {
			s.kept[path] = keptUpload{info.Size(), info.ModTime()}
			found.Kept++
			found.Bytes += info.Size()
			continue
		}
		found.Torn++
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}
