package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"carawaypick/pkg/expert"
)

// packedMap is a map as its difference from a base that the receiver has: a map that all ranks were asked to prepare, or the
// first one, which places experts in turn. Both sides compare the hash of the map, since ranks must not get different ones
// under one version. The order of its fields is part of the protocol.
type packedMap struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	Base    int64 // version of the base, 0 for the first map
	Experts int   // per set
	Hash    uint64
	Slots   [][][]int // by set, rank and slot: distance from the expert in the same slot of the base; mostly 0, which compresses well
}

// packMap returns the difference of the map from the base with the given version.
func packMap(m, base expert.Map, version int64, experts int) packedMap {
	return packedMap{Base: version, Experts: experts, Hash: hashMap(m), Slots: shiftMap(m, base, experts, -1)}
}

// unpack returns the map, or ok false if it is not the one that was packed: the receiver has another base.
func (p packedMap) unpack(base expert.Map) (m expert.Map, ok bool) {
	if p.Experts <= 0 {
		return nil, false
	}
	m = shiftMap(p.Slots, base, p.Experts, 1)
	return m, hashMap(m) == p.Hash
}

// shiftMap adds to each expert, modulo the number of experts, the one in the same slot of the base, times sign. A slot that the
// base lacks counts as one whose expert is placed in turn.
func shiftMap(m [][][]int, base expert.Map, experts, sign int) (shifted [][][]int) {
	shifted = make([][][]int, len(m))
	for set, ranks := range m {
		shifted[set] = make([][]int, len(ranks))
		for rank, slots := range ranks {
			row := make([]int, len(slots))
			for slot, e := range slots {
				from := slot*len(ranks) + rank
				if set < len(base) && rank < len(base[set]) && slot < len(base[set][rank]) {
					from = base[set][rank][slot]
				}
				row[slot] = ((e+sign*from)%experts + experts) % experts
			}
			shifted[set][rank] = row
		}
	}
	return shifted
}

// hashMap returns a hash of the map that depends on the experts in each slot.
func hashMap(m expert.Map) uint64 {
	h := xxhash.New()
	var content []byte
	for _, ranks := range m {
		content = binary.AppendUvarint(content[:0], uint64(len(ranks)))
		for _, slots := range ranks {
			content = binary.AppendUvarint(content, uint64(len(slots)))
			for _, e := range slots {
				content = binary.AppendUvarint(content, uint64(e))
			}
		}
		_, _ = h.Write(content) // never fails
	}
	return h.Sum64()
}

// maxPreparedMaps is the number of maps that an agent keeps: the one in use, the next one, and those of switches that failed.
const maxPreparedMaps = 4

// preparedMaps are the newest maps that a rank was asked to prepare, by version.
type preparedMaps map[int64]expert.Map

// add adds a map and forgets the oldest one if there are too many.
func (p preparedMaps) add(version int64, m expert.Map) {
	p[version] = m
	for len(p) > maxPreparedMaps {
		oldest := version
		for v := range p {
			oldest = min(oldest, v)
		}
		delete(p, oldest)
	}
}

// base returns the map with the version, which is nil for the first map; ok is false if it is not known.
func (p preparedMaps) base(version int64) (m expert.Map, ok bool) {
	if version == 0 {
		return nil, true
	}
	m, ok = p[version]
	return m, ok
}
