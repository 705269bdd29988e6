package engine

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// TestPrepareRetries guards against a group that uses an outdated map for another half second because one local engine left
// a prepare command unanswered.
func TestPrepareRetries(t *testing.T) {
	const local, remote = "10.0.0.1:1", "10.0.0.2:1"
	// send returns the reply to a command that the engine leaves unanswered the given number of times, and the number of tries.
	send := func(coordinated bool, address, op string, unanswered int, last expert.Reply) (r expert.Reply, tries int) {
		client := Client{SendCommand: func(ctx context.Context, _ string, _ expert.Command) (expert.Reply, error) {
			tries++
			if tries <= unanswered {
				<-ctx.Done()
				return expert.ReplyLost, errors.Wrap(ctx.Err(), "no answer")
			}
			return last, nil
		}}
		a := New(Settings{Engine: local}, client, clock.New(), log.NewNopLogger())
		a.group.Coordinated = coordinated
		reply := a.sendCommand(context.Background(), address, expert.Command{Op: op, Map: expert.Map{}})
		return reply.Reply, tries
	}
	for _, c := range []struct {
		name        string
		coordinated bool
		address, op string
		unanswered  int
		last, reply expert.Reply
		tries       int
	}{
		{"sent again until it is answered", true, local, expert.OpPrepare, 2, expert.ReplyDone, expert.ReplyDone, 3},
		{"a refusal at once is a refusal", true, local, expert.OpPrepare, 0, expert.ReplyRefused, expert.ReplyRefused, 1},
		{"a refusal after an unanswered try tells nothing", true, local, expert.OpPrepare, 1, expert.ReplyRefused, expert.ReplyLost, 2},
		{"other commands are sent once", true, local, expert.OpArm, 1, expert.ReplyDone, expert.ReplyLost, 1},
		{"commands to other instances are sent once", true, remote, expert.OpPrepare, 1, expert.ReplyDone, expert.ReplyLost, 1},
		{"other deployments send once", false, local, expert.OpPrepare, 1, expert.ReplyDone, expert.ReplyLost, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply, tries := send(c.coordinated, c.address, c.op, c.unanswered, c.last)
			assert.Equal(t, c.reply, reply)
			assert.Equal(t, c.tries, tries)
		})
	}
}
