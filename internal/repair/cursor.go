package repair

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"micaspindle/internal/blobstore"
)

// cursor is the stored position of a pass: the last blob that was processed.
type cursor struct {
	Space string `json:"space"`
	Hash  string `json:"hash"`
	// Function is the digest function.
	Function blobstore.Function `json:"function,omitempty"`
	Size     int64              `json:"size"`
}

// compareKeys orders the blobs of a pass.
func compareKeys(a, b blobstore.Key) int {
	return cmp.Or(cmp.Compare(a.Space, b.Space), cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Function, b.Function))
}

// resumeIndex returns the index of the first blob that an interrupted pass has not processed.
func (r *Repairer) resumeIndex(keys []blobstore.Key) int {
	last, err := r.loadCursor()
	if err != nil {
		r.log.Warn("cannot load cursor, repair pass starts over", "error", err)
		return 0
	}
	if last == nil {
		return 0
	}
	index, found := slices.BinarySearchFunc(keys, *last, compareKeys)
	if found {
		index++
	}
	return index
}

// loadCursor returns the last blob that an interrupted pass has processed, nil if the last pass
// was completed.
func (r *Repairer) loadCursor() (*blobstore.Key, error) {
	raw, err := os.ReadFile(r.cursorFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var c cursor
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("%s: %w", r.cursorFile, err)
	}
	return &blobstore.Key{Space: c.Space, Digest: blobstore.Digest{Hash: c.Hash, Size: c.Size, Function: c.Function}}, nil
}

// saveCursor stores the last blob that was processed. The file is not synced: if a crash loses the
// write, part of the pass is repeated.
func (r *Repairer) saveCursor(last blobstore.Key) error {
	raw, err := json.Marshal(&cursor{Space: last.Space, Hash: last.Hash, Size: last.Size, Function: last.Function})
	if err != nil {
		return err
	}
	temp := filepath.Join(filepath.Dir(r.cursorFile), "."+filepath.Base(r.cursorFile))
	if err := os.WriteFile(temp, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(temp, r.cursorFile)
}

// removeCursor marks a pass as completed.
func (r *Repairer) removeCursor() error {
	if err := os.Remove(r.cursorFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
