package reapi

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi/inspection"
)

// peerService serves the calls of other front ends.
type peerService struct {
	inspection.UnimplementedNeighboursServer
	frontEnd *FrontEnd
}

// checkPeer returns an error for calls that do not come from a peer.
func (s peerService) checkPeer(ctx context.Context) error {
	if !s.frontEnd.fromPeer(ctx) {
		return status.Error(codes.PermissionDenied, "front ends ask this of each other only")
	}
	return nil
}

// Note stores the interest leases that a peer sends.
func (s peerService) Note(ctx context.Context, req *inspection.NoteRequest) (*inspection.NoteReply, error) {
	if err := s.checkPeer(ctx); err != nil {
		return nil, err
	}
	now := time.Now()
	state := &s.frontEnd.executions
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, interest := range req.GetInterests() {
		job := interest.GetJob()
		_, here := state.interests[job]
		_, known := state.leases[job]
		if here || !known && len(state.leases) >= maxLeases {
			continue
		}
		state.leases[job] = interestLease{interest.GetWho(), now.Add(time.Duration(interest.GetForMs()) * time.Millisecond)}
	}
	return &inspection.NoteReply{}, nil
}

// Wanted returns those of the requested jobs that a client waits for here.
func (s peerService) Wanted(ctx context.Context, req *inspection.WantedRequest) (*inspection.WantedReply, error) {
	if err := s.checkPeer(ctx); err != nil {
		return nil, err
	}
	reply := &inspection.WantedReply{}
	state := &s.frontEnd.executions
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, job := range req.GetJobs() {
		if interest := state.interests[job]; interest != nil && interest.waiters > 0 {
			reply.Jobs = append(reply.Jobs, job)
		}
	}
	return reply, nil
}

// Known returns those of the requested executions whose results are stored here.
func (s peerService) Known(ctx context.Context, req *inspection.KnownRequest) (*inspection.KnownReply, error) {
	if err := s.checkPeer(ctx); err != nil {
		return nil, err
	}
	team, ok := s.frontEnd.config.Instances[req.GetInstance()]
	if !ok || len(req.GetExecutions()) > maxLookupsPerCall {
		return nil, status.Errorf(codes.InvalidArgument, "there is no instance %q, or more than %d executions", clip(req.GetInstance()), maxLookupsPerCall)
	}
	reply := &inspection.KnownReply{}
	for _, execution := range req.GetExecutions() {
		if s.frontEnd.results.Has(team, blobstore.Digest{Hash: execution}) {
			reply.Executions = append(reply.Executions, execution)
		}
	}
	return reply, nil
}

// Begun streams the data that was received of an interrupted write, or only its size if the
// request asks for that.
func (s peerService) Begun(req *inspection.BegunRequest, out inspection.Neighbours_BegunServer) error {
	if err := s.checkPeer(out.Context()); err != nil {
		return err
	}
	team, ok := s.frontEnd.config.Instances[req.GetInstance()]
	if !ok || req.GetOffset() < 0 {
		return status.Errorf(codes.InvalidArgument, "there is no instance %q, or the offset is below 0", clip(req.GetInstance()))
	}
	store, key := s.frontEnd.store, uploadKey(team, req.GetResource())
	size := store.ReceivedBytes(key)
	if err := out.Send(&inspection.BegunReply{Size: size}); err != nil || req.GetLook() || size == 0 {
		return err
	}
	received, err := store.OpenReceived(key, req.GetOffset())
	if err != nil {
		return statusError(err)
	}
	defer received.Close() //nolint:errcheck // only read
	buf := make([]byte, chunkSize)
	for {
		n, err := received.Read(buf)
		if n > 0 {
			if err := out.Send(&inspection.BegunReply{Size: size, Data: buf[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return statusError(err)
		}
	}
}
