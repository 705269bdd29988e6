package capacity

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/proto"

	"carawaypick/internal/caller"
	"carawaypick/internal/measure"
	"carawaypick/internal/peer/peerpb"
)

const eventBytes = 6 // of one token's text

// eventRows measures the entry's own work on the events of a stream, without the network.
func eventRows() []measure.Row {
	return slope("event.time", "ns", "event in one message", batchSizes, func(batch int) float64 {
		content := message(batch)
		w := bufio.NewWriterSize(io.Discard, 1<<16)
		stream := caller.NewRelay(w, "request-1")
		return each(func(int) {
			event := &peerpb.RunEvent{}
			if err := proto.Unmarshal(content, event); err != nil {
				panic(err) // the message is this function's own
			}
			if err := stream.Pass(event.GetChunk().GetEvents()); err != nil {
				panic(err) // nothing fails to be discarded
			}
		})
	})
}

// message is one message with a batch of events.
func message(batch int) []byte {
	events := make([][]byte, batch)
	for i := range events {
		events[i] = make([]byte, eventBytes)
	}
	content, err := proto.Marshal(&peerpb.RunEvent{
		Id: "request-1", Attempt: 1,
		Kind: &peerpb.RunEvent_Chunk{Chunk: &peerpb.Chunk{Index: 1000, Events: events}},
	})
	if err != nil {
		panic(err) // the message is this function's own
	}
	return content
}
