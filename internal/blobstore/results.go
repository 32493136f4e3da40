package blobstore

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

func sortByTime[T any](v []T, at func(T) time.Time) {
	slices.SortStableFunc(v, func(a, b T) int { return at(a).Compare(at(b)) })
}

// Results keeps small records by digest, on disk, at most so many. Unlike a
// blob, a record is not what its name says, so each carries a checksum.
type Results struct {
	dir   string
	mu    sync.Mutex
	known *lru.Cache[Key, struct{}]
}

// OpenResults opens a folder of records; torn ones are removed.
func OpenResults(dir string, most int) (*Results, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("content: %w", err)
	}
	r := &Results{dir: dir}
	var err error
	if r.known, err = lru.NewWithEvict(most, func(k Key, _ struct{}) { _ = os.Remove(r.path(k)) }); err != nil {
		return nil, fmt.Errorf("content: %w", err)
	}
	type file struct {
		key Key
		at  time.Time
	}
	var files []file
	spaces, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("content: %w", err)
	}
	for _, sp := range spaces {
		space, err := hex.DecodeString(sp.Name())
		if err != nil || !sp.IsDir() {
			continue
		}
		records, err := os.ReadDir(filepath.Join(dir, sp.Name()))
		if err != nil {
			return nil, fmt.Errorf("content: %w", err)
		}
		for _, e := range records {
			k := Key{Space: string(space)}
			var function string
			k.Hash, function, _ = strings.Cut(e.Name(), "-")
			k.Function, _ = Named(function)
			info, err := e.Info()
			if err != nil || k.Check() != nil || r.path(k) != filepath.Join(dir, sp.Name(), e.Name()) {
				_ = os.Remove(filepath.Join(dir, sp.Name(), e.Name())) // a record half written
				continue
			}
			files = append(files, file{k, info.ModTime()})
		}
	}
	sortByTime(files, func(f file) time.Time { return f.at })
	for _, f := range files {
		r.known.Add(f.key, struct{}{})
	}
	return r, nil
}

func (r *Results) path(k Key) string {
	name := k.Hash
	if k.Function != SHA256 {
		name += "-" + k.Function.String()
	}
	return filepath.Join(r.dir, hex.EncodeToString([]byte(k.Space)), name)
}

// Keys are all records' keys.
func (r *Results) Keys() []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Keys()
}

// Has says whether there is a record.
func (r *Results) Has(space string, d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Contains(Key{space, Digest{Hash: d.Hash, Function: d.Function}})
}

// Get reads a record; one whose checksum does not fit is removed and not here.
func (r *Results) Get(space string, d Digest) ([]byte, error) {
	k := Key{space, Digest{Hash: d.Hash, Function: d.Function}}
	if err := k.Check(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.known.Get(k); !ok {
		return nil, ErrNotFound
	}
	data, err := os.ReadFile(r.path(k))
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(data) < sha256.Size {
		r.known.Remove(k)
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, fmt.Errorf("content: %w", err)
	}
	body, sum := data[sha256.Size:], [sha256.Size]byte(data[:sha256.Size])
	if sha256.Sum256(body) != sum {
		r.known.Remove(k)
		return nil, ErrNotFound
	}
	return body, nil
}

// Put writes a record in place of any other, on disk before it returns.
func (r *Results) Put(space string, d Digest, body []byte) error {
	k := Key{space, Digest{Hash: d.Hash, Function: d.Function}}
	if err := k.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	dir := filepath.Dir(r.path(k))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("content: %w", err)
	}
	temp := filepath.Join(dir, "."+rand.Text())
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("content: %w", err)
	}
	sum := sha256.Sum256(body)
	_, err = f.Write(append(sum[:], body...))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(temp)
		return fmt.Errorf("content: %w", err)
	}
	if err := os.Rename(temp, r.path(k)); err != nil {
		_ = os.Remove(temp)
		return fmt.Errorf("content: %w", err)
	}
	r.known.Add(k, struct{}{})
	return syncDir(dir)
}
