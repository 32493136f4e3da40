// Package peer holds the messages between controllers, generated from peer.proto.
package peer
