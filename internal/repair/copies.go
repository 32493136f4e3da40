package repair

import (
	"context"
	"slices"
	"time"

	"micaspindle/internal/blobstore"
)

// PeerState is the state of a peer with respect to a blob.
type PeerState int

// The states of a peer.
const (
	Holds        PeerState = iota // the peer has a copy
	Lacks                         // the peer has no copy
	Unresponsive                  // the peer does not answer, perhaps because it restarts
	Gone                          // the peer has not answered for longer than the grace period
)

// PlanCopies returns the indexes of the peers that should get a copy, so that the given number of
// front ends hold the blob, including this one. short is the number of copies that would still be
// missing. An unresponsive peer counts as holding the blob if it is among the first copies-1 peers
// of the order, not counting those that are gone.
func PlanCopies(order []PeerState, copies int) (targets []int, short int) {
	have, place := 1, 1
	for _, state := range order {
		switch state {
		case Holds:
			have++
		case Unresponsive:
			if place < copies {
				have++
			}
		}
		if state != Gone {
			place++
		}
	}
	for i, state := range order {
		if have >= copies {
			break
		}
		if state == Lacks {
			targets = append(targets, i)
			have++
		}
	}
	return targets, max(0, copies-have)
}

// missingBlobs holds, by the name of the peer, the blobs of a batch that the peer lacks. Peers that
// did not answer have no entry.
type missingBlobs map[string]map[blobstore.Digest]bool

// state returns the state of a peer for a blob; gone lists the peers past the grace period.
func (m missingBlobs) state(peer string, digest blobstore.Digest, gone []string) PeerState {
	lacked, answered := m[peer]
	switch {
	case answered && lacked[digest]:
		return Lacks
	case answered:
		return Holds
	case slices.Contains(gone, peer):
		return Gone
	}
	return Unresponsive
}

// makeCopies copies the blobs, which are of one space, to peers until there are enough copies.
func (r *Repairer) makeCopies(ctx context.Context, keys []blobstore.Key) error {
	missing, err := r.findMissing(ctx, keys)
	if err != nil {
		return err
	}
	for _, key := range keys {
		if err := r.copyBlob(ctx, key, missing); err != nil {
			return err
		}
	}
	return nil
}

// findMissing requests from each peer the list of the blobs that it lacks, and records which peers
// answered.
func (r *Repairer) findMissing(ctx context.Context, keys []blobstore.Key) (missingBlobs, error) {
	digests := make([]blobstore.Digest, len(keys))
	for i, key := range keys {
		digests[i] = key.Digest
	}
	answers := missingBlobs{}
	for _, peer := range r.order(keys[0].Hash) {
		missing, err := peer.FindMissing(ctx, keys[0].Space, digests)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		r.recordAnswer(peer.Name(), err == nil)
		if err != nil {
			continue
		}
		lacked := map[blobstore.Digest]bool{}
		for _, digest := range missing {
			lacked[digest] = true
		}
		answers[peer.Name()] = lacked
	}
	return answers, nil
}

// recordAnswer records whether a peer has answered.
func (r *Repairer) recordAnswer(peer string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.unresponsiveSince, peer)
	} else if _, silent := r.unresponsiveSince[peer]; !silent {
		r.unresponsiveSince[peer] = time.Now()
	}
}

// copyBlob copies a blob to peers until there are enough copies. If a copy fails, it tries the next
// peer.
func (r *Repairer) copyBlob(ctx context.Context, key blobstore.Key, missing missingBlobs) error {
	peers := r.order(key.Hash)
	r.mu.Lock()
	gone := r.gonePeers(time.Now())
	r.mu.Unlock()
	states := make([]PeerState, len(peers))
	for i, peer := range peers {
		states[i] = missing.state(peer.Name(), key.Digest, gone)
	}
	for {
		targets, short := PlanCopies(states, r.settings.Copies)
		if len(targets) == 0 {
			if short > 0 {
				r.updateProgress(func(p *Progress) { p.UnderReplicated++ })
			}
			return nil
		}
		if err := r.throttle(ctx, key.Size); err != nil {
			return err
		}
		target := targets[0]
		err := peers[target].Push(ctx, key)
		switch {
		case err == nil:
			states[target] = Holds
			r.updateProgress(func(p *Progress) { p.Copied++ })
		case ctx.Err() != nil:
			return context.Cause(ctx)
		default: // the peer is full or has just failed
			r.log.Debug("copy of blob to peer failed", "peer", peers[target].Name(), "blob", key.Digest.String(), "error", err)
			states[target] = Gone
		}
	}
}
