package audit

import (
	"fmt"
	"strconv"
	"strings"
)

// Prefixes of the keys of the audit log. Controllers do not watch these keys.
const (
	// Prefix is the prefix of all keys of the audit log.
	Prefix       = "a/"
	batchPrefix  = Prefix + "r/"
	headPrefix   = Prefix + "h/"
	signerPrefix = Prefix + "k/"
)

// BatchPrefix is the prefix of the keys of a chain's batches.
func BatchPrefix(chain string) string { return batchPrefix + chain + "/" }

// BatchKey is the key of a batch. The keys of a chain sort by batch number.
func BatchKey(chain string, number uint64) string {
	return fmt.Sprintf("%s%016d", BatchPrefix(chain), number)
}

// ParseBatchKey returns the chain and number in the key of a batch.
func ParseBatchKey(key string) (chain string, number uint64, ok bool) {
	rest, ok := strings.CutPrefix(key, batchPrefix)
	slash := strings.LastIndexByte(rest, '/')
	if !ok || slash <= 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(rest[slash+1:], 10, 64)
	return rest[:slash], number, err == nil
}

func headKey(chain string) string { return headPrefix + chain }

// signerKey is the key of the certificate with a fingerprint.
func signerKey(fingerprint string) string { return signerPrefix + fingerprint }
