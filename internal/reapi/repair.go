package reapi

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"google.golang.org/grpc/metadata"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/repair"
)

// Repair creates the repairer that verifies this front end's blobs, restores corrupt ones
// and creates missing copies. It stores its progress in file.
func (f *FrontEnd) Repair(settings repair.Settings, file string, log *slog.Logger) (*repair.Repairer, error) {
	instances := map[string]string{} // by team
	for _, name := range slices.Sorted(maps.Keys(f.config.Instances)) {
		if team := f.config.Instances[name]; instances[team] == "" {
			instances[team] = name
		}
	}
	order := func(hash string) []repair.Peer {
		if f.peers == nil {
			return nil
		}
		var peers []repair.Peer
		for _, p := range f.peers.ranked(hash) {
			peers = append(peers, &repairPeer{f, p, instances})
		}
		return peers
	}
	restore := func(ctx context.Context, key blobstore.Key) error {
		blob, err := f.open(ctx, instances[key.Space], key)
		if err != nil {
			return err
		}
		return blob.Close()
	}
	repairer, err := repair.New(settings, file, servedStore{f.store, instances}, order, restore, log)
	if err != nil {
		return nil, err
	}
	repairer.CopyRecords = func(ctx context.Context, take func(context.Context, int64) error) (int, error) {
		return f.repairRecords(ctx, settings.Copies, instances, take)
	}
	f.repairer.Store(repairer)
	return repairer, nil
}

// servedStore is a store that hides the blobs of teams without an instance. Calls to peers
// need an instance name, so these blobs cannot be repaired.
type servedStore struct {
	*blobstore.Store
	instances map[string]string // by team
}

// Keys returns the keys of the blobs of teams that have an instance.
func (s servedStore) Keys() []blobstore.Key {
	return slices.DeleteFunc(s.Store.Keys(), func(key blobstore.Key) bool {
		_, ok := s.instances[key.Space]
		return !ok
	})
}

// repairRecords copies action results and start records to the peers that should have
// them, and returns the number of copies. A peer that already has a record keeps its own. take
// waits until the repairer's rate limit allows that many bytes.
func (f *FrontEnd) repairRecords(ctx context.Context, copies int, instances map[string]string, take func(context.Context, int64) error) (int, error) {
	copied := 0
	if f.peers == nil || copies < 2 {
		return 0, nil
	}
	for _, key := range f.results.Keys() {
		instance, ok := instances[key.Space]
		if !ok {
			continue
		}
		result, err := f.localResult(key.Space, key.Digest)
		if err != nil {
			continue // deleted meanwhile
		}
		if err := take(ctx, recordCost); err != nil {
			return copied, err
		}
		f.replicateResult(ctx, instance, key.Digest, result)
		copied++
	}
	return copied, nil
}

// recordCost is the number of bytes that the rate limit charges for the copy of a record.
const recordCost = 4 << 10

// repairPeer adapts a peer to the interface of the repairer.
type repairPeer struct {
	frontEnd  *FrontEnd
	peer      *peer
	instances map[string]string // by team
}

// Name returns the peer's address.
func (r *repairPeer) Name() string { return r.peer.addr }

// FindMissing returns the digests whose blobs the peer does not have. The peer does not pin the
// blobs that it has. FindMissing calls the peer even while the peer's circuit breaker is open.
func (r *repairPeer) FindMissing(ctx context.Context, space string, digests []blobstore.Digest) (missing []blobstore.Digest, err error) {
	ctx = metadata.AppendToOutgoingContext(ctx, probeMetadataKey, "1")
	for _, function := range []blobstore.Function{blobstore.SHA256, blobstore.BLAKE3} {
		var asked []blobstore.Digest
		for _, digest := range digests {
			if digest.Function == function {
				asked = append(asked, digest)
			}
		}
		if len(asked) == 0 {
			continue
		}
		lacked, err := r.peer.findMissing(ctx, peerTimeout, r.instances[space], asked)
		if err != nil {
			return nil, err
		}
		missing = append(missing, lacked...)
	}
	return missing, nil
}

// Push copies a blob to the peer.
func (r *repairPeer) Push(ctx context.Context, key blobstore.Key) error {
	return r.peer.call(ctx, transferTime(key.Size), func(ctx context.Context) error {
		return r.frontEnd.copyTo(ctx, r.peer, r.instances[key.Space], key)
	})
}
