package reapi

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/metadata"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/repair"
)

// Repair makes what keeps this gate's blobs whole and copied; file is where it
// notes how far it is.
func (g *FrontEnd) Repair(settings repair.Settings, file string, log *slog.Logger) (*repair.Repairer, error) {
	instances := map[string]string{} // by team
	for _, name := range slices.Sorted(maps.Keys(g.config.Instances)) {
		if team := g.config.Instances[name]; instances[team] == "" {
			instances[team] = name
		}
	}
	order := func(hash string) []repair.Gate {
		if g.peers == nil {
			return nil
		}
		var out []repair.Gate
		for _, p := range g.peers.rank(hash) {
			out = append(out, &otherGate{g, p, instances})
		}
		return out
	}
	source := func(ctx context.Context, k blobstore.Key) error {
		r, err := g.open(ctx, instances[k.Space], k)
		if err != nil {
			return err
		}
		return r.Close()
	}
	r, err := repair.New(settings, file, served{g.store, instances}, order, source, log)
	if err != nil {
		return nil, err
	}
	r.Records = func(ctx context.Context, take func(context.Context, int64) error) (int, error) {
		return g.repairRecords(ctx, settings.Copies, instances, take)
	}
	g.repairer.Store(r)
	return r, nil
}

// served are the blobs of teams that have an instance. Those of others have no
// name here by which another gate could be asked, and would go to another team.
type served struct {
	*blobstore.Store
	instances map[string]string
}

// Keys are the blobs of served teams.
func (s served) Keys() []blobstore.Key {
	return slices.DeleteFunc(s.Store.Keys(), func(k blobstore.Key) bool { _, ok := s.instances[k.Space]; return !ok })
}

// repairRecords tells results, and what executions became, to the gates that
// should know them; the first record that a gate has stays.
func (g *FrontEnd) repairRecords(ctx context.Context, copies int, instances map[string]string, take func(context.Context, int64) error) (int, error) {
	told := 0
	if g.peers == nil || copies < 2 {
		return 0, nil
	}
	for _, k := range g.results.Keys() {
		instance, ok := instances[k.Space]
		if !ok {
			continue
		}
		result, err := g.stored(k.Space, k.Digest)
		if err != nil {
			continue // gone meanwhile
		}
		if err := take(ctx, recordCost); err != nil {
			return told, err
		}
		g.spreadResult(ctx, instance, k.Digest, result)
		told++
	}
	return told, nil
}

// recordCost is what telling a record costs beside bytes of blobs.
const recordCost = 4 << 10

// otherGate is another gate as repair sees it.
type otherGate struct {
	g         *FrontEnd
	p         *peerGate
	instances map[string]string
}

// Name is its address.
func (o *otherGate) Name() string { return o.p.addr }

// Lacks asks it, also while others leave it alone, and promises nothing.
func (o *otherGate) Lacks(ctx context.Context, space string, digests []blobstore.Digest) (missing []blobstore.Digest, err error) {
	for _, function := range []blobstore.Function{blobstore.SHA256, blobstore.BLAKE3} {
		req := &repb.FindMissingBlobsRequest{InstanceName: o.instances[space], DigestFunction: FunctionOnWire(function)}
		for _, d := range digests {
			if d.Function == function {
				req.BlobDigests = append(req.BlobDigests, wire(d))
			}
		}
		if len(req.BlobDigests) == 0 {
			continue
		}
		if err := o.p.call(metadata.AppendToOutgoingContext(ctx, lookMark, "1"), peerTime, func(ctx context.Context) error {
			resp, err := o.p.cas.FindMissingBlobs(ctx, req)
			for _, d := range resp.GetMissingBlobDigests() {
				missing = append(missing, digestIn(function, d))
			}
			return err
		}); err != nil {
			return nil, err
		}
	}
	return missing, nil
}

// Push copies a blob to it.
func (o *otherGate) Push(ctx context.Context, k blobstore.Key) error {
	return o.p.call(ctx, transferTime(k.Size), func(ctx context.Context) error { return o.g.push(ctx, o.p, o.instances[k.Space], k) })
}
