package capacity

import (
	"fmt"
	"strings"

	"carawaypick/internal/measure"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// stateRows measures the folded state of the tickets by teams.
func stateRows() []measure.Row {
	return slope("state.memory", "bytes", "team", teamSizes, func(teams int) float64 {
		content := teamTicket(teams)
		return held(func() any {
			b := ticket.NewBook(0, clock.Minute)
			if _, err := b.Add(0, []byte(content), clock.Hour); err != nil {
				panic(err) // the ticket is this function's own
			}
			b.Advance(clock.Time(clock.Hour))
			return b
		})
	})
}

// teamTicket returns ticket 1 with the shares of all teams.
func teamTicket(teams int) string {
	shares := make([]string, 0, teams)
	for i := range teams {
		shares = append(shares, fmt.Sprintf(`"team-%04d":{"share":%d,"priority":5,"limit":100000}`, i, 1+i%9))
	}
	return `{"number":1,"author":"ana","objects":{"teams":{` + strings.Join(shares, ",") + `}}}`
}
