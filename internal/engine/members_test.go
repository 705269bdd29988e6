package engine

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
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
