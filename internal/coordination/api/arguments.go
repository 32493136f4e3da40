package api

import (
	"context"
	"errors"
	"net/http"

	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// showArguments returns the arguments in a job's submission.
func (s *Server) showArguments(ctx context.Context, req request) (transport.Response, error) {
	queue, err := s.auth.AuthorizeJob(ctx, req.caller, rights.ViewArguments, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	spec, err := s.readSpec(ctx, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	// Arguments may be sensitive and are rarely read, so each read commits its own audit record.
	record := s.auth.AuditRecord(req.caller, verbViewArguments, queue, req.job)
	if _, err := s.auth.Commit(ctx, &protocol.Transaction{}, record); err != nil {
		return transport.Response{}, err
	}
	return success(http.StatusOK, spec.Arguments()), nil
}

// readSpec reads a job's record. The error is errNoSuchJob if there is none.
func (s *Server) readSpec(ctx context.Context, id string) (*protocol.JobSpec, error) {
	spec, err := s.auth.ReadSpec(ctx, id)
	if errors.Is(err, storage.ErrNotFound) {
		return nil, errNoSuchJob
	}
	return spec, err
}
