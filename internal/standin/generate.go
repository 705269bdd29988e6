package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

// maxFlushChecks is the maximum number of checks, 1 ms apart, whether the events before a cut have been sent. After the last
// check, the connection is closed even if they have not.
const maxFlushChecks = 50

// TokenEvent is one event of an engine's stream.
type TokenEvent struct {
	ID    string `json:"id"`
	Index int    `json:"index"` // from 0
	Text  string `json:"text"`
}

// EndEvent is the last event of an engine's stream.
type EndEvent struct {
	ID    string `json:"id"`
	Count int    `json:"count"` // events of the complete response
	Hash  string `json:"hash"`  // xxhash64 of the complete text
}

// generate serves POST /generate.
func (e *Engine) generate(c *fiber.Ctx) error {
	prompt, err := ParsePrompt(c.Body())
	if err != nil {
		return badRequest(err)
	}
	resume, err := strconv.Atoi(c.Get("Resume", "0"))
	if err != nil || resume < 0 || resume > prompt.Tokens {
		return fiber.NewError(fiber.StatusBadRequest, "resume out of range")
	}
	id := c.Get("Request-Id")
	g := generation{engine: e, prompt: prompt, resume: resume, id: id, conn: c.Context().Conn()}
	if tracked, ok := g.conn.(*trackedConn); ok {
		g.eventsBefore = tracked.events.Load()
	}
	g.stream = e.startStream(g.conn, id, c.Get("Priority"), resume, prompt.Tokens)
	g.cutIndex = e.nextCut()
	g.swap = e.nextSwap()
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set("Request-Id", id)
	c.Context().SetBodyStreamWriter(g.write)
	return nil
}

// nextCut returns the index of the event before which the next stream is cut, or -1, and counts down the cuts left.
func (e *Engine) nextCut() int {
	cut := -1
	e.fault.set(func(f *EngineFault) {
		if f.CutsLeft > 0 {
			f.CutsLeft--
			cut = f.CutIndex
		}
	})
	return cut
}

// nextSwap reports whether the next stream gets the response to another request, and counts down the swaps left.
func (e *Engine) nextSwap() bool {
	swap := false
	e.fault.set(func(f *EngineFault) {
		if f.SwapsLeft > 0 {
			f.SwapsLeft--
			swap = true
		}
	})
	return swap
}

// generation is the state of one response that is being generated.
type generation struct {
	engine        *Engine
	stream        *stream
	prompt        Prompt
	id            string
	resume        int  // index of the first event to send
	cutIndex      int  // index of the event before which the stream is cut, or -1
	swap          bool // send the response to another request
	conn          net.Conn
	eventsWritten int64 // number of events of this stream written so far
	eventsBefore  int64 // number of events sent on the connection before this stream
}

func (g *generation) write(w *bufio.Writer) {
	if g.run(w) {
		return
	}
	g.engine.finish(g.stream, "cut")
	g.awaitFlush()
	_ = g.conn.Close()
}

// run writes the stream and returns false if its connection must be closed.
func (g *generation) run(w *bufio.Writer) bool {
	id, text := g.id, g.prompt.Prompt
	if g.swap {
		id, text = "other."+g.id, "another request"
	}
	generator := NewTextGenerator(text)
	if !g.prefill() {
		return false
	}
	digest := xxhash.New()
	for i := range g.resume {
		_, _ = digest.WriteString(generator.Text(i))
	}
	for i := g.resume; i < g.prompt.Tokens; i++ {
		if g.cutIndex == i || !g.awaitToken() {
			return false
		}
		event := TokenEvent{ID: id, Index: i, Text: generator.Text(i)}
		_, _ = digest.WriteString(event.Text)
		if !g.engine.countEvent(g.stream) || !writeEvent(w, "", event) {
			return false
		}
		g.eventsWritten++
	}
	if g.cutIndex >= g.prompt.Tokens {
		return false
	}
	g.engine.finish(g.stream, "end")
	end := EndEvent{ID: id, Count: g.prompt.Tokens, Hash: fmt.Sprintf("%016x", digest.Sum64())}
	return g.stream.outcome == "end" && writeEvent(w, "end", end)
}

// prefill caches the prompt's prefix and waits for fault.Prefill if it wasn't cached; a prompt with the crash word crashes the
// engine instead. It returns false after a crash or if the stream or the engine ends first.
func (g *generation) prefill() bool {
	fault := g.engine.fault.get()
	cached := g.engine.cachePrefix(PrefixKey(g.prompt.Prompt), fault)
	if fault.CrashWord != "" && strings.Contains(g.prompt.Prompt, fault.CrashWord) {
		g.engine.sleep(fault.Interval)
		g.engine.crashOn(g.stream)
		return false
	}
	return cached || g.wait(fault.Prefill)
}

// awaitToken waits for the next token and for the end of an injected stall, and returns false if the stream or the engine ends first.
func (g *generation) awaitToken() bool {
	fault := g.engine.fault.get()
	if !g.wait(fault.Interval + fault.ExtraInterval) {
		return false
	}
	for g.engine.fault.get().Stall {
		if !g.wait(stallPollInterval) {
			return false
		}
	}
	return true
}

func writeEvent(w *bufio.Writer, name string, event any) bool {
	content, err := json.Marshal(event)
	if err != nil {
		return false
	}
	if name != "" {
		fmt.Fprintf(w, "event: %s\n", name)
	}
	fmt.Fprintf(w, "data: %s\n\n", content)
	return w.Flush() == nil
}

// wait waits for the span and returns false if the stream or the engine ends first.
func (g *generation) wait(span clock.Span) bool {
	timer := newTimer(span)
	defer timer.Stop()
	select {
	case <-g.engine.context.Done():
		return false
	case <-g.stream.stop:
		return false
	case <-timer.C:
		return true
	}
}

// awaitFlush waits until the events written so far have been sent on the connection, at most for maxFlushChecks checks.
func (g *generation) awaitFlush() {
	tracked, ok := g.conn.(*trackedConn)
	for range maxFlushChecks {
		if !ok || tracked.events.Load() >= g.eventsBefore+g.eventsWritten {
			return
		}
		g.engine.sleep(clock.Millisecond)
	}
}
