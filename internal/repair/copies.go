package repair

import (
	"context"
	"slices"
	"time"

	"micaspindle/internal/blobstore"
)

// PeerState is the state of a peer with regard to a blob.
type PeerState int

// A peer holds a blob or lacks it, or it does not answer: within the grace period it is
// Silent and may only be restarting, after it Gone.
const (
	Holds PeerState = iota
	Lacks
	Silent
	Gone
)

// Plan returns the indexes of the peers that should get a copy, so that the given number of
// front ends hold the blob, this one included; short is how many copies are then missing.
// A silent peer counts as holding the blob if it should: if it is among the first peers of
// the order that are not gone.
func Plan(order []PeerState, copies int) (targets []int, short int) {
	have, place := 1, 1
	for _, state := range order {
		switch state {
		case Holds:
			have++
		case Silent:
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

// inventory is what each peer lacks of a batch of blobs, by its name. Peers that do not
// answer are not in it.
type inventory map[string]map[blobstore.Digest]bool

// state returns the state of a peer with regard to a blob, given the peers that are gone.
func (i inventory) state(peer string, digest blobstore.Digest, gone []string) PeerState {
	lacked, answered := i[peer]
	switch {
	case answered && lacked[digest]:
		return Lacks
	case answered:
		return Holds
	case slices.Contains(gone, peer):
		return Gone
	}
	return Silent
}

// makeCopies makes the missing copies of some blobs of one space.
func (r *Repairer) makeCopies(ctx context.Context, keys []blobstore.Key) error {
	inventory, err := r.askPeers(ctx, keys)
	if err != nil {
		return err
	}
	for _, key := range keys {
		if err := r.copyBlob(ctx, key, inventory); err != nil {
			return err
		}
	}
	return nil
}

// askPeers asks all peers which of the blobs they lack, and notes which peers are silent.
func (r *Repairer) askPeers(ctx context.Context, keys []blobstore.Key) (inventory, error) {
	digests := make([]blobstore.Digest, len(keys))
	for i, key := range keys {
		digests[i] = key.Digest
	}
	answers := inventory{}
	for _, peer := range r.order(keys[0].Hash) {
		missing, err := peer.Lacks(ctx, keys[0].Space, digests)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		r.noteAnswer(peer.Name(), err == nil)
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

// noteAnswer notes whether a peer has answered.
func (r *Repairer) noteAnswer(peer string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.silent, peer)
	} else if _, silent := r.silent[peer]; !silent {
		r.silent[peer] = time.Now()
	}
}

// copyBlob copies a blob to peers until there are enough copies. A peer that can't take it
// is passed over for the next one.
func (r *Repairer) copyBlob(ctx context.Context, key blobstore.Key, inventory inventory) error {
	peers := r.order(key.Hash)
	r.mu.Lock()
	gone := r.gonePeers(time.Now())
	r.mu.Unlock()
	states := make([]PeerState, len(peers))
	for i, peer := range peers {
		states[i] = inventory.state(peer.Name(), key.Digest, gone)
	}
	for {
		targets, short := Plan(states, r.settings.Copies)
		if len(targets) == 0 {
			if short > 0 {
				r.count(func(p *Progress) { p.Short++ })
			}
			return nil
		}
		if err := r.take(ctx, key.Size); err != nil {
			return err
		}
		target := targets[0]
		err := peers[target].Push(ctx, key)
		switch {
		case err == nil:
			states[target] = Holds
			r.count(func(p *Progress) { p.Copied++ })
		case ctx.Err() != nil:
			return context.Cause(ctx)
		default: // it is full, or has just died
			r.log.Debug("copy of blob to peer failed", "peer", peers[target].Name(), "blob", key.Digest.String(), "error", err)
			states[target] = Gone
		}
	}
}
