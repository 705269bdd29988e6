package capacity

import (
	"fmt"
	"strings"

	"carawaypick/internal/measure"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// stateRows measures how the memory of the ticket store grows with the number of teams.
func stateRows() []measure.Row {
	return slopeRows("state.memory", "bytes", "team", teamSizes, func(teams int) float64 {
		content := teamTicket(teams)
		return retainedBytes(func() any {
			store := ticket.NewStore(0, clock.Minute)
			if _, err := store.Add(0, []byte(content), clock.Hour); err != nil {
				panic(err) // the ticket is generated here and valid
			}
			store.Advance(clock.Time(clock.Hour))
			return store
		})
	})
}

// teamTicket returns ticket 1, which sets the shares of all teams.
func teamTicket(teams int) string {
	shares := make([]string, 0, teams)
	for i := range teams {
		shares = append(shares, fmt.Sprintf(`"team-%04d":{"share":%d,"priority":5,"limit":100000}`, i, 1+i%9))
	}
	return `{"number":1,"author":"ana","objects":{"teams":{` + strings.Join(shares, ",") + `}}}`
}
