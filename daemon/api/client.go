package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Defaults and limits of the client.
const (
	DefaultDialTimeout = time.Second
	DefaultTimeout     = 10 * time.Second
	// maxResponseBytes limits the body of a response. A status with 910 workers
	// takes about 200 KB.
	maxResponseBytes = 64 << 20
	statusOK         = 200
	// statusClassSize is the number of HTTP status codes in one class, such as 2xx.
	statusClassSize = 100
	// unknownLength is the content length that fasthttp reports for a body
	// without a length, which ends when the connection is closed.
	unknownLength = -2
)

// ClientConfig configures a client.
type ClientConfig struct {
	// Servers are IP addresses with a port. They are tried in this order.
	Servers []string
	// Token is the bearer token; empty sends none.
	Token string
	// DialTimeout limits one connection attempt and Timeout one exchange. 0
	// selects the default.
	DialTimeout time.Duration
	Timeout     time.Duration
}

// Client calls the HTTP API. It sends each request at most once, except that
// ApplyRules resends after a lost response. It tries the next server only if
// nothing was sent to the previous ones.
type Client struct {
	config ClientConfig
	client *fasthttp.Client
	// sleep waits between resends.
	sleep func(time.Duration)
}

// dialError is an error of a connection attempt. Nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// NewClient returns a client, or a *ConfigError.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Servers) == 0 {
		return nil, &ConfigError{Field: "server", Reason: "no server is given"}
	}
	for _, s := range config.Servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, &ConfigError{Field: "server", Value: s, Reason: "is not an IP address with a port, such as 127.0.0.1:7400"}
		}
	}
	if config.DialTimeout <= 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	c := &Client{config: config, sleep: time.Sleep}
	c.client = &fasthttp.Client{
		Dial: c.dial,
		// fasthttp must not resend requests on its own.
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
	}
	return c, nil
}

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, c.config.DialTimeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// call describes one request to the API.
type call struct {
	method  string
	path    string
	query   map[string]string
	headers map[string]string
	body    []byte
	timeout time.Duration
}

// response is a complete response of a server.
type response struct {
	server  string
	status  int
	refusal string
	body    []byte
}

// do sends a call to the first server to which a connection can be made.
func (c *Client) do(q call) (response, error) {
	var err error
	for _, server := range c.config.Servers {
		var resp response
		resp, err = c.exchange(server, q)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) {
			return resp, err
		}
	}
	return response{}, err
}

// exchange sends a call on a new connection, so that a failed write is never
// caused by a connection that the server closed while it was idle.
func (c *Client) exchange(server string, q call) (response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, server, q)
	timeout := q.timeout
	if timeout <= 0 {
		timeout = c.config.Timeout
	}
	if err := c.client.DoTimeout(req, resp, timeout); err != nil {
		return response{}, transportError(server, err)
	}
	return readResponse(server, resp)
}

// readResponse reads the body as a stream, because fasthttp does not report for
// a buffered body whether it had a length.
func readResponse(server string, resp *fasthttp.Response) (response, error) {
	defer func() { _ = resp.CloseBodyStream() }()
	status := resp.StatusCode()
	if resp.Header.ContentLength() == unknownLength {
		return response{}, &InvalidResponseError{Server: server, Status: status, Reason: "without a length, a cut-off body cannot be noticed"}
	}
	var body []byte
	var err error
	if stream := resp.BodyStream(); stream != nil {
		body, err = io.ReadAll(io.LimitReader(stream, maxResponseBytes+1))
	}
	if err != nil {
		return response{}, &LostResponseError{Server: server, Cause: err}
	}
	if len(body) > maxResponseBytes {
		return response{}, &InvalidResponseError{Server: server, Status: status, Reason: "the body is too large"}
	}
	return response{
		server:  server,
		status:  status,
		refusal: string(resp.Header.Peek(HeaderRefusal)),
		body:    body,
	}, nil
}

// fillRequest fills in the request of a call to a server.
func (c *Client) fillRequest(req *fasthttp.Request, server string, q call) {
	req.Header.SetMethod(q.method)
	req.SetRequestURI("http://" + server + q.path)
	for key, value := range q.query {
		req.URI().QueryArgs().Set(key, value)
	}
	// Sort the query parameters, so that equal calls have equal URLs in access
	// logs.
	req.URI().QueryArgs().Sort(bytes.Compare)
	if c.config.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	for key, value := range q.headers {
		req.Header.Set(key, value)
	}
	req.SetConnectionClose()
	if q.body != nil {
		req.SetBody(q.body)
	}
}

// transportError converts an error of fasthttp. It returns an UnreachableError
// if nothing was sent, and a LostResponseError otherwise.
func transportError(server string, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return &UnreachableError{Server: server, Cause: err}
	}
	return &LostResponseError{Server: server, Cause: err}
}

// callJSON sends in as a JSON body, unless it is nil, and decodes the JSON
// response into out.
func (c *Client) callJSON(q call, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &EncodeError{Cause: err}
		}
		q.body = body
		q.headers = map[string]string{"Content-Type": "application/json"}
	}
	resp, err := c.do(q)
	if err != nil {
		return err
	}
	return resp.decode(out)
}

// decode decodes the body of a 2xx response into out. For any other status, it
// returns the refusal.
func (resp response) decode(out any) error {
	if resp.status/statusClassSize != statusOK/statusClassSize {
		return resp.refusalError()
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return &InvalidResponseError{Server: resp.server, Status: resp.status, Reason: err.Error()}
	}
	return nil
}

// refusalError returns the refusal in the body as a *RefusedError, or an
// *InvalidResponseError if the body is not a refusal.
func (resp response) refusalError() error {
	var body RefusalBody
	if err := json.Unmarshal(resp.body, &body); err != nil || body.Code == "" {
		return &InvalidResponseError{Server: resp.server, Status: resp.status, Reason: "the body is not a refusal of " + strconv.Itoa(len(resp.body)) + " bytes"}
	}
	return &RefusedError{Server: resp.server, Status: resp.status, Body: body}
}
