package balance

import (
	"cmp"
	"slices"
)

// Entry is an entry that a caller may be sent to.
type Entry struct {
	Name     string
	Zone     string
	Address  string // host and port for callers
	Draining bool
}

// OrderEntries returns the addresses for a caller in zone, best first, without draining entries and evacuated zones.
//
// Entries in the caller's availability zone come first. The order within that zone, and among the entries of all other zones,
// is by rendezvous hash of the caller.
func OrderEntries(zone string, entries []Entry, evacuated []string, callerHash uint64) []string {
	type ranked struct {
		address string
		remote  int
		weight  uint64
	}
	list := make([]ranked, 0, len(entries))
	for _, e := range entries {
		if e.Draining || slices.Contains(evacuated, e.Zone) {
			continue
		}
		r := ranked{address: e.Address, weight: rendezvousWeight(e.Name, callerHash)}
		if e.Zone != zone {
			r.remote = 1
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(list))
	for i := range list {
		addresses[i] = list[i].address
	}
	return addresses
}
