package blobstore

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// storedFile is a file found in a store's directory.
type storedFile struct {
	key      Key
	modified time.Time
}

// sortByTime sorts files by modification time, oldest first.
func sortByTime(files []storedFile) {
	slices.SortStableFunc(files, func(a, b storedFile) int { return a.modified.Compare(b.modified) })
}

// Results stores small records by digest on disk, with a maximum number of records. A record's
// digest is that of an action and not of the record, so each file also has a checksum of the
// record. Results is safe for concurrent use.
type Results struct {
	dir  string
	mu   sync.Mutex
	keys *lru.Cache[Key, struct{}]
}

// OpenResults opens a directory of at most maxRecords records and removes incomplete ones.
func OpenResults(dir string, maxRecords int) (*Results, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, wrap(err)
	}
	r := &Results{dir: dir}
	var err error
	if r.keys, err = lru.NewWithEvict(maxRecords, func(key Key, _ struct{}) { _ = os.Remove(r.path(key)) }); err != nil {
		return nil, wrap(err)
	}
	files, err := r.scan()
	if err != nil {
		return nil, err
	}
	sortByTime(files)
	for _, file := range files {
		r.keys.Add(file.key, struct{}{})
	}
	return r, nil
}

// scan finds the records in the directory and removes incomplete ones.
func (r *Results) scan() ([]storedFile, error) {
	var files []storedFile
	spaces, err := os.ReadDir(r.dir)
	if err != nil {
		return nil, wrap(err)
	}
	for _, spaceDir := range spaces {
		space, err := hex.DecodeString(spaceDir.Name())
		if err != nil || !spaceDir.IsDir() {
			continue
		}
		records, err := os.ReadDir(filepath.Join(r.dir, spaceDir.Name()))
		if err != nil {
			return nil, wrap(err)
		}
		for _, record := range records {
			key := Key{Space: string(space)}
			var function string
			key.Hash, function, _ = strings.Cut(record.Name(), "-")
			key.Function, _ = FunctionNamed(function)
			path := filepath.Join(r.dir, spaceDir.Name(), record.Name())
			info, err := record.Info()
			if err != nil || key.Check() != nil || r.path(key) != path {
				_ = os.Remove(path)
				continue
			}
			files = append(files, storedFile{key, info.ModTime()})
		}
	}
	return files, nil
}

// path returns the file of a record: SPACE/HASH[-FUNCTION], with the space in hex.
func (r *Results) path(key Key) string {
	name := key.Hash
	if key.Function != SHA256 {
		name += "-" + key.Function.String()
	}
	return filepath.Join(r.dir, hex.EncodeToString([]byte(key.Space)), name)
}

// recordKey returns the key of a record, without the digest's size.
func recordKey(space string, digest Digest) Key {
	return Key{space, Digest{Hash: digest.Hash, Function: digest.Function}}
}

// Keys returns the keys of all records.
func (r *Results) Keys() []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Keys()
}

// Has reports whether there is a record with a digest.
func (r *Results) Has(space string, digest Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys.Contains(recordKey(space, digest))
}

// Get reads a record. If the record is corrupt, Get removes it and returns ErrNotFound.
func (r *Results) Get(space string, digest Digest) ([]byte, error) {
	key := recordKey(space, digest)
	if err := key.Check(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.keys.Get(key); !ok {
		return nil, ErrNotFound
	}
	data, err := os.ReadFile(r.path(key))
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(data) < sha256.Size {
		r.keys.Remove(key)
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, wrap(err)
	}
	body, checksum := data[sha256.Size:], [sha256.Size]byte(data[:sha256.Size])
	if sha256.Sum256(body) != checksum {
		r.keys.Remove(key)
		return nil, ErrNotFound
	}
	return body, nil
}

// Put stores a record durably, replacing an existing one.
func (r *Results) Put(space string, digest Digest, body []byte) error {
	key := recordKey(space, digest)
	if err := key.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	path := r.path(key)
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return wrap(err)
	}
	temp := filepath.Join(dir, "."+rand.Text())
	file, err := os.OpenFile(temp, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return wrap(err)
	}
	checksum := sha256.Sum256(body)
	_, err = file.Write(append(checksum[:], body...))
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		_ = os.Remove(temp)
		return wrap(err)
	}
	if err := os.Rename(temp, path); err != nil {
		_ = os.Remove(temp)
		return wrap(err)
	}
	r.keys.Add(key, struct{}{})
	return syncDir(dir)
}
