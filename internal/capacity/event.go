package capacity

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/proto"

	"carawaypick/internal/caller"
	"carawaypick/internal/measure"
	"carawaypick/internal/peer/peerpb"
)

const eventBytes = 6 // of the text of one token

// eventRows measures the entry's processing of stream events, without the network.
func eventRows() []measure.Row {
	return slopeRows("event.time", "ns", "event in one message", batchSizes, func(batch int) float64 {
		content := encodeEvents(batch)
		w := bufio.NewWriterSize(io.Discard, 1<<16)
		stream := caller.NewStreamWriter(w, "request-1")
		return timePerRun(func(int) {
			event := &peerpb.RunEvent{}
			if err := proto.Unmarshal(content, event); err != nil {
				panic(err) // the message is generated here and valid
			}
			if err := stream.WriteEvents(event.GetChunk().GetEvents()); err != nil {
				panic(err) // writes to io.Discard do not fail
			}
		})
	})
}

// encodeEvents returns an encoded message with a batch of events.
func encodeEvents(batch int) []byte {
	events := make([][]byte, batch)
	for i := range events {
		events[i] = make([]byte, eventBytes)
	}
	content, err := proto.Marshal(&peerpb.RunEvent{
		Id: "request-1", Attempt: 1,
		Kind: &peerpb.RunEvent_Chunk{Chunk: &peerpb.Chunk{Index: 1000, Events: events}},
	})
	if err != nil {
		panic(err) // the message is generated here and valid
	}
	return content
}
