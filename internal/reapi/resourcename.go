package reapi

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// resource is a parsed resource name of the ByteStream service.
type resource struct {
	instance   string
	digest     blobstore.Digest
	compressed bool
}

// parseResource parses a name of the form
// {instance}/[uploads/{uuid}/]{blobs|compressed-blobs/zstd}/[blake3/]{hash}/{size}.
// The uploads segments occur in the names of writes only.
func parseResource(name string, write bool) (resource, error) {
	malformed := status.Errorf(codes.InvalidArgument, "%q names no blob", clip(name))
	segments := strings.Split(name, "/")
	if slices.Contains(segments, "logstreams") {
		return resource{}, status.Error(codes.Unimplemented, "log streams are not served: a result's stdout and stderr are blobs")
	}
	start := slices.IndexFunc(segments, func(segment string) bool {
		if write {
			return segment == "uploads"
		}
		return segment == "blobs" || segment == "compressed-blobs"
	})
	if start < 0 {
		return resource{}, malformed
	}
	r := resource{instance: strings.Join(segments[:start], "/")}
	rest := segments[start:]
	if write {
		if len(rest) < 3 || rest[1] == "" {
			return resource{}, malformed
		}
		rest = rest[2:]
	}
	switch {
	case rest[0] == "blobs":
		rest = rest[1:]
	case rest[0] == "compressed-blobs" && len(rest) > 1 && rest[1] == "zstd":
		r.compressed = true
		rest = rest[2:]
	default:
		return resource{}, malformed
	}
	// The API allows clients to append segments to the name of a write.
	digest, length, ok := parseDigest(rest)
	if !ok || !write && len(rest) != length {
		return resource{}, malformed
	}
	if err := digest.Check(); err != nil {
		return resource{}, statusError(err)
	}
	r.digest = digest
	return r, nil
}

// parseDigest parses the leading segments [blake3/]{hash}/{size} and returns their number.
func parseDigest(segments []string) (digest blobstore.Digest, length int, ok bool) {
	digest.Function = blobstore.SHA256
	if len(segments) > 0 {
		if function, named := blobstore.FunctionNamed(segments[0]); named {
			digest.Function = function
			segments = segments[1:]
			length++
		}
	}
	if len(segments) < 2 {
		return digest, length, false
	}
	digest.Hash = segments[0]
	if _, err := fmt.Sscanf(segments[1], "%d", &digest.Size); err != nil || fmt.Sprint(digest.Size) != segments[1] {
		return digest, length, false
	}
	return digest, length + 2, true
}

// maxClippedBytes is the maximum length of text from a client that an error quotes.
const maxClippedBytes = 80

// clip shortens text from a client for use in an error.
func clip(s string) string { return s[:min(len(s), maxClippedBytes)] }
