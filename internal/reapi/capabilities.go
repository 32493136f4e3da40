package reapi

import (
	"context"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/bazelbuild/remote-apis/build/bazel/semver"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// GetCapabilities returns the supported features and the limits of an instance.
func (f *FrontEnd) GetCapabilities(ctx context.Context, req *repb.GetCapabilitiesRequest) (*repb.ServerCapabilities, error) {
	if _, ok := f.config.Instances[req.GetInstanceName()]; !ok {
		return nil, status.Errorf(codes.InvalidArgument, "there is no instance %q", clip(req.GetInstanceName()))
	}
	zstd := []repb.Compressor_Value{repb.Compressor_ZSTD}
	digestFunctions := []repb.DigestFunction_Value{repb.DigestFunction_SHA256, repb.DigestFunction_BLAKE3}
	return &repb.ServerCapabilities{
		CacheCapabilities: &repb.CacheCapabilities{
			DigestFunctions:                 digestFunctions,
			ActionCacheUpdateCapabilities:   &repb.ActionCacheUpdateCapabilities{UpdateEnabled: f.config.ClientResults},
			MaxBatchTotalSizeBytes:          maxBatchBytes,
			MaxCasBlobSizeBytes:             f.config.MaxBlob,
			SymlinkAbsolutePathStrategy:     repb.SymlinkAbsolutePathStrategy_DISALLOWED,
			SupportedCompressors:            zstd,
			SupportedBatchUpdateCompressors: zstd,
		},
		ExecutionCapabilities: &repb.ExecutionCapabilities{
			DigestFunction:  repb.DigestFunction_SHA256,
			DigestFunctions: digestFunctions,
			ExecEnabled:     f.jobs != nil,
			ExecutionPriorityCapabilities: &repb.PriorityCapabilities{
				Priorities: []*repb.PriorityCapabilities_PriorityRange{{MinPriority: -1, MaxPriority: 1}},
			},
		},
		LowApiVersion:  &semver.SemVer{Major: 2},
		HighApiVersion: &semver.SemVer{Major: 2, Minor: 3},
	}, nil
}
