package archive

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
)

// A compressed export is one zstd frame and, in a skippable frame behind it,
// the SHA-256 of the first: zstd's own checksum covers the content but not each
// byte of the frame.
const (
	skippableMagic = 0x184D2A5A
	// trailerHeader is the magic number and the size of a skippable frame, four bytes each.
	trailerHeader = 8
	trailerSize   = trailerHeader + sha256.Size
	// maxDecoded bounds what a compressed export may take in memory, in bytes.
	maxDecoded = 1 << 30
)

// zstdMagic begins a zstd frame.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Compress compresses the export that write writes.
func Compress(w io.Writer, write func(io.Writer) error) error {
	hash := sha256.New()
	encoder, err := zstd.NewWriter(io.MultiWriter(w, hash))
	if err != nil {
		return fmt.Errorf("audit: compress: %w", err)
	}
	if err := write(encoder); err != nil {
		_ = encoder.Close()
		return err
	}
	if err := encoder.Close(); err != nil {
		return fmt.Errorf("audit: compress: %w", err)
	}
	_, err = w.Write(trailerOf([sha256.Size]byte(hash.Sum(nil))))
	return err
}

// trailerOf is the skippable frame with the sum of the compressed frame.
func trailerOf(sum [sha256.Size]byte) []byte {
	trailer := make([]byte, 0, trailerSize)
	trailer = binary.LittleEndian.AppendUint32(trailer, skippableMagic)
	trailer = binary.LittleEndian.AppendUint32(trailer, sha256.Size)
	return append(trailer, sum[:]...)
}

// errAltered says that a compressed export is not what was written.
var errAltered = errors.New("audit: the compressed file was altered or cut off")

// Open returns what an export holds, whether it is compressed or not.
func Open(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, zstdMagic) {
		return data, nil
	}
	if len(data) < trailerSize {
		return nil, errAltered
	}
	frame, trailer := data[:len(data)-trailerSize], data[len(data)-trailerSize:]
	if !bytes.Equal(trailer, trailerOf(sha256.Sum256(frame))) {
		return nil, errAltered
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecoded))
	if err != nil {
		return nil, fmt.Errorf("audit: open: %w", err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(frame, nil)
	if err != nil {
		return nil, errAltered
	}
	return content, nil
}
