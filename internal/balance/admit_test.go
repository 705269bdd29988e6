package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

func requireRejected(t *testing.T, err error, reason string) {
	t.Helper()
	var r *RejectedError
	require.ErrorAs(t, err, &r)
	assert.Equal(t, reason, r.Reason)
	assert.GreaterOrEqual(t, r.RetryAfter, minRetryAfter)
}

func TestAdmit(t *testing.T) {
	available := ServerState{Tokens: 500, TokenRate: 1000, Window: 4}
	t.Run("admits a request that meets its deadline", func(t *testing.T) {
		assert.NoError(t, Admit(0, AdmissionRequest{Tokens: 100, Deadline: 700}, available))
	})
	t.Run("admits a request without a deadline", func(t *testing.T) {
		assert.NoError(t, Admit(0, AdmissionRequest{Tokens: 100}, available))
	})
	cases := []struct {
		reason  string
		request AdmissionRequest
		change  func(*ServerState)
	}{
		{reason: ReasonDeadline, request: AdmissionRequest{Tokens: 100, Deadline: 600}, change: func(*ServerState) {}},
		{reason: ReasonDraining, change: func(s *ServerState) { s.Draining = true }},
		{reason: ReasonEvacuated, change: func(s *ServerState) { s.Evacuated = true }},
		{reason: ReasonDown, change: func(s *ServerState) { s.Down = true }},
		{reason: ReasonDown, change: func(s *ServerState) { s.Window = 0 }},
		{reason: ReasonQuarantined, request: AdmissionRequest{QuarantinedFor: clock.Second}, change: func(*ServerState) {}},
	}
	for _, c := range cases {
		t.Run("rejects as "+c.reason, func(t *testing.T) {
			s := available
			c.change(&s)
			requireRejected(t, Admit(0, c.request, s), c.reason)
		})
	}
}
