package operator

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Bounds of asking the processes.
const (
	askTimeout = 2 * clock.Second
	maxAnswer  = 8 << 20 // bytes
	maxAsking  = 16      // calls at once
	maxReason  = 200     // bytes of a refusal's body that are shown
)

// Process is one process that can be asked, over HTTP or else over gRPC.
type Process struct {
	Name  string `json:"name"`
	Role  string `json:"role"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	HTTP  string `json:"http,omitempty"`
	Peer  string `json:"peer,omitempty"`
}

// UnreachableError says that nothing could be asked.
type UnreachableError struct {
	Address string
	Reason  string
	Status  int // HTTP status, 0 where there was no answer
}

// Error names the address and the reason.
func (e *UnreachableError) Error() string {
	return "cannot reach " + e.Address + ": " + e.Reason
}

// Client asks processes what they believe.
type Client struct {
	List  string            // base URL of the instance list, empty where Asked is set
	Asked []string          // HTTP addresses to ask instead of those in the list
	Dial  []grpc.DialOption // credentials for the processes' gRPC servers
}

// listed is the instance list as the platform gives it.
type listed struct {
	Version   uint64     `json:"version"`
	Instances []instance `json:"instances"`
}

type instance struct {
	Name  string `json:"name"`
	Role  string `json:"role"`
	Peer  string `json:"peer"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Processes returns the processes to ask: those given, or else all in the instance list.
func (c *Client) Processes() (found []Process, err error) {
	if len(c.Asked) > 0 {
		for _, a := range c.Asked {
			found = append(found, Process{Name: a, HTTP: a})
		}
		return found, nil
	}
	content, err := get(strings.TrimSuffix(c.List, "/") + "/instances")
	if err != nil {
		return nil, err
	}
	var l listed
	if err := json.Unmarshal(content, &l); err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	for _, i := range l.Instances {
		found = append(found, Process{Name: i.Name, Role: i.Role, Zone: i.Zone, State: i.State, Peer: i.Peer})
	}
	return found, nil
}

// Reply is what one process answered, or why it did not.
type Reply struct {
	Process Process `json:"process"`
	Answer  Answer  `json:"answer"`
	Fault   string  `json:"fault,omitempty"`
}

// Ask asks every process at once for its status, or about the request id key where it is not empty.
func (c *Client) Ask(ctx context.Context, processes []Process, key string) []Reply {
	p := pool.NewWithResults[Reply]().WithMaxGoroutines(maxAsking)
	for _, process := range processes {
		p.Go(func() Reply { return c.one(ctx, process, key) })
	}
	return p.Wait()
}

func (c *Client) one(ctx context.Context, process Process, key string) Reply {
	r := Reply{Process: process}
	content, err := c.content(ctx, process, key)
	if err == nil {
		err = json.Unmarshal(content, &r.Answer)
	}
	if err == nil && key == "" && r.Answer.Status == nil {
		err = errors.New("answer without status")
	}
	if err != nil {
		r.Fault = err.Error()
	}
	return r
}

func (c *Client) content(ctx context.Context, process Process, key string) ([]byte, error) {
	if process.HTTP == "" {
		return c.call(ctx, process.Peer, key)
	}
	if key != "" {
		return get("http://" + process.HTTP + PathExplain + "?key=" + url.QueryEscape(key))
	}
	return get("http://" + process.HTTP + PathStatus)
}

// call asks over gRPC, which agents and entries serve alike.
func (c *Client) call(ctx context.Context, address, key string) (content []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	connection, err := grpc.NewClient("passthrough:///"+address, c.Dial...)
	if err != nil {
		return nil, &UnreachableError{Address: address, Reason: err.Error()}
	}
	defer func() { err = errors.CombineErrors(err, connection.Close()) }()
	reply, err := peerpb.NewPeerClient(connection).Status(ctx, &peerpb.StatusRequest{Key: key})
	if err != nil {
		return nil, &UnreachableError{Address: address, Reason: err.Error()}
	}
	return reply.GetContent(), nil
}

// get returns the body of a bounded answer with status 200.
func get(address string) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(address)
	request.SetConnectionClose()
	once := fasthttp.HostClient{
		Addr:                string(request.URI().Host()),
		IsTLS:               string(request.URI().Scheme()) == "https",
		MaxResponseBodySize: maxAnswer,
	}
	if err := once.DoTimeout(request, response, askTimeout.Duration()); err != nil {
		return nil, &UnreachableError{Address: address, Reason: err.Error()}
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, &UnreachableError{Address: address, Reason: "status " + strconv.Itoa(code) + " " + string(response.Body()[:min(len(response.Body()), maxReason)]), Status: code}
	}
	return append([]byte(nil), response.Body()...), nil
}
