package reapi

import (
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// digestIn converts a digest of the API, which names its digest function elsewhere.
func digestIn(function blobstore.Function, d *repb.Digest) blobstore.Digest {
	return blobstore.Digest{Hash: d.GetHash(), Size: d.GetSizeBytes(), Function: function}
}

// digestToProto converts a digest into one of the API.
func digestToProto(d blobstore.Digest) *repb.Digest {
	return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size}
}

// functionOf returns a call's digest function, or an error if it is not supported. A call
// that names none means SHA-256; it can't be inferred, as BLAKE3 hashes are as long.
func functionOf(function repb.DigestFunction_Value) (blobstore.Function, error) {
	switch function {
	case repb.DigestFunction_UNKNOWN, repb.DigestFunction_SHA256:
		return blobstore.SHA256, nil
	case repb.DigestFunction_BLAKE3:
		return blobstore.BLAKE3, nil
	}
	return 0, status.Errorf(codes.InvalidArgument, "digest function %s is not served; SHA256 and BLAKE3 are", function)
}

// FunctionOnWire converts a digest function into the API's.
func FunctionOnWire(function blobstore.Function) repb.DigestFunction_Value {
	if function == blobstore.BLAKE3 {
		return repb.DigestFunction_BLAKE3
	}
	return repb.DigestFunction_SHA256
}
