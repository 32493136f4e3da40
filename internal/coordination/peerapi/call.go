// Package peerapi is how controllers call each other: protobuf messages over HTTP, bounded in
// size.
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

// MachineRequestPath is where a partition leader takes the cluster leader's requests about its
// machines.
const MachineRequestPath = "/peer/fleet"

// errReplyFailed: a reply can't be encoded.
var errReplyFailed = apierror.New(http.StatusInternalServerError, "reply failed")

// Reply makes the response to another controller's request.
func Reply(message proto.Message) transport.Response {
	body, err := proto.Marshal(message)
	if err != nil {
		return apierror.Response(errReplyFailed)
	}
	return transport.Response{Status: 200, Body: body}
}

// Call sends another controller a request and decodes its reply, within the timeout. A version
// that does not know the path replies with status 404, which is an error as any but 200. An
// error that wraps transport.ErrNotSent proves that the request never arrives.
func Call(ctx context.Context, network storage.Requester, timeout time.Duration, addr, path string, request, reply proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := network.Do(ctx, addr, "POST", path, body)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if response.Status != 200 {
		return fmt.Errorf("%s: status %d", path, response.Status)
	}
	return proto.Unmarshal(response.Body, reply)
}
