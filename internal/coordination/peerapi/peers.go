// Package peerapi is how controllers call each other: protobuf messages over HTTP, bounded in
// size.
package peerapi

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

const MachineRequestPath = "/peer/fleet"

// Reply answers another controller.
func Reply(m proto.Message) transport.Response {
	body, err := proto.Marshal(m)
	if err != nil {
		return respond.Refuse(500, "reply failed", 0)
	}
	return transport.Response{Status: 200, Body: body}
}

// Call sends another controller a message and reads its reply. A version that does not know
// the path answers 404.
func Call(ctx context.Context, net storage.Requester, most time.Duration, addr, path string, in, reply proto.Message) error {
	body, err := proto.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	resp, err := net.Do(ctx, addr, "POST", path, body)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if resp.Status != 200 {
		return fmt.Errorf("%s: status %d", path, resp.Status)
	}
	return proto.Unmarshal(resp.Body, reply)
}
