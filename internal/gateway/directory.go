package gateway

import (
	"net"
	"net/http"
	"os"
	"syscall"

	"carawaypick/internal/directory"
)

// fullDivisor and fullFactor make three quarters, the part of the descriptors, or of the memory for callers or answers, from which on an
// entry is full.
const (
	fullFactor  = 3
	fullDivisor = 4
)

// directoryAddresses returns the addresses of ready entries to tell the caller.
func (e *Entry) directoryAddresses(r *http.Request) (addresses []string) {
	s := e.settings.Load()
	if e.peers.Entries().Known <= directory.MaxAddresses {
		addresses = e.peers.ReadyAddresses()
		if e.ready() {
			addresses = append(addresses, s.Front)
		}
		return addresses[:min(len(addresses), directory.MaxAddresses)]
	}
	candidates := e.peers.Candidates()
	if e.ready() {
		candidates = append(candidates, directory.Candidate{Name: s.Name, Address: s.Front, Zone: s.Zone, Cores: s.Cores, Full: e.full.Load()})
	}
	asker := directory.Asker{Address: r.RemoteAddr, Zone: e.protocol.ParseDirectoryQuery(r.URL.Query())}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		asker.Address = host
	}
	return directory.Choose(candidates, asker, directory.MaxAddresses)
}

// Candidates returns the live, ready peers that the directory may name.
func (p *PeerSet) Candidates() (all []directory.Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, peer := range p.peers {
		if m := peer.lastMessage; peer.alive && m.Ready && now.Sub(peer.lastSeen) <= peerTimeout {
			all = append(all, directory.Candidate{Name: m.Name, Address: m.Front, Zone: m.Zone, Cores: m.Cores, Full: m.Full})
		}
	}
	return all
}

// updateFull records whether the entry uses more than three quarters of its descriptors or of the memory for callers or answers, where
// the directory asks for it.
func (e *Entry) updateFull() {
	if e.peers.Entries().Known <= directory.MaxAddresses {
		return
	}
	s := e.settings.Load()
	used, limit := descriptors()
	if s.Descriptors > 0 && (limit == 0 || s.Descriptors < limit) {
		limit = s.Descriptors
	}
	full := exceedsThreeQuarters(int64(used), int64(limit)) || e.memory.isFull()
	if e.full.Swap(full) != full {
		e.limitedLogger.Log("full", "msg", "entry is full or has room again", "full", full, "descriptors", used, "limit", limit, "front", e.memory.front.Usage().Used, "answers", e.memory.answers.Usage().Used)
		e.peers.Notify()
	}
}

// exceedsThreeQuarters reports whether used is more than three quarters of limit; a limit of 0 is unknown.
func exceedsThreeQuarters(used, limit int64) bool {
	return limit > 0 && used*fullDivisor > limit*fullFactor
}

// descriptors returns how many file descriptors the process has open and may have open, 0 for each that is unknown.
func descriptors() (used, limit int) {
	if dir, err := os.Open("/proc/self/fd"); err == nil {
		names, _ := dir.Readdirnames(-1) // a partial list is still a lower bound
		used = len(names)
		_ = dir.Close()
	}
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil {
		limit = int(min(r.Cur, 1<<30))
	}
	return used, limit
}
