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
	// maxStateSilence is the time without an answer from the state store after which this
	// controller is unhealthy if another controller reaches the state store.
	maxStateSilence = 2500 * time.Millisecond
	// reachableStateSilenceS is the time since the state store's last answer, in seconds, below
	// which another controller is considered to reach it.
	reachableStateSilenceS = 1.5
)

// handleHeartbeat handles a worker's heartbeat.
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

// health is the response body of a successful health check.
type health struct {
	Status string `msgpack:"status"`
}

// checkHealth reports whether this controller can serve requests. A controller is unhealthy if it
// can't reach the state store but other controllers can, so that users are sent to them. If no
// controller reaches the state store, all stay healthy, because unhealthy controllers would only
// delay the recovery.
func (s *Server) checkHealth(context.Context, request) (transport.Response, error) {
	healthy := false
	s.loop.Do(func() { healthy = s.Synced && !s.isolatedFromStateStore(time.Now()) })
	if !healthy {
		return transport.Response{}, errNotReady
	}
	return success(http.StatusOK, health{Status: "ok"}), nil
}

// isolatedFromStateStore reports whether the state store answers another controller but not this
// one.
func (s *Server) isolatedFromStateStore(now time.Time) bool {
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
