package api

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// maxAuditBodyBytes is the maximum size of the audit batches in a response.
const maxAuditBodyBytes = 32 << 10

// auditBatches is the response body with batches of an audit chain.
type auditBatches struct {
	Batches []audit.NumberedBatch `msgpack:"batches"`
}

// readAudit serves the audit log to administrators.
func (s *Server) readAudit(ctx context.Context, req request) (transport.Response, error) {
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return transport.Response{}, errBadQuery
	}
	switch req.Path {
	case "/audit/seal":
		return s.sealAudit(ctx, req)
	case "/audit/batches":
		return s.readAuditBatches(ctx, query)
	}
	return transport.Response{}, errNoSuchPath
}

func (s *Server) sealAudit(ctx context.Context, req request) (transport.Response, error) {
	seal, err := s.auth.SealAudit(ctx)
	if err != nil {
		return transport.Response{}, err
	}
	s.auth.AuditRead(req.caller, verbReadAudit, rights.Queue{}, "")
	return success(http.StatusOK, seal), nil
}

func (s *Server) readAuditBatches(ctx context.Context, query url.Values) (transport.Response, error) {
	chain := query.Get("chain")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil || chain == "" {
		return transport.Response{}, apierror.New(http.StatusBadRequest, "chain and after are needed")
	}
	batches, err := s.auth.AuditBatches(ctx, chain, after, maxAuditBodyBytes)
	if err != nil {
		return transport.Response{}, err
	}
	return success(http.StatusOK, auditBatches{Batches: batches}), nil
}
