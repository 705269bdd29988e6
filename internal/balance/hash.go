package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// rendezvousWeight returns the weight of name for key, as in highest random weight hashing (Thaler and Ravishankar, 1998).
func rendezvousWeight(name string, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(name))
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
