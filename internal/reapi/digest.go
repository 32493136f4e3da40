package reapi

import (
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// digestFromProto converts a digest of the API, which does not include the digest function.
func digestFromProto(function blobstore.Function, d *repb.Digest) blobstore.Digest {
	return blobstore.Digest{Hash: d.GetHash(), Size: d.GetSizeBytes(), Function: function}
}

// digestToProto converts a digest into a digest of the API.
func digestToProto(d blobstore.Digest) *repb.Digest {
	return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size}
}

// digestFunctionOf converts the digest function of a request. If the request sets none,
// SHA-256 is assumed, since the hashes of SHA-256 and BLAKE3 have the same length.
func digestFunctionOf(function repb.DigestFunction_Value) (blobstore.Function, error) {
	switch function {
	case repb.DigestFunction_UNKNOWN, repb.DigestFunction_SHA256:
		return blobstore.SHA256, nil
	case repb.DigestFunction_BLAKE3:
		return blobstore.BLAKE3, nil
	}
	return 0, status.Errorf(codes.InvalidArgument, "digest function %s is not served; SHA256 and BLAKE3 are", function)
}

// DigestFunctionToProto converts a digest function into a digest function of the API.
func DigestFunctionToProto(function blobstore.Function) repb.DigestFunction_Value {
	if function == blobstore.BLAKE3 {
		return repb.DigestFunction_BLAKE3
	}
	return repb.DigestFunction_SHA256
}
