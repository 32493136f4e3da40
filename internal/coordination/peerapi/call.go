// Package peerapi implements calls between controllers: protobuf messages of limited size over
// HTTP.
package peerapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// MachineRequestPath is the path at which partition leaders accept the cluster leader's requests
// about their machines.
const MachineRequestPath = "/peer/fleet"

// errReplyFailed is returned if a reply can't be encoded.
var errReplyFailed = apierror.New(http.StatusInternalServerError, "reply failed")

// Reply returns the response to another controller's request.
func Reply(message proto.Message) transport.Response {
	body, err := proto.Marshal(message)
	if err != nil {
		return apierror.Response(errReplyFailed)
	}
	return transport.Response{Status: 200, Body: body}
}

// Call sends a request to another controller and decodes the reply. Any status other than 200 is an
// error; 404 means that the other controller's version does not serve the path. If the error wraps
// transport.ErrNotSent, the request was not sent and will never arrive.
func Call(ctx context.Context, network storage.Requester, timeout time.Duration, addr, path string, request, reply proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request to %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := network.Do(ctx, addr, "POST", path, body)
	if err != nil {
		return fmt.Errorf("request to %s: %w", path, err)
	}
	if response.Status != 200 {
		return fmt.Errorf("request to %s: status %d", path, response.Status)
	}
	return proto.Unmarshal(response.Body, reply)
}
