package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// engine is a sound engine in a process of its own. It ends at once with SIGTERM, as a process does.
type engine struct {
	id, address string
	slots       int
	unframed    bool          // answers have neither a length nor chunks and end with their connection
	pace        time.Duration // between two events of a stream, or work of another request

	crash func() // ends the process

	running atomic.Int64
}

// crashingPart is the part of a prompt that ends an engine as it begins to write an answer on it.
const crashingPart = "dead01"

// runEngine serves until SIGTERM; arguments are id, address, slots, framing and pace in ms.
func runEngine(arguments []string) error {
	slots, err := strconv.Atoi(arguments[2])
	if err != nil {
		return err
	}
	pace, err := strconv.Atoi(arguments[4])
	if err != nil {
		return err
	}
	e := &engine{id: arguments[0], address: arguments[1], slots: slots, unframed: arguments[3] == "unframed", pace: time.Duration(pace) * time.Millisecond}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		os.Exit(0)
	}()
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.crash = func() {
		_ = listener.Close() // a process that has ended accepts nothing
		os.Exit(1)
	}
	fmt.Println("listening")
	for {
		conn, err := listener.Accept()
		if err != nil {
			time.Sleep(time.Second) // a crash closes the listener before the process ends
			return err
		}
		go e.serve(conn)
	}
}

// serve answers the requests of a connection one after the other.
func (e *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !e.answer(conn, request, body) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (e *engine) answer(conn net.Conn, request *http.Request, body []byte) (open bool) {
	id := request.Header.Get("X-Carawaypick-Attempt-Id")
	defer e.running.Add(-1)
	running := e.running.Add(1)
	head := func(status string, more ...string) string {
		lines := append([]string{
			"HTTP/1.1 " + status, "X-Carawaypick-Attempt-Id: " + id, "X-Carawaypick-Instance-Id: " + e.id,
			fmt.Sprintf("X-Carawaypick-Instance-Load: %d,0,%d", running, e.slots),
		}, more...)
		return strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	if expected := request.Header.Get("X-Carawaypick-Expect-Instance"); expected != "" && expected != e.id {
		return write(conn, head("421 Misdirected Request", "Content-Length: 0"))
	}
	if version := request.Header.Get("X-Carawaypick-Expect-Version"); version != "" && version != "1" {
		fmt.Printf("421 id=%s version %s is expected, the weights are of version 1\n", id, version)
		return write(conn, head("421 Misdirected Request", "At-Server: "+e.id, "Content-Length: 0"))
	}
	if running > int64(e.slots) {
		return write(conn, head("503 Service Unavailable", "X-Carawaypick-Not-Executed: 1", "Content-Length: 0"))
	}
	seal := "X-Carawaypick-Response-Seal: " + fmt.Sprintf("3e1b.%s.%s", e.id, id)
	var events int
	if _, err := fmt.Sscanf(string(body[:min(len(body), 20)]), "events=%d", &events); err == nil {
		fmt.Printf("run id=%s events=%d after=%s\n", id, events, request.Header.Get("Last-Event-Id"))
		crashes := strings.Contains(request.Header.Get("X-Carawaypick-Prompt-Prefix"), crashingPart+":")
		return e.stream(conn, head, seal, request.Header.Get("Last-Event-Id"), id, events, crashes)
	}
	fmt.Printf("run id=%s bytes=%d\n", id, len(body))
	time.Sleep(e.pace)
	content := fmt.Sprintf("%s %d\n", id, len(body)) + strings.Repeat("x", 760)
	open = write(conn, head("200 OK", seal, "Content-Length: "+strconv.Itoa(len(content)))+content)
	fmt.Printf("end id=%s\n", id)
	return open
}

// stream answers with the events that follow the last one that the consumer has.
func (e *engine) stream(conn net.Conn, head func(string, ...string) string, seal, last, id string, events int, crashes bool) (open bool) {
	first, err := strconv.Atoi(last)
	if err != nil {
		first = 0
	}
	framing, chunk := "Transfer-Encoding: chunked", func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	if e.unframed {
		framing, chunk = "Connection: close", func(s string) string { return s }
	}
	if !write(conn, head("200 OK", seal, "Content-Type: text/event-stream", framing)) {
		return false
	}
	for n := first + 1; n <= events; n++ {
		time.Sleep(e.pace)
		if crashes {
			fmt.Printf("crash id=%s\n", id)
			e.crash()
		}
		if !write(conn, chunk(event(id, n))) {
			return false
		}
	}
	fmt.Printf("end id=%s\n", id)
	return !e.unframed && write(conn, "0\r\n\r\n")
}

// event returns event n of the stream that answers the request id.
func event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, strings.Repeat("t", 40))
}

func write(conn net.Conn, text string) (ok bool) {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// engineProcess is an engine as the platform sees it.
type engineProcess struct {
	id, service, address, zone string
	slots                      int
	command                    *exec.Cmd
	born                       int64
}

// startEngine starts an engine in a process of its own and registers it; number tells its id and its address.
func (in *installation) startEngine(service string, number, slots int, framing string, pace time.Duration) (p *engineProcess, err error) {
	return in.startEngineAs(service, number, number, slots, framing, pace)
}

// startEngineAs starts an engine whose id and address have numbers of their own.
func (in *installation) startEngineAs(service string, id, number, slots int, framing string, pace time.Duration) (p *engineProcess, err error) {
	p = &engineProcess{
		id: fmt.Sprintf("i-%08x", 0x7f3a91c0+id), service: service, address: fmt.Sprintf("%s.%d:8567", in.prefix, 20+number),
		zone: fmt.Sprintf("z%d", number%3), slots: slots, born: time.Now().UnixMilli(),
	}
	p.command = exec.Command(os.Args[0], "engine", p.id, p.address, strconv.Itoa(slots), framing, strconv.FormatInt(pace.Milliseconds(), 10))
	p.command.Stderr = os.Stderr
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	in.childrenMu.Lock()
	in.children = append(in.children, p.command)
	in.childrenMu.Unlock()
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return nil, fmt.Errorf("engine %s did not start", p.id)
	}
	go func() {
		for lines.Scan() {
			in.note("engine %s: %s", p.id, lines.Text())
			in.observe(p.id, lines.Text())
		}
	}()
	p.register(in, "ready")
	return p, nil
}

// register writes the engine's registration and returns the time of the ack.
func (p *engineProcess) register(in *installation, state string) time.Time {
	at := in.store.putJSON("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": state, "cold-ms": 0,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 4, "born": p.born,
	})
	in.note("store: engine %s at %s is %s", p.id, p.address, state)
	return at
}
