package reapi

import (
	"bytes"
	"fmt"
	"io"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/klauspost/compress/zstd"

	"micaspindle/internal/blobstore"
)

// maxWindowBytes limits the zstd window, and thereby the memory that a decompressor uses.
const maxWindowBytes = 32 << 20

// decompressBlob returns the content of a blob in a batch. It stops one byte past the size
// in the digest: that is enough for the store to detect the mismatch.
func decompressBlob(r *repb.BatchUpdateBlobsRequest_Request) ([]byte, error) {
	switch r.GetCompressor() {
	case repb.Compressor_IDENTITY:
		return r.GetData(), nil
	case repb.Compressor_ZSTD:
		size := r.GetDigest().GetSizeBytes()
		if size > maxBatchBytes {
			return nil, fmt.Errorf("%w: %d bytes in a batch, at most %d", blobstore.ErrTooLarge, size, maxBatchBytes)
		}
		dec, err := zstd.NewReader(bytes.NewReader(r.GetData()), zstd.WithDecoderMaxWindow(maxWindowBytes), zstd.WithDecoderConcurrency(1))
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
