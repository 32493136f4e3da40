package archive_test

import (
	"bytes"
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/url"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/audit/archive"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// lossyTransport sends requests to the fake state store. It drops the response if lose returns an
// error.
type lossyTransport struct {
	s    *state.Service
	lose func(target string, resp *transport.Response) error
}

func (n *lossyTransport) Do(ctx context.Context, _, method, target string, body []byte) (*transport.Response, error) {
	path, query, _ := strings.Cut(target, "?")
	q := must(url.ParseQuery(query))
	resp := n.s.Serve(ctx, "", method, path, q, body)
	if n.lose != nil {
		if err := n.lose(target, resp); err != nil {
			return nil, err
		}
	}
	return resp, nil
}

type fixture struct {
	t        *testing.T
	state    *state.Service
	net      *lossyTransport
	dir      string
	ca       *pki.Authority
	roots    *x509.CertPool
	keyrings map[string]*identity.Keyring
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, state: state.New(new(sync.Mutex)), dir: t.TempDir(), roots: x509.NewCertPool(), keyrings: map[string]*identity.Keyring{}}
	f.net = &lossyTransport{s: f.state}
	f.ca = must(pki.Create(f.dir, "test", time.Now(), 1000*time.Hour))
	f.roots.AddCert(f.ca.Root())
	for _, label := range []string{"n0", "n1"} {
		issued := must(f.ca.Issue(must(identity.ParseName("controller/"+label)), time.Now(), time.Hour, false))
		f.keyrings[label] = must(identity.Load(identity.Files{CredentialsFile: issued.File, RootsFile: filepath.Join(f.dir, pki.RootFile)}))
	}
	return f
}

// open starts the log of a controller; stop ends it as a shutdown signal does.
func (f *fixture) open(label string) (l *audit.Log, stop func()) {
	store := storage.NewStore(f.net, "state", settings.StateStoreLimits{RPS: 10_000, WriteRPS: 10_000, ValueKB: 8, TxnOps: 12}, 2)
	l = audit.NewLog(store, label, func() audit.Signer {
		key, cert := f.keyrings[label].Signer()
		return audit.Signer{Key: key, Cert: cert, ID: identity.Fingerprint(cert)}
	}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	return l, func() { cancel(); <-done }
}

func record(verb, job string) audit.Record {
	return audit.Record{At: time.Now().UTC(), Identity: "person/anna", Verb: verb, Team: "red", Class: "c<&>é", Job: job, Outcome: audit.Allowed}
}

func put(key string) *protocol.Transaction {
	return &protocol.Transaction{If: []protocol.Condition{{Key: key}}, Then: []protocol.Change{{Put: key, Value: protocol.Encode(map[string]any{"a": 1})}}}
}

// export returns an export of the log.
func (f *fixture) export(l *audit.Log) []byte {
	f.t.Helper()
	ctx := context.Background()
	seal := must(l.Seal(ctx))
	var out bytes.Buffer
	if err := archive.Export(ctx, &out, seal, func(ctx context.Context, chain string, after uint64) ([]audit.NumberedBatch, error) {
		return l.Batches(ctx, chain, after, 1000)
	}, func(uint64, uint64) {}); err != nil {
		f.t.Fatal(err)
	}
	return out.Bytes()
}

func (f *fixture) verify(data []byte) *archive.Result {
	return must(archive.Verify(bytes.NewReader(data), f.roots))
}

// sample returns an export of two chains.
func (f *fixture) sample() []byte {
	a, stopA := f.open("n0")
	b, stopB := f.open("n1")
	for i := range 3 {
		must(a.Commit(context.Background(), put(fmt.Sprintf("k/%d", i)), record("submit", fmt.Sprintf("job-%d", i))))
	}
	must(b.Commit(context.Background(), put("k/9"), record("submit", "job-9")))
	for range 5 {
		b.Aggregate(audit.Record{At: time.Now().UTC(), Verb: "view", Outcome: audit.Denied, Reason: "no credential"})
	}
	stopA()
	stopB()
	return f.export(a)
}

func TestExportVerifies(t *testing.T) {
	f := newFixture(t)
	data := f.sample()
	v := f.verify(data)
	if len(v.Problems) > 0 || v.Records != 5 || v.Actions != 9 || len(v.Chains) != 2 || v.SealedBy != "n0" {
		t.Errorf("got %+v, want no problems, 5 records, 9 actions, 2 chains, sealed by n0", v)
	}
	// A verifier with other roots must not trust the export.
	if v := must(archive.Verify(bytes.NewReader(data), x509.NewCertPool())); len(v.Problems) == 0 {
		t.Error("Verify found no problems in the export without a trusted root")
	}
}

// inParallel calls f with 0 to n-1 on all cores.
func inParallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for w := range workers {
		wg.Go(func() {
			for i := w; i < n; i += workers {
				f(i)
			}
		})
	}
	wg.Wait()
}

// A change of any byte of an export, plain or compressed, must be detected.
func TestEveryAlteredByteIsDetected(t *testing.T) {
	f := newFixture(t)
	data := f.sample()
	var compressed bytes.Buffer
	if err := archive.Compress(&compressed, func(w io.Writer) error { _, err := w.Write(data); return err }); err != nil {
		t.Fatal(err)
	}
	if got := must(archive.Open(compressed.Bytes())); !bytes.Equal(got, data) {
		t.Fatal("decompression does not restore the export")
	}
	inParallel(len(data), func(i int) {
		// Change the lowest bit or the case of a letter, or put a space, which JSON ignores.
		for _, c := range []byte{data[i] ^ 1, data[i] ^ 0x20, ' '} {
			if c == data[i] {
				continue
			}
			bad := bytes.Clone(data)
			bad[i] = c
			if len(f.verify(bad).Problems) == 0 {
				t.Errorf("byte %d changed from %q to %q: not detected", i, data[i], c)
			}
		}
	})
	inParallel(compressed.Len(), func(i int) {
		for bit := range 8 {
			bad := bytes.Clone(compressed.Bytes())
			bad[i] ^= 1 << bit
			if plain, err := archive.Open(bad); err == nil && len(f.verify(plain).Problems) == 0 {
				t.Errorf("byte %d, bit %d of the compressed file flipped: not detected", i, bit)
			}
		}
	})
}

// Removed, repeated and moved lines and truncation must be detected at every line.
func TestEveryAlteredLineIsDetected(t *testing.T) {
	f := newFixture(t)
	data := f.sample()
	lines := bytes.SplitAfter(data, []byte("\n"))
	lines = lines[:len(lines)-1]
	requireDetected := func(change string, i int, bad [][]byte) {
		t.Helper()
		if len(f.verify(bytes.Join(bad, nil)).Problems) == 0 {
			t.Errorf("line %d %s: not detected", i+1, change)
		}
	}
	for i := range lines {
		without := append(append([][]byte{}, lines[:i]...), lines[i+1:]...)
		requireDetected("removed", i, without)
		double := append(append(append([][]byte{}, lines[:i+1]...), lines[i]), lines[i+1:]...)
		requireDetected("repeated", i, double)
		for j := range without {
			if j == i || bytes.HasPrefix(lines[i], []byte(`{"signer"`)) {
				continue // the order of the signers does not matter
			}
			moved := append(append(append([][]byte{}, without[:j]...), lines[i]), without[j:]...)
			// A batch may be between those of another chain: only the order within a chain
			// matters.
			if v := f.verify(bytes.Join(moved, nil)); len(v.Problems) == 0 && !sameChains(lines, moved) {
				t.Errorf("line %d moved to line %d: not detected", i+1, j+1)
			}
		}
	}
	inParallel(len(data), func(n int) {
		if len(f.verify(data[:n]).Problems) == 0 {
			t.Errorf("truncated after %d bytes: not detected", n)
		}
	})
	requireDetected("followed by another export", len(lines), append(append([][]byte{}, lines...), lines...))
}

// sameChains reports whether the batches of each chain have the same order in a and b, and the
// first and last lines are equal.
func sameChains(a, b [][]byte) bool {
	split := func(lines [][]byte) map[string]string {
		out := map[string]string{"ends": string(lines[0]) + string(lines[len(lines)-1])}
		for _, l := range lines[1 : len(lines)-1] {
			chain, _, _ := strings.Cut(string(l), ",")
			if strings.HasPrefix(chain, `{"chain"`) {
				out[chain] += string(l)
			}
		}
		return out
	}
	x, y := split(a), split(b)
	for k, v := range x {
		if y[k] != v {
			return false
		}
	}
	return true
}

// When responses of the state store are lost and changes are retried, each change must be
// recorded exactly once.
func TestUnansweredCommits(t *testing.T) {
	for name, lose := range map[string]func(n int, target string, resp *transport.Response) error{
		"answer lost":             func(n int, _ string, _ *transport.Response) error { return lost(n == 2) },
		"all answers lost":        func(n int, _ string, _ *transport.Response) error { return lost(n >= 2 && n < 8) },
		"every third answer lost": func(n int, _ string, _ *transport.Response) error { return lost(n%3 == 0) },
		"only commits lost":       func(n int, target string, _ *transport.Response) error { return lost(target == "/commit" && n%4 == 0) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			n := 0
			var mu sync.Mutex
			f.net.lose = func(target string, resp *transport.Response) error {
				mu.Lock()
				defer mu.Unlock()
				n++
				return lose(n, target, resp)
			}
			l, stop := f.open("n0")
			for i := range 12 {
				key := fmt.Sprintf("k/%d", i)
				l.Aggregate(audit.Record{At: time.Now().UTC(), Identity: fmt.Sprintf("person/p%d", i), Verb: "view", Outcome: audit.Denied})
				for tries := 0; ; tries++ {
					_, err := l.Commit(context.Background(), put(key), record("submit", fmt.Sprintf("job-%d", i)))
					var conflict *storage.Conflict
					if err == nil || errors.As(err, &conflict) {
						break // committed now or by an earlier attempt
					}
					if tries > 50 {
						t.Fatal(err)
					}
				}
			}
			mu.Lock()
			f.net.lose = nil
			mu.Unlock()
			stop()
			v := f.verify(f.export(l))
			for _, p := range v.Problems {
				t.Error(p)
			}
			jobs, denials := map[string]int{}, map[string]uint64{}
			for _, r := range v.Decoded {
				if r.Outcome == audit.Denied {
					denials[r.Identity] += max(1, r.Count)
				} else {
					jobs[r.Job]++
				}
			}
			for i := range 12 {
				if n := jobs[fmt.Sprintf("job-%d", i)]; n != 1 {
					t.Errorf("job-%d: got %d records, want 1", i, n)
				}
				if n := denials[fmt.Sprintf("person/p%d", i)]; n != 1 {
					t.Errorf("person/p%d: got %d denials, want 1", i, n)
				}
			}
		})
	}
}

// lost returns the error of a request without an answer if answerLost is set.
func lost(answerLost bool) error {
	if answerLost {
		return errors.New("no answer")
	}
	return nil
}

// Concurrent changes must share transactions, and each must get its own result.
func TestChangesShareTransactions(t *testing.T) {
	f := newFixture(t)
	l, stop := f.open("n0")
	must(l.Commit(context.Background(), put("taken"), record("submit", "job-0")))
	before := f.state.Revision
	var wg sync.WaitGroup
	var mu sync.Mutex
	conflicts := 0
	for i := range 200 {
		wg.Go(func() {
			key := fmt.Sprintf("k/%d", i)
			if i%10 == 0 {
				key = "taken"
			}
			for {
				_, err := l.Commit(context.Background(), put(key), record("submit", fmt.Sprintf("job-%d", i)))
				var conflict *storage.Conflict
				switch {
				case errors.As(err, &conflict):
					mu.Lock()
					conflicts++
					mu.Unlock()
					if key != "taken" || len(conflict.Failed) != 1 || conflict.Failed[0] != "taken" {
						t.Errorf("commit of key %s: got error %v, want a conflict only for the key \"taken\"", key, err)
					}
					return
				case err == nil:
					if key == "taken" {
						t.Error("the existing key was written again")
					}
					return
				}
				time.Sleep(10 * time.Millisecond) // over the budget: retry
			}
		})
	}
	wg.Wait()
	stop()
	if conflicts != 20 {
		t.Errorf("got %d conflicts, want 20", conflicts)
	}
	if n := f.state.Revision - before; n > 100 {
		t.Errorf("got %d transactions for 180 changes, want at most 100", n)
	}
	if v := f.verify(f.export(l)); len(v.Problems) > 0 || v.Records != 181 {
		t.Errorf("got %d records and problems %v, want 181 and none", v.Records, v.Problems)
	}
}

// A restarted controller must continue its chain, also if the stored head of the chain was
// altered.
func TestChainContinuesAfterARestart(t *testing.T) {
	f := newFixture(t)
	n := 0
	for range 4 {
		l, stop := f.open("n0")
		for range 30 {
			must(l.Commit(context.Background(), put(fmt.Sprintf("k/%d", n)), record("submit", fmt.Sprintf("job-%d", n))))
			n++
		}
		stop()
		for key, it := range f.state.Items {
			if strings.HasPrefix(key, "a/h/") && n == 60 {
				it.Value = protocol.Encode(map[string]any{"n": 3, "h": "00"})
				f.state.Items[key] = it
			}
		}
	}
	l, stop := f.open("n0")
	defer stop()
	if v := f.verify(f.export(l)); len(v.Problems) > 0 || v.Batches != 120 {
		t.Errorf("got %d batches and problems %v, want 120 and none", v.Batches, v.Problems)
	}
}

// A renewed certificate must be accepted in the same chain, and a batch signed by another
// controller must be reported.
func TestSigners(t *testing.T) {
	f := newFixture(t)
	l, stop := f.open("n0")
	must(l.Commit(context.Background(), put("k/1"), record("submit", "job-1")))
	issued := must(f.ca.Issue(must(identity.ParseName("controller/n0")), time.Now(), 2*time.Hour, true))
	f.keyrings["n0"] = must(identity.Load(identity.Files{CredentialsFile: issued.File, RootsFile: filepath.Join(f.dir, pki.RootFile)}))
	must(l.Commit(context.Background(), put("k/2"), record("submit", "job-2")))
	if v := f.verify(f.export(l)); len(v.Problems) > 0 || v.Records != 2 {
		t.Errorf("after a renewal: got %+v, want 2 records and no problems", v)
	}
	f.keyrings["n0"] = f.keyrings["n1"]
	must(l.Commit(context.Background(), put("k/3"), record("submit", "job-3")))
	stop()
	v := f.verify(f.export(l))
	if len(v.Problems) == 0 || !strings.Contains(v.Problems[0].Reason, "does not write this chain") {
		t.Errorf("signed by another controller: got problems %v, want that the signer does not write this chain", v.Problems)
	}
}

func FuzzVerify(f *testing.F) {
	f.Add([]byte("{\"micaspindle_audit\":1}\n"))
	f.Add([]byte("{\"micaspindle_audit\":1}\n{\"seal\":{},\"signer\":\"\",\"sig\":\"\"}\n"))
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		plain, err := archive.Open(data)
		if err != nil {
			return
		}
		if v, err := archive.Verify(bytes.NewReader(plain), x509.NewCertPool()); err == nil && len(v.Problems) == 0 {
			t.Errorf("%q verifies without trusted roots", data)
		}
	})
}
