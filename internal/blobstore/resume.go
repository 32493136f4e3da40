package blobstore

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// A named upload can be resumed after a restart of the process: its bytes stay in a file, named
// by the hash of the upload's name, until the upload is committed, aborted or expired. The bytes
// are verified only when the upload is committed.

// namedPrefix is the prefix of the file names of named uploads.
const namedPrefix = "kept-"

// interruptedUpload is the file of a named upload from an earlier process. The upload's space is
// unknown until it is resumed.
type interruptedUpload struct {
	size     int64
	modified time.Time
}

// namedPath returns the file of a named upload.
func (s *Store) namedPath(name string) string {
	sum := sha256.Sum256([]byte(name))
	return filepath.Join(s.dir, tempDir, namedPrefix+hex.EncodeToString(sum[:]))
}

// Resume begins a named upload, or resumes it after the bytes that were received earlier; Size
// returns their number. The caller must not use the same name for two uploads at a time.
func (s *Store) Resume(name string, key Key) (*Upload, error) {
	if err := s.checkUpload(key); err != nil {
		return nil, err
	}
	return s.resume(name, key)
}

// resume does the same as Resume, but does not check the digest.
func (s *Store) resume(name string, key Key) (*Upload, error) {
	path := s.namedPath(name)
	s.mu.Lock()
	err := s.reserve(key.Space, key.Size)
	if interrupted, ok := s.interrupted[path]; ok && err == nil {
		s.used -= interrupted.size
		delete(s.interrupted, path)
	}
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	upload := &Upload{store: s, key: key, hasher: key.Function.New()}
	if err := upload.reopen(path); err != nil {
		s.release(key)
		return nil, wrap(err)
	}
	return upload, nil
}

// reopen opens the upload's file and hashes its bytes. If the file is larger than the blob, the
// upload starts from the beginning.
func (u *Upload) reopen(path string) (err error) {
	if u.file, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = u.file.Close()
		}
	}()
	if u.written, err = io.Copy(u.hasher, u.file); err != nil {
		return err
	}
	if u.written > u.key.Size {
		u.hasher.Reset()
		u.written = 0
		if err := u.file.Truncate(0); err != nil {
			return err
		}
	}
	_, err = u.file.Seek(u.written, io.SeekStart)
	return err
}

// Spool is a named upload of a blob's compressed bytes, which do not match the blob's digest.
type Spool struct{ upload *Upload }

// Spool begins or resumes a spool of at most maxBytes bytes.
func (s *Store) Spool(name, space string, maxBytes int64) (*Spool, error) {
	upload, err := s.resume(name, Key{Space: space, Digest: Digest{Size: maxBytes}})
	if err != nil {
		return nil, err
	}
	return &Spool{upload}, nil
}

// Write appends bytes. It fails if the spool would exceed its maximum size.
func (s *Spool) Write(p []byte) (int, error) { return s.upload.Write(p) }

// Size returns the number of bytes written so far.
func (s *Spool) Size() int64 { return s.upload.written }

// Reader returns a reader of all bytes written so far.
func (s *Spool) Reader() io.Reader { return io.NewSectionReader(s.upload.file, 0, s.upload.written) }

// Abort discards the spool.
func (s *Spool) Abort() { s.upload.Abort() }

// ReceivedBytes returns the number of stored bytes of a named upload.
func (s *Store) ReceivedBytes(name string) int64 {
	info, err := os.Stat(s.namedPath(name))
	if err != nil {
		return 0
	}
	return info.Size()
}

// OpenReceived opens the stored bytes of a named upload for reading from an offset.
func (s *Store) OpenReceived(name string, offset int64) (io.ReadCloser, error) {
	file, err := os.Open(s.namedPath(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, wrap(err)
	}
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		_ = file.Close()
		return nil, wrap(err)
	}
	return file, nil
}

// ExpireUploads discards interrupted uploads of earlier processes that were last modified before a
// time.
func (s *Store) ExpireUploads(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for path, upload := range s.interrupted {
		if upload.modified.Before(before) {
			s.discardInterrupted(path, upload)
		}
	}
}

// discardInterrupted removes an interrupted upload. s.mu is held.
func (s *Store) discardInterrupted(path string, upload interruptedUpload) {
	s.used -= upload.size
	delete(s.interrupted, path)
	_ = os.Remove(path) // if the file remains, the next start finds it
}

// scanUploads finds the files of unfinished uploads. It adds named uploads to the interrupted
// ones, which can be resumed, and removes the other files.
func (s *Store) scanUploads(found *OpenStats) error {
	files, err := os.ReadDir(filepath.Join(s.dir, tempDir))
	if err != nil {
		return err
	}
	for _, file := range files {
		path := filepath.Join(s.dir, tempDir, file.Name())
		info, err := file.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed after the directory was read
		}
		if err != nil {
			return err
		}
		if strings.HasPrefix(file.Name(), namedPrefix) && info.Mode().IsRegular() && info.Size() > 0 {
			s.interrupted[path] = interruptedUpload{info.Size(), info.ModTime()}
			found.Interrupted++
			found.Bytes += info.Size()
			continue
		}
		found.Incomplete++
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}
