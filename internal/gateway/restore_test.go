package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/datagram"
	"carawaypick/internal/engine"
	"carawaypick/internal/routing"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// at returns the change at another era.
func (c Change) at(era int64) Change {
	c.Position = c.Position.WithEraOf(store.At(era, 0))
	return c
}

// newRestoredState returns the state of an entry that knew the items at revision 80 of era 1 and then read the restored
// ones at revision 70 of era 2.
func newRestoredState(now *clock.Time, known, restored []Change) *ClusterState {
	cs := newTestState(now)
	for i := range known {
		known[i] = known[i].at(1)
	}
	for i := range restored {
		restored[i] = restored[i].at(2)
	}
	cs.Replace(nil, store.At(1, 1), "store")
	cs.Apply(known, store.At(1, 80), "store")
	cs.Replace(restored, store.At(2, 70), "store")
	return cs
}

// settle lets the time pass in which an entry relies on a rewrite after a restore.
func settle(now *clock.Time, states ...*ClusterState) {
	for range 20 {
		*now = now.Add(clock.Second)
		for _, cs := range states {
			cs.RemoveExpired()
		}
	}
}

func TestRestoredConfig(t *testing.T) {
	now := clock.Time(1)
	known, restored := []Change{putChange("config", "\x05", 71)}, []Change{putChange("config", "\x03", 60)}
	t.Run("the newer version stays in force for good", func(t *testing.T) {
		cs := newRestoredState(&now, known, restored)
		settle(&now, cs)
		assert.EqualValues(t, 5, cs.ConfigVersion())
	})
	t.Run("a version at a revision that was given out before is applied", func(t *testing.T) {
		cs := newRestoredState(&now, known, restored)
		cs.Apply([]Change{putChange("config", "\x07", 71).at(2)}, store.At(2, 71), "store")
		assert.EqualValues(t, 7, cs.ConfigVersion())
		assert.Empty(t, cs.ChangesSince(store.At(2, 70)).Retained)
	})
	t.Run("peers get the newer version", func(t *testing.T) {
		cs, peer := newRestoredState(&now, known, restored), newTestState(&now)
		peer.Replace(restored, store.At(2, 70), "store")
		assert.EqualValues(t, 3, peer.ConfigVersion())
		peer.ApplyDelta(newStateMessage(cs.ChangesSince(peer.Position())).delta(), "peer")
		assert.EqualValues(t, 5, peer.ConfigVersion())
	})
	t.Run("a copy without any configuration changes nothing", func(t *testing.T) {
		assert.EqualValues(t, 5, newRestoredState(&now, known, nil).ConfigVersion())
	})
	t.Run("two restores in a row", func(t *testing.T) {
		cs := newRestoredState(&now, known, restored)
		cs.Replace([]Change{putChange("config", "\x03", 60).at(3)}, store.At(3, 65), "store")
		cs.Apply([]Change{putChange("config", "\x06", 66).at(3)}, store.At(3, 66), "store")
		assert.EqualValues(t, 6, cs.ConfigVersion())
	})
}

// TestMetricsTellStoreProgress guards against an incident in which metrics do not show whether an entry follows the store.
func TestMetricsTellStoreProgress(t *testing.T) {
	now := clock.Time(1)
	e, _ := newTestEntry(t)
	e.state = newRestoredState(&now, []Change{putChange("config", "\x05", 71)}, []Change{putChange("config", "\x03", 60)})
	now = now.Add(clock.Second)
	var text bytes.Buffer
	e.metrics.Write(&text)
	for _, line := range []string{
		"store_era 2", "store_era_age_ms 1000", "store_revision 70", "store_revision_age_ms 1000", "config_version 5",
		"config_version_age_ms 1000", "records_retained 1",
	} {
		assert.Contains(t, text.String(), "carawaypick_"+line+"\n")
	}
}

func TestRestoredServers(t *testing.T) {
	now := clock.Time(1)
	removal := Change{Key: "server/a", Position: store.At(1, 75), Removed: true}
	ready, leaving := putChange("server/a", "ready", 60), putChange("server/a", "leaving", 75)
	t.Run("one that drains is not used until the time to write again has passed", func(t *testing.T) {
		cs := newRestoredState(&now, []Change{ready, leaving}, []Change{ready})
		assert.Empty(t, usableServers(cs))
		now = now.Add(cs.retentionTimes.server - 1)
		cs.RemoveExpired()
		assert.Empty(t, usableServers(cs))
		now = now.Add(1)
		cs.RemoveExpired()
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
	t.Run("one that drains in the copy only is not used", func(t *testing.T) {
		assert.Empty(t, usableServers(newRestoredState(&now, []Change{putChange("server/a", "ready", 75)}, []Change{putChange("server/a", "leaving", 60)})))
	})
	t.Run("one that ended is not used until it registers again", func(t *testing.T) {
		cs := newRestoredState(&now, []Change{ready, removal}, []Change{ready})
		now = now.Add(removalGrace)
		cs.RemoveExpired()
		assert.Empty(t, usableServers(cs))
		cs.Apply([]Change{putChange("server/a", "ready", 71).at(2)}, store.At(2, 71), "store")
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
	t.Run("one that the copy lacks is used for the time in which it registers again", func(t *testing.T) {
		cs := newRestoredState(&now, []Change{ready}, nil)
		now = now.Add(outageGrace - 1)
		cs.RemoveExpired()
		assert.Equal(t, []string{"a"}, usableServers(cs))
		now = now.Add(1)
		cs.RemoveExpired()
		assert.Empty(t, usableServers(cs))
	})
	t.Run("the same registration stays as it is", func(t *testing.T) {
		cs := newRestoredState(&now, []Change{ready}, nil)
		cs.Apply([]Change{putChange("server/a", "ready", 71).at(2)}, store.At(2, 71), "store")
		cs.RecordMisdirected(cs.View().Servers["a"], "b", now+1)
		cs.Replace([]Change{putChange("server/a", "ready", 71).at(3)}, store.At(3, 71), "store")
		assert.Empty(t, usableServers(cs), "another server answered at its address")
	})
	t.Run("peers that missed the drain learn it", func(t *testing.T) {
		cs, peer := newRestoredState(&now, []Change{ready, leaving}, []Change{ready}), newRestoredState(&now, []Change{ready}, []Change{ready})
		assert.Equal(t, []string{"a"}, usableServers(peer))
		peer.ApplyDelta(newStateMessage(cs.ChangesSince(peer.Position())).delta(), "peer")
		assert.Empty(t, usableServers(peer))
		settle(&now, cs, peer)
		assert.Equal(t, []string{"a"}, usableServers(peer))
	})
}

func TestRetentionTimes(t *testing.T) {
	assert.Equal(t, retentionTimes{server: 5600, evacuation: 10_000, overwritten: 1500}, newRetentionTimes(Settings{}))
	assert.Equal(t, clock.Span(1250), newRetentionTimes(Settings{DrainTime: 2000}).overwritten)
	assert.Equal(t, retentionTimes{server: 3500, evacuation: 4000, overwritten: 625}, newRetentionTimes(Settings{BackendHeartbeat: 500, EvacuationTime: 4000}))
}

func TestRestoredEvacuations(t *testing.T) {
	now := clock.Time(1)
	server, evacuation := putChange("server/a", "ready", 50), putChange("out/z", "", 75)
	t.Run("a lost one stays in force until the time to write again has passed", func(t *testing.T) {
		cs := newRestoredState(&now, []Change{server, evacuation}, []Change{server})
		assert.Empty(t, usableServers(cs))
		now = now.Add(cs.retentionTimes.evacuation)
		cs.RemoveExpired()
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
	t.Run("one that is written again lasts until it ends", func(t *testing.T) {
		cs := newRestoredState(&now, []Change{server, evacuation}, []Change{server})
		cs.Apply([]Change{putChange("out/z", "", 71).at(2)}, store.At(2, 71), "store")
		settle(&now, cs)
		assert.Empty(t, usableServers(cs))
		cs.Apply([]Change{{Key: "out/z", Position: store.At(2, 72), Removed: true}}, store.At(2, 72), "store")
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
	t.Run("one that the copy brings back holds until it is taken back", func(t *testing.T) {
		ended := Change{Key: "out/z", Position: store.At(1, 76), Removed: true}
		cs := newRestoredState(&now, []Change{server, evacuation, ended}, []Change{server, putChange("out/z", "", 60)})
		assert.Empty(t, usableServers(cs))
		cs.Apply([]Change{{Key: "out/z", Position: store.At(2, 71), Removed: true}}, store.At(2, 71), "store")
		assert.Equal(t, []string{"a"}, usableServers(cs))
	})
}

// TestLateAnswersOfEarlierEra guards against answers of the store or of a peer that were under way during a restore.
func TestLateAnswersOfEarlierEra(t *testing.T) {
	now := clock.Time(1)
	cs := newRestoredState(&now, nil, []Change{putChange("server/a", "ready", 60)})
	assert.False(t, cs.Apply([]Change{putChange("server/b", "ready", 81).at(1)}, store.At(1, 81), "store"))
	assert.False(t, cs.Replace([]Change{putChange("server/b", "ready", 81).at(1)}, store.At(1, 90), "store"))
	cs.ApplyDelta(Delta{Position: store.At(0, 99), Whole: true, Changes: []Change{putChange("server/b", "ready", 99)}}, "peer of an earlier release")
	assert.False(t, cs.Apply([]Change{putChange("server/b", "ready", 5).at(3)}, store.At(3, 5), "store"), "a watch of a later era skips the records of the copy")
	assert.Equal(t, []string{"a"}, usableServers(cs))
	assert.Equal(t, store.At(2, 70), cs.Position())
}

// TestStoreWithoutEraIsMisread guards against answers without an era, as from a store of an earlier release, that are
// dropped or taken for another era.
func TestStoreWithoutEraIsMisread(t *testing.T) {
	now := clock.Time(1)
	cs := newRestoredState(&now, nil, []Change{putChange("server/a", "ready", 60)})
	r := &StoreReader{
		State: cs, Clock: clock.Manual(&now), Logger: log.NewNopLogger(),
		PeerSync: testPeerSync(true, nil),
		Protocol: Protocol{
			Range: func(context.Context, string) (StoreAnswer, error) {
				return StoreAnswer{Changes: []Change{putChange("server/b", "ready", 71)}, Position: store.At(0, 71)}, nil
			},
			Watch: func(context.Context, string, store.Position, clock.Span) (StoreAnswer, error) {
				return StoreAnswer{Changes: []Change{putChange("server/c", "ready", 72)}, Position: store.At(0, 72)}, nil
			},
		},
	}
	require.NoError(t, r.step(t.Context()))
	assert.Equal(t, store.At(2, 71), cs.Position())
	require.NoError(t, r.step(t.Context()))
	assert.Equal(t, store.At(2, 72), cs.Position())
	now = now.Add(outageGrace)
	cs.RemoveExpired()
	assert.Equal(t, []string{"b", "c"}, usableServers(cs))
}

// TestPeersOfEarlierReleaseAreMisread guards against messages between entries of two releases that are read as of another
// era.
func TestPeersOfEarlierReleaseAreMisread(t *testing.T) {
	d := Delta{
		Position: store.At(2, 70), Whole: true, Lapse: 5,
		Changes:  []Change{putChange("server/a", "ready", 60).at(2), {Key: "server/b", Position: store.At(2, 61), Fault: errors.New("no base64")}},
		Retained: []RetainedRecord{{Change: putChange("config", "\x05", 71).at(1), Over: store.At(2, 70), Remaining: 9}},
	}
	encoded, err := json.Marshal(newStateMessage(d))
	require.NoError(t, err)
	t.Run("an entry of this release reads all", func(t *testing.T) {
		var m stateMessage
		require.NoError(t, json.Unmarshal(encoded, &m))
		got := m.delta()
		assert.EqualError(t, got.Changes[1].Fault, "no base64")
		got.Changes[1].Fault = d.Changes[1].Fault
		assert.Equal(t, d, got)
	})
	t.Run("one of the earlier release reads revisions", func(t *testing.T) {
		var earlier struct {
			Revision int64
			Whole    bool
			Lapse    clock.Span
			Changes  []struct {
				Key      string
				Value    []byte
				Revision int64
				Removed  bool
				Fault    error
			}
		}
		require.NoError(t, json.Unmarshal(encoded, &earlier))
		assert.EqualValues(t, 70, earlier.Revision)
		assert.EqualValues(t, 60, earlier.Changes[0].Revision)
	})
	t.Run("its own messages are of an unknown era", func(t *testing.T) {
		var m stateMessage
		require.NoError(t, json.Unmarshal([]byte(`{"Revision":83,"Whole":true,"Lapse":0,"Changes":[{"Key":"server/a","Value":"cmVhZHk=","Revision":9,"Removed":false,"Fault":null}]}`), &m))
		assert.Equal(t, Delta{Position: store.At(0, 83), Whole: true, Changes: []Change{putChange("server/a", "ready", 9)}}, m.delta())
		position, err := parsePosition(url.Values{"after": {"83"}})
		require.NoError(t, err)
		assert.Equal(t, store.At(0, 83), position)
	})
	t.Run("an entry that knows the era does not wait for them to read the store", func(t *testing.T) {
		now := clock.Time(1)
		p := newTestPeerSets(&now, 1, nil, nil)[0]
		for _, ip := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7", "10.0.0.8", "10.0.0.9"} {
			p.handleHeartbeat(heartbeat{IP: ip, Number: 1, Revision: 83})
		}
		p.ip = "10.0.9.9"
		assert.False(t, p.ShouldReadStore(true, store.At(0, 83)))
		assert.True(t, p.ShouldReadStore(true, store.At(2, 70)))
		_, ahead := p.Ahead(store.At(2, 70), "")
		assert.False(t, ahead)
	})
}

// TestGroupShrinksDuringGrace guards against agents that stop coordinating their group, possibly while it is held, because
// the registration of a rank is missing for a moment.
func TestGroupShrinksDuringGrace(t *testing.T) {
	now := clock.Time(1000)
	rank := func(id string, rank int, expiresAt clock.Time) *routing.Server {
		return &routing.Server{ID: id, Service: "s", Address: id + ":1", Group: "g", Rank: rank, ExpiresAt: expiresAt}
	}
	ranks := func(servers ...*routing.Server) (engines []string) {
		v := &routing.View{Config: testConfig(), Servers: make(map[string]*routing.Server)}
		for _, s := range servers {
			v.Servers[s.ID] = s
		}
		for _, m := range memberList(v, memberQuery{address: "a:1"}, now).Members {
			engines = append(engines, m.Engine)
		}
		return engines
	}
	assert.Equal(t, []string{"a:1", "b:1"}, ranks(rank("a", 0, 0), rank("b", 1, now+1)), "its registration may come back")
	assert.Equal(t, []string{"a:1"}, ranks(rank("a", 0, 0), rank("b", 1, now)), "it is gone")
	assert.Equal(t, []string{"a:1", "c:1"}, ranks(rank("a", 0, 0), rank("b", 1, now+1), rank("c", 1, 0)), "another engine has its rank")
	later := rank("c", 1, 0)
	later.StartedAt = 1
	assert.Equal(t, []string{"a:1", "b:1", "c:1"}, ranks(rank("a", 0, 0), rank("b", 1, 0), later), "the one before may have crashed: the later one is preferred")
}

// TestForeignRanks guards against a group whose coordinator asks engines that another writer registered as its ranks.
func TestForeignRanks(t *testing.T) {
	now := clock.Time(1000)
	rank := func(id, address, group string, rank int, startedAt int64) *routing.Server {
		return &routing.Server{ID: id, Service: "s", Address: address, Group: group, Rank: rank, StartedAt: startedAt, SeenAt: 1}
	}
	view := func(answered map[string]string, foreign ...*routing.Server) *routing.View {
		v := &routing.View{Config: testConfig(), Servers: make(map[string]*routing.Server), Owners: routing.NewOwners(500)}
		for _, s := range append(foreign, rank("a", "a:1", "g", 0, 1), rank("b", "b:1", "g", 1, 1)) {
			v.Servers[s.ID] = s
		}
		for address, id := range answered {
			v.Owners.Prove(address, id, now-100)
		}
		v.IndexServers(now)
		return v
	}
	engines := func(v *routing.View, address string) (engines []string) {
		for _, m := range memberList(v, memberQuery{address: address}, now).Members {
			engines = append(engines, m.Engine)
		}
		return engines
	}
	answered := map[string]string{"a:1": "a", "b:1": "b"}
	t.Run("with the address of a rank", func(t *testing.T) {
		v := view(answered, rank("f", "a:1", "h", 0, 9), rank("e", "b:1", "g", 0, 9))
		assert.Equal(t, []string{"a:1", "b:1"}, engines(v, "a:1"))
		assert.Equal(t, []string{"a:1", "b:1"}, engines(v, "b:1"))
	})
	t.Run("which nothing is known of", func(t *testing.T) {
		mirror, other := rank("f", "a:1", "g", 0, 9), rank("e", "a:1", "h", 0, 9)
		mirror.Service = "mirror"
		v := view(nil, mirror, other)
		s := v.Config.Services["s"]
		s.Engine.LayerSets = 2
		v.Config.Services["s"] = s
		list := memberList(v, memberQuery{address: "a:1", group: "g"}, now)
		assert.Equal(t, 2, list.Shape.Sets)
		assert.Equal(t, "b:1", list.Members[len(list.Members)-1].Engine)
		assert.Empty(t, memberList(v, memberQuery{address: "a:1", group: "other"}, now).Members)
		assert.Empty(t, memberList(v, memberQuery{address: "a:1", group: "g", service: "other"}, now).Members)
	})
	t.Run("with an address of its own", func(t *testing.T) {
		assert.Equal(t, []string{"a:1", "b:1"}, engines(view(answered, rank("f", "f:1", "g", 1, 9)), "a:1"))
	})
	t.Run("a later incarnation has the rank once it answers", func(t *testing.T) {
		v := view(map[string]string{"a:1": "a", "f:1": "f"}, rank("f", "f:1", "g", 1, 9))
		assert.Equal(t, []string{"a:1", "f:1"}, engines(v, "a:1"))
	})
}

// TestMemberListTellsCoordination guards against agents that don't learn whether coordinated admission is on.
func TestMemberListTellsCoordination(t *testing.T) {
	e, _ := newTestEntry(t)
	view := &routing.View{Config: testConfig(), Servers: map[string]*routing.Server{"a": {ID: "a", Service: "s", Address: "a:1", Group: "g"}}}
	e.state.view.Store(view)
	assert.False(t, e.peers.memberList(memberQuery{address: "a:1"}).Coordinated, "unless the entry is told otherwise")
	config := testConfig()
	for i := range config.Routes {
		config.Routes[i].Priority = i
	}
	e.state.view.Store(&routing.View{Config: config, Servers: view.Servers})
	require.True(t, e.coordinated())
	content, err := datagram.Encode(struct{ Roster engine.MemberList }{e.peers.memberList(memberQuery{address: "a:1"})})
	require.NoError(t, err)
	var received struct{ Roster engine.MemberList }
	require.NoError(t, datagram.Decode(content, &received))
	assert.True(t, received.Roster.Coordinated)
	assert.False(t, e.peers.memberList(memberQuery{address: "b:1"}).Coordinated, "the group is not known")
}
