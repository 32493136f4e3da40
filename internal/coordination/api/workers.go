package api

import (
	"context"
	"net/http"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

const (
	// maxStateSilence is for how long the state service may not answer this controller
	// before it checks whether other controllers reach the state store.
	maxStateSilence = 2500 * time.Millisecond
	// reachableStateSilenceS is how long the state service may not have answered another
	// controller for that one to count as reaching it, in seconds.
	reachableStateSilenceS = 1.5
)

// handleHeartbeat answers a worker's heartbeat.
func (s *Server) handleHeartbeat(_ context.Context, req request) (transport.Response, error) {
	caller, err := s.auth.AuthenticateWorker(req.Request)
	if err != nil {
		return transport.Response{}, err
	}
	heartbeat := new(protocol.Heartbeat)
	if err := protocol.Decode(req.Body, heartbeat); err != nil {
		return transport.Response{}, apierror.Invalid(http.StatusBadRequest, err)
	}
	if err := heartbeat.Check(); err != nil {
		return transport.Response{}, apierror.Invalid(http.StatusBadRequest, err)
	}
	if err := s.auth.CheckWorker(caller, heartbeat.Machine); err != nil {
		return transport.Response{}, err
	}
	var response transport.Response
	if !s.loop.Do(func() { response = s.agents.HandleHeartbeat(heartbeat, req.Body) }) {
		return transport.Response{}, errStopping
	}
	return response, nil
}

// health is the body of the answer to a health check that passes.
type health struct {
	Status string `msgpack:"status"`
}

// checkHealth says whether requests can be taken. While the state service fails
// everybody, all controllers stay in, since leaving would only delay their
// return; one that alone can't reach it leaves the users to the others.
func (s *Server) checkHealth(context.Context, request) (transport.Response, error) {
	healthy := false
	s.loop.Do(func() { healthy = s.Synced && !s.aloneWithoutState(time.Now()) })
	if !healthy {
		return transport.Response{}, errNotReady
	}
	return success(http.StatusOK, health{Status: "ok"}), nil
}

// aloneWithoutState reports whether the state service answers another controller but not
// this one.
func (s *Server) aloneWithoutState(now time.Time) bool {
	if s.store.SinceLastAnswer() <= maxStateSilence {
		return false
	}
	for _, peer := range s.Peers {
		if peer.Alive(now) && peer.Summary.StateSilenceS < reachableStateSilenceS {
			return true
		}
	}
	return false
}
