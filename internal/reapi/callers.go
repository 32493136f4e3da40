package reapi

import (
	"context"

	"google.golang.org/grpc/metadata"
)

// Keys in the metadata of calls.
const (
	// WorkerMark marks workers' calls.
	WorkerMark = "micaspindle-worker"
	// ExecutionMark names the execution whose result a call records.
	ExecutionMark = "micaspindle-execution"
	// peerMark marks calls between front ends. Such a call is answered from the front
	// end's own store only, so that front ends never call each other in circles.
	peerMark = "micaspindle-peer"
	// replaceMark marks a result that replaces one whose blobs are lost.
	replaceMark = "micaspindle-replace"
	// probeMark marks a question which blobs a peer has that must not pin them, since
	// nobody relies on the answer.
	probeMark = "micaspindle-look"
)

// fromWorker reports whether a call comes from a worker.
func (f *FrontEnd) fromWorker(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	return len(md.Get(WorkerMark)) > 0 && f.config.IsWorker != nil && f.config.IsWorker(ctx)
}

// fromPeer reports whether a call comes from a peer.
func (f *FrontEnd) fromPeer(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	return len(md.Get(peerMark)) > 0 && f.config.IsPeer != nil && f.config.IsPeer(ctx)
}

// withoutPeerMark returns the context of a peer's call as if it were a client's, so that
// answering it may take calls to peers.
func withoutPeerMark(ctx context.Context) context.Context {
	md, _ := metadata.FromIncomingContext(ctx)
	md = md.Copy()
	md.Delete(peerMark)
	return metadata.NewIncomingContext(ctx, md)
}
