package gossip

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

// maxRemoved bounds the removed instances that are remembered for differences.
const maxRemoved = 4096

// Difference is the change of the instance list since a version, as sent to a peer.
type Difference struct {
	Version   uint64              `json:"version"`
	Since     uint64              `json:"since"` // 0 for a full list
	Hash      uint64              `json:"hash"`  // of the full list that results
	Instances []platform.Instance `json:"instances,omitempty"`
	Removed   []string            `json:"removed,omitempty"`
}

// instanceList holds the newest known instance list and the version at which each instance changed.
type instanceList struct {
	current atomic.Pointer[platform.List]

	mutex       sync.Mutex
	changedAt   map[string]uint64 // version of the list in which this process first saw each instance's last change
	removedAt   map[string]uint64
	oldestSince uint64 // lowest version since which all changes are known
	hash        uint64
	fullVersion uint64 // version of fullJSON
	fullJSON    []byte // the last full list sent, as JSON
}

func newInstanceList() *instanceList {
	r := &instanceList{changedAt: make(map[string]uint64), removedAt: make(map[string]uint64)}
	r.current.Store(&platform.List{})
	return r
}

// replace installs a full list if it is newer, and reports whether it was.
func (r *instanceList) replace(l platform.List) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set(l)
}

// set is replace with the mutex held.
func (r *instanceList) set(l platform.List) bool {
	old := r.current.Load()
	if l.Version <= old.Version {
		return false
	}
	l.Instances = slices.SortedFunc(slices.Values(l.Instances), byName)
	if old.Version == 0 {
		r.oldestSince = l.Version
	}
	r.recordChanges(old, &l)
	r.hash = hashList(&l)
	r.current.Store(&l)
	return true
}

func byName(a, b platform.Instance) int {
	return strings.Compare(a.Name, b.Name)
}

// recordChanges records the new version for each instance that differs between two lists.
func (r *instanceList) recordChanges(old, l *platform.List) {
	before := make(map[string]platform.Instance, len(old.Instances))
	for _, i := range old.Instances {
		before[i.Name] = i
	}
	for _, i := range l.Instances {
		if was, ok := before[i.Name]; !ok || was != i {
			r.changedAt[i.Name] = l.Version
			delete(r.removedAt, i.Name)
		}
		delete(before, i.Name)
	}
	for name := range before {
		delete(r.changedAt, name)
		r.removedAt[name] = l.Version
	}
	r.prune()
}

// prune drops the older half of the removals if there are more than maxRemoved, and raises oldestSince accordingly.
func (r *instanceList) prune() {
	if len(r.removedAt) <= maxRemoved {
		return
	}
	versions := make([]uint64, 0, len(r.removedAt))
	for _, v := range r.removedAt {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	r.oldestSince = max(r.oldestSince, versions[len(versions)/2])
	for name, v := range r.removedAt {
		if v <= r.oldestSince {
			delete(r.removedAt, name)
		}
	}
}

// encodeSince encodes the changes since a version, or the full list if not all changes are known. It returns
// nothing if the version is not below the current one.
func (r *instanceList) encodeSince(version uint64) (content []byte, err error) {
	d, ok := r.difference(version)
	if !ok {
		return nil, nil
	}
	if d.Since == 0 {
		return r.encodeFull(d)
	}
	content, err = json.Marshal(d)
	return content, errors.Wrap(err, "encode instances")
}

// encodeFull encodes a full list once for all peers that request it.
func (r *instanceList) encodeFull(d Difference) (content []byte, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.fullVersion == d.Version {
		return r.fullJSON, nil
	}
	content, err = json.Marshal(d)
	r.fullVersion, r.fullJSON = d.Version, content
	return content, errors.Wrap(err, "encode instances")
}

func (r *instanceList) difference(version uint64) (d Difference, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l := r.current.Load()
	if version >= l.Version {
		return d, false
	}
	d = Difference{Version: l.Version, Hash: r.hash}
	if version < r.oldestSince || version == 0 {
		d.Instances = l.Instances
		return d, true
	}
	d.Since = version
	for _, i := range l.Instances {
		if r.changedAt[i.Name] > version {
			d.Instances = append(d.Instances, i)
		}
	}
	for name, v := range r.removedAt {
		if v > version {
			d.Removed = append(d.Removed, name)
		}
	}
	return d, true
}

// errListMismatch means that a difference does not produce the sender's list, so that the full one is needed.
var errListMismatch = errors.New("difference does not match the sender's instance list")

// apply applies a difference or a full list from a peer, and reports whether the list changed.
func (r *instanceList) apply(content []byte) (changed bool, err error) {
	defer func() { err = errors.Wrap(err, "apply instances") }()
	d, err := decodeDifference(content)
	if err != nil {
		return false, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.current.Load()
	if d.Version <= old.Version {
		return false, nil
	}
	if d.Since > old.Version {
		return false, errors.WithStack(errListMismatch)
	}
	l := platform.List{Version: d.Version, Instances: d.Instances}
	if d.Since > 0 {
		l.Instances = merge(old.Instances, d)
	}
	if hashList(&l) != d.Hash {
		return false, errors.WithStack(errListMismatch)
	}
	return r.set(l), nil
}

func decodeDifference(content []byte) (d Difference, err error) {
	if len(content) > platform.MaxResponseBytes {
		return d, errors.WithStack(&platform.ValueError{Field: "instances", Reason: "is too long"})
	}
	if err = json.Unmarshal(content, &d); err != nil {
		return d, errors.WithStack(&platform.ValueError{Field: "instances", Reason: err.Error()})
	}
	if len(d.Instances) > platform.MaxInstances {
		return d, errors.WithStack(&platform.ValueError{Field: "instances", Reason: "has too many entries"})
	}
	for _, i := range d.Instances {
		if err = platform.ValidateInstance("instances", i); err != nil {
			return d, err
		}
	}
	return d, nil
}

func merge(old []platform.Instance, d Difference) (merged []platform.Instance) {
	replaced := make(map[string]bool, len(d.Removed)+len(d.Instances))
	for _, name := range d.Removed {
		replaced[name] = true
	}
	for _, i := range d.Instances {
		replaced[i.Name] = true
	}
	for _, i := range old {
		if !replaced[i.Name] {
			merged = append(merged, i)
		}
	}
	return append(merged, d.Instances...)
}

// hashList returns a hash that is independent of the order of the instances.
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
