package balance

import (
	"cmp"
	"slices"
)

// Entry is one entry that callers may use.
type Entry struct {
	Name    string
	Zone    string
	Address string // host and port for callers
	Leaving bool
}

// Order returns the addresses that a caller in zone should try, best first, without leaving entries and zones in out.
//
// Entries of the caller's own availability zone come first; equals are spread by the hash asker of the caller.
func Order(zone string, entries []Entry, out []string, asker uint64) []string {
	type ranked struct {
		address string
		far     int
		weight  uint64
	}
	list := make([]ranked, 0, len(entries))
	for _, e := range entries {
		if e.Leaving || slices.Contains(out, e.Zone) {
			continue
		}
		r := ranked{address: e.Address, weight: rendezvous(e.Name, asker)}
		if e.Zone != zone {
			r.far = 1
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(list))
	for i := range list {
		addresses[i] = list[i].address
	}
	return addresses
}
