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

// drainChecks bounds the milliseconds that a cut waits for what was written before it.
const drainChecks = 50

// TokenEvent is one event of an engine's stream.
type TokenEvent struct {
	ID    string `json:"id"`
	Index int    `json:"index"` // from 0
	Text  string `json:"text"`
}

// EndEvent ends an engine's stream.
type EndEvent struct {
	ID    string `json:"id"`
	Count int    `json:"count"` // events of the whole answer
	Hash  string `json:"hash"`  // xxhash64 of the whole text
}

// generate answers POST /generate.
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
	run := generation{engine: e, prompt: prompt, resume: resume, id: id, conn: c.Context().Conn()}
	if tracked, ok := run.conn.(*trackedConn); ok {
		run.before = tracked.events.Load()
	}
	run.stream = e.begin(run.conn, id, c.Get("Priority"), resume, prompt.Tokens)
	run.cut = e.takeCut()
	run.swap = e.takeSwap()
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set("Request-Id", id)
	c.Context().SetBodyStreamWriter(run.write)
	return nil
}

// takeCut returns the index before which this stream is cut, or -1.
func (e *Engine) takeCut() int {
	cut := -1
	e.fault.set(func(f *EngineFault) {
		if f.Cuts > 0 {
			f.Cuts--
			cut = f.Cut
		}
	})
	return cut
}

// takeSwap returns whether this stream gets the answer to another request.
func (e *Engine) takeSwap() bool {
	swap := false
	e.fault.set(func(f *EngineFault) {
		if f.Swap > 0 {
			f.Swap--
			swap = true
		}
	})
	return swap
}

// generation is the making of one stream.
type generation struct {
	engine  *Engine
	stream  *stream
	prompt  Prompt
	id      string
	resume  int
	cut     int
	swap    bool
	conn    net.Conn
	written int64 // events of this stream
	before  int64 // events that the connection had carried before
}

func (g *generation) write(w *bufio.Writer) {
	if g.run(w) {
		return
	}
	g.engine.finish(g.stream, "cut")
	g.drain()
	_ = g.conn.Close()
}

// run writes the stream and returns false where it must be cut.
func (g *generation) run(w *bufio.Writer) bool {
	id, text := g.id, g.prompt.Prompt
	if g.swap {
		id, text = "other."+g.id, "another request"
	}
	writer := NewWriter(text)
	if !g.prefill() {
		return false
	}
	digest := xxhash.New()
	for i := range g.resume {
		_, _ = digest.WriteString(writer.Text(i))
	}
	for i := g.resume; i < g.prompt.Tokens; i++ {
		if g.cut == i || !g.pause() {
			return false
		}
		event := TokenEvent{ID: id, Index: i, Text: writer.Text(i)}
		_, _ = digest.WriteString(event.Text)
		if !g.engine.sent(g.stream) || !send(w, "", event) {
			return false
		}
		g.written++
	}
	if g.cut >= g.prompt.Tokens {
		return false
	}
	g.engine.finish(g.stream, "end")
	end := EndEvent{ID: id, Count: g.prompt.Tokens, Hash: fmt.Sprintf("%016x", digest.Sum64())}
	return g.stream.reason == "end" && send(w, "end", end)
}

// prefill waits for the first token; it ends the process where the prompt is marked.
func (g *generation) prefill() bool {
	fault := g.engine.fault.get()
	held := g.engine.holdPrefix(Prefix(g.prompt.Prompt), fault)
	if fault.Crash != "" && strings.Contains(g.prompt.Prompt, fault.Crash) {
		g.engine.sleep(fault.Interval)
		g.engine.crash(g.stream)
		return false
	}
	return held || g.wait(fault.Prefill)
}

// pause waits for the next token, and for the end of a stall.
func (g *generation) pause() bool {
	fault := g.engine.fault.get()
	if !g.wait(fault.Interval + fault.Slow) {
		return false
	}
	for g.engine.fault.get().Stall {
		if !g.wait(stallInterval) {
			return false
		}
	}
	return true
}

func send(w *bufio.Writer, name string, event any) bool {
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

// wait returns false where the stream is stopped before the span has passed.
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

// drain waits until the events written so far have left through the connection.
func (g *generation) drain() {
	tracked, ok := g.conn.(*trackedConn)
	for range drainChecks {
		if !ok || tracked.events.Load() >= g.before+g.written {
			return
		}
		g.engine.sleep(clock.Millisecond)
	}
}
