package reapi

import (
	"context"

	"google.golang.org/grpc/metadata"
)

// Keys of gRPC metadata.
const (
	// WorkerMetadataKey is set on calls of workers.
	WorkerMetadataKey = "micaspindle-worker"
	// ExecutionMetadataKey holds the key of the execution whose result a call records.
	ExecutionMetadataKey = "micaspindle-execution"
	// peerMetadataKey is set on calls between front ends. Such a call is answered from the local
	// store only, so that front ends never call each other in a loop.
	peerMetadataKey = "micaspindle-peer"
	// replaceMetadataKey is set when a result replaces a stored one whose blobs are lost.
	replaceMetadataKey = "micaspindle-replace"
	// probeMetadataKey is set on a FindMissingBlobs call that must not pin the blobs it finds.
	probeMetadataKey = "micaspindle-look"
)

// fromWorker reports whether a call comes from a verified worker.
func (f *FrontEnd) fromWorker(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	return len(md.Get(WorkerMetadataKey)) > 0 && f.config.IsWorker != nil && f.config.IsWorker(ctx)
}

// fromPeer reports whether a call comes from a verified peer.
func (f *FrontEnd) fromPeer(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	return len(md.Get(peerMetadataKey)) > 0 && f.config.IsPeer != nil && f.config.IsPeer(ctx)
}

// withoutPeerMark returns ctx without the metadata of a peer's call, so that the handler may
// call other peers.
func withoutPeerMark(ctx context.Context) context.Context {
	md, _ := metadata.FromIncomingContext(ctx)
	md = md.Copy()
	md.Delete(peerMetadataKey)
	return metadata.NewIncomingContext(ctx, md)
}
