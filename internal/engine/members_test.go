package engine

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// TestMembersInterval guards against a group without expert maps for seconds after all processes started: the entries know
// the members some hundred ms later than the agents first ask for them.
func TestMembersInterval(t *testing.T) {
	interval := func(rank, size int, members ...Member) clock.Span {
		a := New(Settings{}, Client{}, clock.New(), log.NewNopLogger())
		a.report.Group, a.report.Rank, a.report.GroupSize = "g", rank, size
		a.group = MemberList{Members: members, Shape: testShape}
		return a.membersInterval()
	}
	t.Run("without members", func(t *testing.T) { assert.Equal(t, missingMembersInterval, interval(9, 2)) })
	t.Run("coordinator without some members", func(t *testing.T) { assert.Equal(t, missingMembersInterval, interval(0, 2, Member{})) })
	t.Run("coordinator with all members", func(t *testing.T) { assert.Equal(t, membersInterval, interval(0, 1, Member{})) })
	t.Run("other agents without some members", func(t *testing.T) { assert.Equal(t, idleMembersInterval, interval(9, 2, Member{})) })
	t.Run("engine without a group", func(t *testing.T) {
		assert.Equal(t, membersInterval, New(Settings{}, Client{}, clock.New(), log.NewNopLogger()).membersInterval())
	})
}

// TestBegunEpoch guards against a switch that starts before the steps of an earlier one have begun: only an incarnation of the
// group that began while the process ran, and that it has not coordinated yet, is free of them.
func TestBegunEpoch(t *testing.T) {
	agent := func(coordinated bool, epochs ...int64) *Agent {
		a := New(Settings{}, Client{}, clock.New(), log.NewNopLogger())
		a.group.Coordinated = coordinated
		for _, epoch := range epochs {
			a.readSucceeded(Report{Group: "g", RankStatus: expert.RankStatus{Epoch: epoch}})
		}
		return a
	}
	t.Run("began while the process ran", func(t *testing.T) { assert.Equal(t, int64(2), agent(true, 1, 2).begunEpoch(2)) })
	t.Run("began before the process", func(t *testing.T) { assert.Equal(t, expert.None, agent(true, 2).begunEpoch(2)) })
	t.Run("nothing was read", func(t *testing.T) { assert.Equal(t, expert.None, agent(true).begunEpoch(2)) })
	t.Run("without coordinated admission", func(t *testing.T) { assert.Equal(t, expert.None, agent(false, 1, 2).begunEpoch(2)) })
	t.Run("coordinated before", func(t *testing.T) {
		a := agent(true, 1, 2)
		a.directedEpoch = 2
		assert.Equal(t, expert.None, a.begunEpoch(2))
	})
}
