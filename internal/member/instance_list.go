package member

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/internal/platform"
)

// maxRemoved is the number of removed instances remembered for differences.
const maxRemoved = 4096

// Difference is what changed in the list of instances since a version, as it is passed to a peer.
type Difference struct {
	Version   uint64              `json:"version"`
	Since     uint64              `json:"since"` // 0 for a whole list
	Hash      uint64              `json:"hash"`  // of the whole list that results
	Instances []platform.Instance `json:"instances,omitempty"`
	Removed   []string            `json:"removed,omitempty"`
}

// roster holds the newest list known and when each instance changed.
type roster struct {
	list atomic.Pointer[platform.List]

	mutex   sync.Mutex
	changed map[string]uint64 // version at which each instance last changed, or a later one
	removed map[string]uint64
	horizon uint64 // lowest version since which differences are known
	hash    uint64
	encoded uint64 // version of whole
	whole   []byte // the last whole list sent, as JSON
}

func newRoster() *roster {
	r := &roster{changed: make(map[string]uint64), removed: make(map[string]uint64)}
	r.list.Store(&platform.List{})
	return r
}

// replace takes in a whole list where it is newer, and tells whether it was.
func (r *roster) replace(l platform.List) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.take(l)
}

func (r *roster) take(l platform.List) bool {
	old := r.list.Load()
	if l.Version <= old.Version {
		return false
	}
	l.Instances = slices.SortedFunc(slices.Values(l.Instances), byName)
	if old.Version == 0 {
		r.horizon = l.Version
	}
	r.mark(old, &l)
	r.hash = hashList(&l)
	r.list.Store(&l)
	return true
}

func byName(a, b platform.Instance) int {
	return strings.Compare(a.Name, b.Name)
}

// mark notes what differs between two sorted lists.
func (r *roster) mark(old, l *platform.List) {
	before := make(map[string]platform.Instance, len(old.Instances))
	for _, i := range old.Instances {
		before[i.Name] = i
	}
	for _, i := range l.Instances {
		if was, ok := before[i.Name]; !ok || was != i {
			r.changed[i.Name] = l.Version
			delete(r.removed, i.Name)
		}
		delete(before, i.Name)
	}
	for name := range before {
		delete(r.changed, name)
		r.removed[name] = l.Version
	}
	r.prune()
}

// prune forgets the oldest removals beyond their bound, and with them the differences since then.
func (r *roster) prune() {
	if len(r.removed) <= maxRemoved {
		return
	}
	versions := make([]uint64, 0, len(r.removed))
	for _, v := range r.removed {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	r.horizon = max(r.horizon, versions[len(versions)/2])
	for name, v := range r.removed {
		if v <= r.horizon {
			delete(r.removed, name)
		}
	}
}

// since encodes what a peer lacks that knows a version, or nothing where it lacks none.
func (r *roster) since(version uint64) (content []byte, err error) {
	d, ok := r.difference(version)
	if !ok {
		return nil, nil
	}
	if d.Since == 0 {
		return r.encodeWhole(d)
	}
	content, err = json.Marshal(d)
	return content, errors.Wrap(err, "encode instances")
}

// encodeWhole encodes a whole list once for all peers that ask for it.
func (r *roster) encodeWhole(d Difference) (content []byte, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.encoded == d.Version {
		return r.whole, nil
	}
	content, err = json.Marshal(d)
	r.encoded, r.whole = d.Version, content
	return content, errors.Wrap(err, "encode instances")
}

func (r *roster) difference(version uint64) (d Difference, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l := r.list.Load()
	if version >= l.Version {
		return d, false
	}
	d = Difference{Version: l.Version, Hash: r.hash}
	if version < r.horizon || version == 0 {
		d.Instances = l.Instances
		return d, true
	}
	d.Since = version
	for _, i := range l.Instances {
		if r.changed[i.Name] > version {
			d.Instances = append(d.Instances, i)
		}
	}
	for name, v := range r.removed {
		if v > version {
			d.Removed = append(d.Removed, name)
		}
	}
	return d, true
}

// errDiffers says that a difference doesn't lead to the sender's list, so that a whole one is needed.
var errDiffers = errors.New("difference leads to another list")

// apply takes in what a peer sent, and tells whether the list changed.
func (r *roster) apply(content []byte) (changed bool, err error) {
	defer func() { err = errors.Wrap(err, "apply instances") }()
	d, err := decodeDifference(content)
	if err != nil {
		return false, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.list.Load()
	if d.Version <= old.Version {
		return false, nil
	}
	if d.Since > old.Version {
		return false, errors.WithStack(errDiffers)
	}
	l := platform.List{Version: d.Version, Instances: d.Instances}
	if d.Since > 0 {
		l.Instances = merge(old.Instances, d)
	}
	if hashList(&l) != d.Hash {
		return false, errors.WithStack(errDiffers)
	}
	return r.take(l), nil
}

func decodeDifference(content []byte) (d Difference, err error) {
	if len(content) > platform.MaxAnswer {
		return d, errors.WithStack(&platform.ValueError{Field: "instances", Reason: "is too long"})
	}
	if err = json.Unmarshal(content, &d); err != nil {
		return d, errors.WithStack(&platform.ValueError{Field: "instances", Reason: err.Error()})
	}
	if len(d.Instances) > platform.MaxInstances {
		return d, errors.WithStack(&platform.ValueError{Field: "instances", Reason: "has too many entries"})
	}
	for _, i := range d.Instances {
		if err = platform.Check("instances", i); err != nil {
			return d, err
		}
	}
	return d, nil
}

func merge(old []platform.Instance, d Difference) (merged []platform.Instance) {
	gone := make(map[string]bool, len(d.Removed)+len(d.Instances))
	for _, name := range d.Removed {
		gone[name] = true
	}
	for _, i := range d.Instances {
		gone[i.Name] = true
	}
	for _, i := range old {
		if !gone[i.Name] {
			merged = append(merged, i)
		}
	}
	return append(merged, d.Instances...)
}

// hashList returns a hash that does not depend on the order of the instances.
func hashList(l *platform.List) (sum uint64) {
	var d xxhash.Digest
	for _, i := range l.Instances {
		d.Reset()
		for _, field := range []string{i.Name, i.Role, i.Peer, i.Caller, i.Zone, i.Region, i.Service, i.State} {
			_, _ = d.WriteString(field)
			_, _ = d.Write([]byte{0})
		}
		sum += d.Sum64()
	}
	return sum
}
