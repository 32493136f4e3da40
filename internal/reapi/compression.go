package reapi

import (
	"bytes"
	"fmt"
	"io"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/klauspost/compress/zstd"

	"micaspindle/internal/blobstore"
)

// maxWindow bounds the window, and so the memory, of a decompressor.
const maxWindow = 32 << 20

// decompressBlob returns the content of a blob in a batch. It decompresses at most one
// byte more than the digest's size, so that a mismatch is noticed.
func decompressBlob(r *repb.BatchUpdateBlobsRequest_Request) ([]byte, error) {
	switch r.GetCompressor() {
	case repb.Compressor_IDENTITY:
		return r.GetData(), nil
	case repb.Compressor_ZSTD:
		size := r.GetDigest().GetSizeBytes()
		if size > maxBatch {
			return nil, fmt.Errorf("%w: %d bytes in a batch, at most %d", blobstore.ErrTooLarge, size, maxBatch)
		}
		dec, err := zstd.NewReader(bytes.NewReader(r.GetData()), zstd.WithDecoderMaxWindow(maxWindow), zstd.WithDecoderConcurrency(1))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", blobstore.ErrInvalid, err)
		}
		defer dec.Close()
		data, err := io.ReadAll(io.LimitReader(dec, max(0, size)+1))
		if err != nil {
			return nil, fmt.Errorf("%w: not zstd of this size", blobstore.ErrMismatch)
		}
		return data, nil
	}
	return nil, fmt.Errorf("%w: compressor %s is not served", blobstore.ErrInvalid, r.GetCompressor())
}
