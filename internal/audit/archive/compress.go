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

// A compressed export is a zstd frame followed by a skippable frame with the SHA-256 hash of
// the first. The checksum of zstd is not enough: it covers the content but not every byte of
// the frame.
const (
	skippableMagic = 0x184D2A5A
	// trailerHeader is the size of the magic number and the length of a skippable frame, four
	// bytes each.
	trailerHeader = 8
	trailerSize   = trailerHeader + sha256.Size
	// maxDecodedBytes is the maximum size of a compressed export after decompression.
	maxDecodedBytes = 1 << 30
)

// zstdMagic is the magic number at the beginning of a zstd frame.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Compress calls write and writes its output to w in compressed form.
func Compress(w io.Writer, write func(io.Writer) error) error {
	hash := sha256.New()
	encoder, err := zstd.NewWriter(io.MultiWriter(w, hash))
	if err != nil {
		return fmt.Errorf("audit: cannot compress export: %w", err)
	}
	if err := write(encoder); err != nil {
		_ = encoder.Close()
		return err
	}
	if err := encoder.Close(); err != nil {
		return fmt.Errorf("audit: cannot compress export: %w", err)
	}
	_, err = w.Write(trailerOf([sha256.Size]byte(hash.Sum(nil))))
	return err
}

// trailerOf returns the skippable frame with the hash of the compressed frame.
func trailerOf(sum [sha256.Size]byte) []byte {
	trailer := make([]byte, 0, trailerSize)
	trailer = binary.LittleEndian.AppendUint32(trailer, skippableMagic)
	trailer = binary.LittleEndian.AppendUint32(trailer, sha256.Size)
	return append(trailer, sum[:]...)
}

// errAltered means that a compressed export was altered or truncated.
var errAltered = errors.New("audit: the compressed file was altered or truncated")

// Open returns the content of an export, which may be compressed or not.
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
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		return nil, fmt.Errorf("audit: cannot decompress export: %w", err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(frame, nil)
	if err != nil {
		return nil, errAltered
	}
	return content, nil
}
