package blobstore

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

func open(t *testing.T, dir string, options Options) (*Store, OpenStats) {
	t.Helper()
	s, found, err := Open(dir, options)
	if err != nil {
		t.Fatal(err)
	}
	return s, found
}

func blob(seed, size int) []byte {
	rng := rand.New(rand.NewPCG(uint64(seed), 1))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

func put(t *testing.T, s *Store, space string, data []byte) Key {
	t.Helper()
	key := Key{space, Of(data)}
	if err := s.Put(key, data); err != nil {
		t.Fatal(err)
	}
	return key
}

// Blobs are visible in their own space only, and bytes that do not match their digest, malformed
// digests and blobs that are too large must be rejected.
func TestDigestsAreVerified(t *testing.T) {
	s, _ := open(t, t.TempDir(), Options{MaxBytes: 1 << 20, MaxBlob: 1 << 16, Retention: time.Minute})
	data := blob(1, 5000)
	key := put(t, s, "red", data)
	if got, err := s.Read(key, 1<<16); err != nil || !bytes.Equal(got, data) {
		t.Errorf("read %d bytes with error %v, want the %d bytes that were stored", len(got), err, len(data))
	}
	// The blob must not be visible in another space.
	if _, err := s.Read(Key{"blue", key.Digest}, 1<<16); !errors.Is(err, ErrNotFound) {
		t.Errorf("read in another space: got error %v, want ErrNotFound", err)
	}
	if m := s.FindMissing("blue", []Digest{key.Digest, Empty}); len(m) != 1 {
		t.Errorf("missing blobs in another space: got %v, want only the digest of the stored blob", m)
	}
	for name, err := range map[string]error{
		"other bytes of a stored blob": s.Put(Key{"red", key.Digest}, blob(2, 5000)),
		"other bytes of a new blob":    s.Put(Key{"red", Of([]byte("x"))}, []byte("y")),
		"too few bytes":                s.Put(Key{"red", Of(blob(3, 10))}, blob(3, 9)),
		"bytes of the empty blob":      s.Put(Key{"red", Empty}, []byte("x")),
		"too many bytes":               s.Put(Key{"red", Of(blob(4, 10))}, append(blob(4, 10), 1)),
	} {
		if !errors.Is(err, ErrMismatch) {
			t.Errorf("%s: got error %v, want ErrMismatch", name, err)
		}
	}
	for _, d := range []Digest{{Hash: "x", Size: 1}, {Hash: key.Hash, Size: -1}, {Hash: strings.ToUpper(key.Hash), Size: key.Size}, {Hash: "../../../../etc/passwd" + key.Hash[22:], Size: 4}, {}, {Hash: key.Hash, Size: key.Size, Function: 7}} {
		if _, err := s.Create(Key{"red", d}); !errors.Is(err, ErrInvalid) {
			t.Errorf("Create(%v): got error %v, want ErrInvalid", d, err)
		}
		if _, err := s.Open(Key{"red", d}); !errors.Is(err, ErrInvalid) {
			t.Errorf("Open(%v): got error %v, want ErrInvalid", d, err)
		}
	}
	if _, err := s.Create(Key{"red", Digest{Hash: key.Hash, Size: 1<<16 + 1}}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("blob that is too large: got error %v, want ErrTooLarge", err)
	}
	if st := s.Stats(); st.Bytes != 5000 || st.Blobs != 1 {
		t.Errorf("statistics %+v, want 1 blob of 5000 bytes and nothing reserved by failed uploads", st)
	}
	// The files of a space whose name looks like a path must stay in the directory.
	put(t, s, "../../out", data)
}

// Retained, pinned and open blobs must not be evicted. Other blobs are evicted when the store is
// full, also after their retention has ended.
func TestEviction(t *testing.T) {
	s, _ := open(t, t.TempDir(), Options{MaxBytes: 10_000, MaxBlob: 10_000, Retention: 300 * time.Millisecond})
	old, pinned, read := put(t, s, "a", blob(1, 3000)), put(t, s, "a", blob(2, 3000)), put(t, s, "a", blob(3, 3000))
	var full *FullError
	if err := s.Put(Key{"a", Of(blob(4, 3000))}, blob(4, 3000)); !errors.As(err, &full) || full.RetryAfter < time.Second {
		t.Fatalf("Put in a store full of retained blobs: got error %v, want a FullError with a delay of a second or more", err)
	}
	unpin, missing := s.Pin("a", []Digest{pinned.Digest})
	if len(missing) > 0 {
		t.Fatalf("Pin: got missing digests %v, want none", missing)
	}
	r, err := s.Open(read)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond)
	put(t, s, "a", blob(4, 3000))
	if s.Has(old) || !s.Has(pinned) || !s.Has(read) {
		t.Errorf("stored: old %v, pinned %v, open %v; want false, true, true", s.Has(old), s.Has(pinned), s.Has(read))
	}
	if err := s.Put(Key{"a", Of(blob(5, 6000))}, blob(5, 6000)); !errors.As(err, &full) {
		t.Errorf("Put in a store full of blobs in use: got error %v, want a FullError", err)
	}
	if got, err := io.ReadAll(r); err != nil || !bytes.Equal(got, blob(3, 3000)) {
		t.Errorf("open blob: read %d bytes with error %v, want the 3000 bytes that were stored", len(got), err)
	}
	unpin()
	unpin() // a second call does nothing
	if err := r.Close(); err != nil {
		t.Error(err)
	}
	time.Sleep(400 * time.Millisecond)
	put(t, s, "a", blob(5, 6000))
	if st := s.Stats(); st.Bytes > 10_000 || st.Evicted < 2 {
		t.Errorf("statistics %+v, want at most 10000 bytes and at least 2 evicted blobs", st)
	}
	if _, missing := s.Pin("a", []Digest{old.Digest, Of(blob(5, 6000))}); len(missing) != 1 {
		t.Errorf("Pin after an eviction: got missing digests %v, want 1", missing)
	}
}

// After a kill and a restart, the store must have complete blobs only and must not serve corrupt
// ones.
func TestRestartAfterKill(t *testing.T) {
	dir := t.TempDir()
	options := Options{MaxBytes: 1 << 20, MaxBlob: 1 << 16, Retention: time.Minute}
	s, _ := open(t, dir, options)
	good, short, flipped := put(t, s, "a", blob(1, 4000)), put(t, s, "a", blob(2, 4000)), put(t, s, "a", blob(3, 4000))
	upload, err := s.Create(Key{"a", Of(blob(4, 4000))})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := upload.Write(blob(4, 4000)[:1000]); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, options); err == nil {
		t.Fatal("a second Open of the directory succeeded, want an error while the store is open")
	}
	if err := s.Close(); err != nil { // leaves the upload unfinished, as a kill does
		t.Fatal(err)
	}
	if err := os.Truncate(s.path(short), 3000); err != nil {
		t.Fatal(err)
	}
	data := blob(3, 4000)
	data[1234] ^= 4
	if err := os.WriteFile(s.path(flipped), data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(filepath.Dir(s.path(good)), "stray"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	s, found := open(t, dir, options)
	if found.Incomplete != 3 || found.Blobs != 2 {
		t.Errorf("Open found %+v, want 3 incomplete files and 2 blobs", found)
	}
	if got, err := s.Read(good, 1<<16); err != nil || !bytes.Equal(got, blob(1, 4000)) {
		t.Errorf("complete blob: read %d bytes with error %v, want the 4000 bytes that were stored", len(got), err)
	}
	if _, err := s.Read(flipped, 1<<16); !errors.Is(err, ErrNotFound) {
		t.Errorf("corrupt blob: got error %v, want ErrNotFound", err)
	}
	if s.Has(flipped) || s.Has(short) {
		t.Error("a corrupt or truncated blob is reported as stored")
	}
	// The corrupt blob can be stored again.
	put(t, s, "a", blob(3, 4000))
	if st := s.Stats(); st.Corrupt != 1 || st.Bytes != 8000 {
		t.Errorf("statistics %+v, want 1 corrupt blob and 8000 bytes", st)
	}
	// A blob whose file is removed while the process runs is missing too.
	if err := os.Remove(s.path(good)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Read(good, 1<<16); !errors.Is(err, ErrNotFound) || s.Has(good) {
		t.Errorf("blob whose file was removed: got error %v, want ErrNotFound and that Has is false", err)
	}
}

// A process is killed while it writes. Every blob that it acknowledged must be complete.
func TestWritesSurviveKill(t *testing.T) {
	if dir := os.Getenv("CONTENT_TEST_DIR"); dir != "" {
		s, _, err := Open(dir, Options{MaxBytes: 1 << 30, MaxBlob: 1 << 20, Retention: time.Minute})
		if err != nil {
			panic(err)
		}
		var seed int
		fmt.Sscan(os.Getenv("CONTENT_TEST_SEED"), &seed)
		for i := 0; ; i++ {
			data := blob(seed*100_000+i, 1+i*37%50_000)
			if err := s.Put(Key{"a", Of(data)}, data); err != nil {
				panic(err)
			}
			fmt.Println(i)
		}
	}
	dir := t.TempDir()
	for seed := range 5 {
		cmd := exec.Command(os.Args[0], "-test.run", "TestWritesSurviveKill")
		cmd.Env = append(os.Environ(), "CONTENT_TEST_DIR="+dir, fmt.Sprintf("CONTENT_TEST_SEED=%d", seed))
		var out bytes.Buffer
		cmd.Stdout = &out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(150+60*seed) * time.Millisecond)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		s, found := open(t, dir, Options{MaxBytes: 1 << 30, MaxBlob: 1 << 20, Retention: time.Minute})
		lines := strings.Split(out.String(), "\n")
		acknowledged := len(lines) - 1 // the last line may be incomplete
		for i := range acknowledged {
			data := blob(seed*100_000+i, 1+i*37%50_000)
			if got, err := s.Read(Key{"a", Of(data)}, 1<<20); err != nil || !bytes.Equal(got, data) {
				t.Errorf("seed %d: acknowledged blob %d: read %d bytes with error %v, want %d bytes", seed, i, len(got), err, len(data))
			}
		}
		t.Logf("seed %d: %d blobs acknowledged, store opened with %+v", seed, acknowledged, found)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Under concurrent use of a store that is too small for all blobs, reads must return the stored
// bytes, and the recorded sizes must match the files on disk.
func TestConcurrentUse(t *testing.T) {
	s, _ := open(t, t.TempDir(), Options{MaxBytes: 60_000, MaxBlob: 10_000})
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 200 {
				data := blob((w*7+i)%40, 1000+(w*7+i)%40*100)
				key := Key{"a", Of(data)}
				var full *FullError
				if err := s.Put(key, data); err != nil && !errors.As(err, &full) {
					t.Errorf("put of a blob by concurrent writers: got error %v, want none or a FullError", err)
				}
				if got, err := s.Read(key, 1<<20); err == nil && !bytes.Equal(got, data) {
					t.Error("a read returned wrong bytes")
				} else if err != nil && !errors.Is(err, ErrNotFound) {
					t.Errorf("concurrent read of a blob: got error %v, want none or ErrNotFound", err)
				}
			}
		})
	}
	wg.Wait()
	st, sum := s.Stats(), int64(0)
	err := filepath.WalkDir(filepath.Join(s.dir, blobDir), func(path string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			info, ierr := d.Info()
			sum, err = sum+info.Size(), ierr
		}
		return err
	})
	if err != nil || sum != st.Bytes || st.Bytes > 60_000 {
		t.Errorf("%d bytes on disk (error %v) and statistics %+v, want the same number of bytes in both, at most 60000", sum, err, st)
	}
}

// The oldest records are evicted, corrupt ones are not served, and the others survive a restart.
func TestResults(t *testing.T) {
	dir := t.TempDir()
	r, err := OpenResults(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	key := func(i int) Digest { return Of([]byte{byte(i)}) }
	for i := range 4 {
		if err := r.Put("red", key(i), []byte{byte(i), 1}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := r.Get("red", key(0)); !errors.Is(err, ErrNotFound) {
		t.Errorf("evicted record: got error %v, want ErrNotFound", err)
	}
	if _, err := r.Get("blue", key(1)); !errors.Is(err, ErrNotFound) {
		t.Errorf("record of another space: got error %v, want ErrNotFound", err)
	}
	if err := r.Put("red", Digest{Hash: "../x", Size: 1}, nil); !errors.Is(err, ErrInvalid) {
		t.Errorf("digest that is a path: got error %v, want ErrInvalid", err)
	}
	path := r.path(Key{"red", Digest{Hash: key(2).Hash, Size: 0}})
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)-1] ^= 1
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(filepath.Dir(path), ".half"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	if r, err = OpenResults(dir, 3); err != nil {
		t.Fatal(err)
	}
	for i, want := range map[int]bool{1: true, 2: false, 3: true} {
		got, err := r.Get("red", key(i))
		if (err == nil) != want || want && !bytes.Equal(got, []byte{byte(i), 1}) {
			t.Errorf("record %d: got %v with error %v; the record should be found: %v", i, got, err, want)
		}
	}
}

// A space may fill the store except for a fraction of the unused quotas of other spaces. Blobs
// within the quota of their space must not be evicted for it.
func TestQuotas(t *testing.T) {
	if _, _, err := Open(t.TempDir(), Options{MaxBytes: 100, MaxBlob: 10, Quotas: map[string]int64{"red": 60, "blue": 50}}); !errors.Is(err, ErrInvalid) {
		t.Fatalf("quotas exceeding the size of the store: got error %v, want ErrInvalid", err)
	}
	dir := t.TempDir()
	options := Options{MaxBytes: 100_000, MaxBlob: 10_000, Quotas: map[string]int64{"red": 40_000, "blue": 40_000}}
	s, _ := open(t, dir, options)
	seed := 0
	next := func(space string) (Key, error) {
		seed++
		data := blob(seed, 1000)
		key := Key{space, Of(data)}
		return key, s.Put(key, data)
	}
	bytes := func(space string) int64 { return s.Stats().Spaces[space].Bytes }
	for range 200 {
		if _, err := next("red"); err != nil {
			t.Fatal(err)
		}
	}
	if got := bytes("red"); got != 90_000 { // a quarter of blue's unused quota of 40000 stays free
		t.Errorf("red uses %d bytes, want 90000", got)
	}
	var first Key
	for i := range 60 {
		key, err := next("blue")
		if err != nil {
			t.Fatal(err)
		}
		if i == 20 {
			first = key // the first 20 are evicted when blue exceeds its quota
		}
	}
	if r, b := bytes("red"), bytes("blue"); r < 40_000 || b < 40_000 || r+b > 100_000 {
		t.Errorf("red uses %d bytes, blue %d; want at least 40000 each and at most 100000 in total", r, b)
	}
	for range 300 {
		if _, err := next("red"); err != nil {
			t.Fatal(err)
		}
	}
	if got := bytes("blue"); got < 40_000 {
		t.Errorf("after many uploads by red, blue has %d bytes, want at least its quota of 40000", got)
	}
	if !s.Has(first) {
		t.Error("a blob within blue's quota was evicted")
	}
	// Retained blobs of a space beyond its quota can't be evicted. The FullError has the time
	// until the first retention ends.
	_ = s.Close()
	options.Retention = time.Minute
	s, _ = open(t, t.TempDir(), options)
	defer s.Close() //nolint:errcheck // the test ends
	var full *FullError
	for {
		if _, err := next("red"); err != nil {
			if !errors.As(err, &full) || full.RetryAfter < 50*time.Second {
				t.Fatalf("upload by a space beyond its quota: got error %v, want a FullError with a delay of at least 50 s", err)
			}
			break
		}
	}
	for range 10 {
		if _, err := next("blue"); err != nil {
			t.Fatalf("upload by blue within its quota: %v", err)
		}
	}
	st := s.Stats()
	if sp := st.Spaces["red"]; sp.Retained != sp.Bytes || sp.Quota != 40_000 || sp.Blobs != int(sp.Bytes/1000) || st.Bytes != sp.Bytes+st.Spaces["blue"].Bytes {
		t.Errorf("statistics %+v, want all blobs of red retained, its quota 40000, and the sums of the spaces equal to the totals", st)
	}
}

// An interrupted named upload can be resumed after a restart. It fails if its bytes were altered
// on disk, counts as used space, is removed before blobs are evicted, and expires.
func TestResumption(t *testing.T) {
	dir := t.TempDir()
	options := Options{MaxBytes: 10_000, MaxBlob: 9_000, Retention: time.Minute}
	s, _ := open(t, dir, options)
	data := blob(1, 6000)
	key := Key{"a", Of(data)}
	startUpload := func(name string, key Key, data []byte) *Upload {
		t.Helper()
		upload, err := s.Resume(name, key)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := upload.Write(data); err != nil {
			t.Fatal(err)
		}
		return upload
	}
	restart := func() OpenStats {
		t.Helper()
		_ = s.Close()
		var found OpenStats
		s, found = open(t, dir, options)
		return found
	}
	startUpload("one", key, data[:2000])
	if found := restart(); found.Interrupted != 1 || found.Bytes != 2000 || s.Stats().Bytes != 2000 || s.ReceivedBytes("one") != 2000 || s.ReceivedBytes("two") != 0 {
		t.Fatalf("Open found %+v, want 1 interrupted upload of 2000 bytes", found)
	}
	upload, err := s.Resume("one", key)
	if err != nil || upload.Size() != 2000 || s.Stats().Bytes != 6000 {
		t.Fatalf("Resume: got error %v and statistics %+v, want 2000 bytes resumed and 6000 reserved", err, s.Stats())
	}
	if _, err := upload.Write(data[2000:]); err != nil || upload.Commit() != nil {
		t.Fatal(err)
	}
	if got, err := s.Read(key, 1<<16); err != nil || !bytes.Equal(got, data) || s.ReceivedBytes("one") != 0 {
		t.Fatalf("resumed blob: read %d bytes with error %v, want the 6000 bytes that were uploaded and no upload left", len(got), err)
	}

	// The bytes of an interrupted upload are altered on disk.
	other := blob(2, 3000)
	startUpload("flipped", Key{"a", Of(other)}, other[:1500])
	restart()
	file := s.namedPath("flipped")
	bad := append([]byte(nil), other[:1500]...)
	bad[7] ^= 1
	if err := os.WriteFile(file, bad, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := startUpload("flipped", Key{"a", Of(other)}, other[1500:]).Commit(); !errors.Is(err, ErrMismatch) {
		t.Errorf("commit of altered bytes: got error %v, want ErrMismatch", err)
	}
	if err := startUpload("flipped", Key{"a", Of(other)}, other).Commit(); err != nil {
		t.Error(err)
	}

	// Interrupted uploads are removed before blobs are evicted.
	startUpload("left", Key{"a", Of(blob(3, 900))}, blob(3, 900)[:800])
	restart()
	s.FindMissing("a", []Digest{key.Digest, Of(other)})
	put(t, s, "a", blob(4, 900))
	if !s.Has(key) || s.ReceivedBytes("left") != 0 || s.Stats().Bytes != 9900 {
		t.Errorf("statistics %+v with %d bytes of the interrupted upload, want 9900 bytes used and the upload removed", s.Stats(), s.ReceivedBytes("left"))
	}

	// A file that is larger than the blob is discarded, and an old upload expires.
	s.forget(key)
	startUpload("long", Key{"a", Of(blob(5, 900))}, blob(5, 900))
	restart()
	if upload, err := s.Resume("long", Key{"a", Of(blob(6, 100))}); err != nil || upload.Size() != 0 {
		t.Errorf("resuming with a file larger than the blob: got error %v, want an upload of size 0", err)
	}
	startUpload("old", Key{"a", Of(blob(7, 900))}, blob(7, 300))
	restart()
	s.ExpireUploads(time.Now().Add(-time.Minute))
	if s.ReceivedBytes("old") != 300 {
		t.Error("a recent upload has expired")
	}
	s.ExpireUploads(time.Now().Add(time.Second))
	if s.ReceivedBytes("old") != 0 || len(s.interrupted) != 0 {
		t.Error("an old upload has not expired")
	}
}

// The same bytes with two digest functions are two blobs, also after a restart.
func TestDigestFunctions(t *testing.T) {
	dir := t.TempDir()
	options := Options{MaxBytes: 1 << 20, MaxBlob: 1 << 16, Retention: time.Minute}
	s, _ := open(t, dir, options)
	data := blob(1, 500)
	for _, d := range []Digest{Of(data), BLAKE3.Of(data)} {
		if err := s.Put(Key{"a", d}, data); err != nil {
			t.Fatal(err)
		}
	}
	wrong := Key{"a", Digest{Hash: Of(data).Hash, Size: 500, Function: BLAKE3}}
	if err := s.Put(wrong, data); !errors.Is(err, ErrMismatch) || !BLAKE3.Of(nil).IsEmpty() || BLAKE3.Of(nil) == Empty {
		t.Errorf("put with a SHA-256 hash in a BLAKE3 digest: got error %v, want ErrMismatch; or the digest of the empty blob is the same for both functions", err)
	}
	_ = s.Close()
	s, found := open(t, dir, options)
	if found.Blobs != 2 || !s.Has(Key{"a", BLAKE3.Of(data)}) || s.Has(wrong) {
		t.Errorf("Open found %+v, want 2 blobs, one per function", found)
	}
	r, err := OpenResults(filepath.Join(dir, "results"), 10)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Put("a", BLAKE3.Of(data), []byte("blake")); err != nil {
		t.Fatal(err)
	}
	if r, err = OpenResults(filepath.Join(dir, "results"), 10); err != nil {
		t.Fatal(err)
	}
	if got, err := r.Get("a", BLAKE3.Of(data)); err != nil || string(got) != "blake" {
		t.Errorf("record of a BLAKE3 digest: got %q with error %v, want \"blake\"", got, err)
	}
	if _, err := r.Get("a", Digest{Hash: BLAKE3.Of(data).Hash}); !errors.Is(err, ErrNotFound) {
		t.Errorf("record of another digest function: got error %v, want ErrNotFound", err)
	}
}
