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

// Bounds of queries to processes.
const (
	callTimeout        = 2 * clock.Second
	maxResponseBytes   = 8 << 20 // longest response body
	maxConcurrentCalls = 16      // processes queried at once
	maxReasonBytes     = 200     // longest part of an error response's body that is shown
)

// Process is one process to query, over HTTP if HTTP is set, otherwise over gRPC.
type Process struct {
	Name  string `json:"name"`
	Role  string `json:"role"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	HTTP  string `json:"http,omitempty"`
	Peer  string `json:"peer,omitempty"`
}

// UnreachableError reports that an address gave no usable response.
type UnreachableError struct {
	Address string
	Reason  string
	Status  int // HTTP status, 0 if there was no response
}

// Error returns the address and the reason.
func (e *UnreachableError) Error() string {
	return "cannot reach " + e.Address + ": " + e.Reason
}

// Client queries processes for their status and decisions.
type Client struct {
	ListURL     string            // base URL of the instance list, unused if Addresses is set
	Addresses   []string          // HTTP addresses to query instead of those in the list
	DialOptions []grpc.DialOption // credentials for the gRPC servers of the processes
}

// instanceList is the instance list as the platform returns it.
type instanceList struct {
	Version   uint64           `json:"version"`
	Instances []listedInstance `json:"instances"`
}

type listedInstance struct {
	Name  string `json:"name"`
	Role  string `json:"role"`
	Peer  string `json:"peer"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Processes returns the processes at Addresses or, if there are none, all in the instance list.
func (c *Client) Processes() (found []Process, err error) {
	if len(c.Addresses) > 0 {
		for _, a := range c.Addresses {
			found = append(found, Process{Name: a, HTTP: a})
		}
		return found, nil
	}
	content, err := httpGet(strings.TrimSuffix(c.ListURL, "/") + "/instances")
	if err != nil {
		return nil, err
	}
	var l instanceList
	if err := json.Unmarshal(content, &l); err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	for _, i := range l.Instances {
		found = append(found, Process{Name: i.Name, Role: i.Role, Zone: i.Zone, State: i.State, Peer: i.Peer})
	}
	return found, nil
}

// Reply is the response of one process, or the reason why there is none.
type Reply struct {
	Process  Process  `json:"process"`
	Response Response `json:"answer"`
	Error    string   `json:"fault,omitempty"`
}

// Query queries the processes in parallel for their status or, if key is not empty, for their decisions on that request id.
func (c *Client) Query(ctx context.Context, processes []Process, key string) []Reply {
	p := pool.NewWithResults[Reply]().WithMaxGoroutines(maxConcurrentCalls)
	for _, process := range processes {
		p.Go(func() Reply { return c.queryOne(ctx, process, key) })
	}
	return p.Wait()
}

func (c *Client) queryOne(ctx context.Context, process Process, key string) Reply {
	r := Reply{Process: process}
	content, err := c.fetch(ctx, process, key)
	if err == nil {
		err = json.Unmarshal(content, &r.Response)
	}
	if err == nil && key == "" && r.Response.Status == nil {
		err = errors.New("answer without status")
	}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

func (c *Client) fetch(ctx context.Context, process Process, key string) ([]byte, error) {
	if process.HTTP == "" {
		return c.fetchGRPC(ctx, process.Peer, key)
	}
	if key != "" {
		return httpGet("http://" + process.HTTP + PathExplain + "?key=" + url.QueryEscape(key))
	}
	return httpGet("http://" + process.HTTP + PathStatus)
}

// fetchGRPC queries over gRPC, which both agents and entries serve.
func (c *Client) fetchGRPC(ctx context.Context, address, key string) (content []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	connection, err := grpc.NewClient("passthrough:///"+address, c.DialOptions...)
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

// httpGet returns a copy of the response body; it returns an UnreachableError if there is no response or its status is not 200.
func httpGet(address string) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(address)
	request.SetConnectionClose()
	client := fasthttp.HostClient{
		Addr:                string(request.URI().Host()),
		IsTLS:               string(request.URI().Scheme()) == "https",
		MaxResponseBodySize: maxResponseBytes,
	}
	if err := client.DoTimeout(request, response, callTimeout.Duration()); err != nil {
		return nil, &UnreachableError{Address: address, Reason: err.Error()}
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, &UnreachableError{Address: address, Reason: "status " + strconv.Itoa(code) + " " + string(response.Body()[:min(len(response.Body()), maxReasonBytes)]), Status: code}
	}
	return append([]byte(nil), response.Body()...), nil
}
