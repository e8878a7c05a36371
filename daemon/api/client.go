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

// Defaults and bounds of the client.
const (
	DefaultDialTimeout = time.Second
	DefaultTimeout     = 10 * time.Second
	// maxAnswerBytes bounds an answer; a status with 910 workers takes about 200 KB.
	maxAnswerBytes = 64 << 20
	statusOK       = 200
	statusClasses  = 100
	// withoutLength is the value with which the library marks a body that
	// ends with the connection.
	withoutLength = -2
)

// ClientConfig says which servers a client talks to.
type ClientConfig struct {
	// Servers are IP addresses with a port, tried in this order.
	Servers []string
	Token   string
	// DialTimeout and Timeout are the bounds of one connection attempt and of
	// one exchange; 0 stands for the defaults.
	DialTimeout time.Duration
	Timeout     time.Duration
}

// Client calls the HTTP API. It sends each request at most once, except that
// ApplyRules resends after a lost answer, and goes on to the next server only
// while nothing was sent.
type Client struct {
	config ClientConfig
	client *fasthttp.Client
	// pause waits between resends.
	pause func(time.Duration)
}

// dialError marks errors that happened before anything was sent.
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
	c := &Client{config: config, pause: time.Sleep}
	c.client = &fasthttp.Client{
		Dial: c.dial,
		// One attempt: the library must not resend by itself.
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

// call is one exchange.
type call struct {
	method  string
	path    string
	query   map[string]string
	headers map[string]string
	body    []byte
	timeout time.Duration
}

// answer is a complete response.
type answer struct {
	server  string
	status  int
	refusal string
	body    []byte
}

// do sends a call to the first server that can be connected to.
func (c *Client) do(q call) (answer, error) {
	var err error
	for _, server := range c.config.Servers {
		var a answer
		a, err = c.exchange(server, q)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) {
			return a, err
		}
	}
	return answer{}, err
}

// exchange sends a call on a connection of its own, so that a failed write
// can never be due to a connection that the server closed while it was idle.
func (c *Client) exchange(server string, q call) (answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, server, q)
	timeout := q.timeout
	if timeout <= 0 {
		timeout = c.config.Timeout
	}
	if err := c.client.DoTimeout(req, resp, timeout); err != nil {
		return answer{}, transportError(server, err)
	}
	return readAnswer(server, resp)
}

// readAnswer reads the body as a stream, because the library does not tell
// afterwards whether a buffered body came with a length.
func readAnswer(server string, resp *fasthttp.Response) (answer, error) {
	defer func() { _ = resp.CloseBodyStream() }()
	status := resp.StatusCode()
	if resp.Header.ContentLength() == withoutLength {
		return answer{}, &AnswerError{Server: server, Status: status, Reason: "without a length, a cut-off body cannot be noticed"}
	}
	var body []byte
	var err error
	if stream := resp.BodyStream(); stream != nil {
		body, err = io.ReadAll(io.LimitReader(stream, maxAnswerBytes+1))
	}
	if err != nil {
		return answer{}, &LostError{Server: server, Cause: err}
	}
	if len(body) > maxAnswerBytes {
		return answer{}, &AnswerError{Server: server, Status: status, Reason: "the body is too large"}
	}
	return answer{
		server:  server,
		status:  status,
		refusal: string(resp.Header.Peek(HeaderRefusal)),
		body:    body,
	}, nil
}

func (c *Client) fill(req *fasthttp.Request, server string, q call) {
	req.Header.SetMethod(q.method)
	req.SetRequestURI("http://" + server + q.path)
	for key, value := range q.query {
		req.URI().QueryArgs().Set(key, value)
	}
	// Equal calls have equal addresses in access logs.
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

func transportError(server string, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return &UnreachableError{Server: server, Cause: err}
	}
	return &LostError{Server: server, Cause: err}
}

// callJSON sends a JSON body, if there is one, and reads a JSON answer.
func (c *Client) callJSON(q call, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &EncodeError{Cause: err}
		}
		q.body = body
		q.headers = map[string]string{"Content-Type": "application/json"}
	}
	a, err := c.do(q)
	if err != nil {
		return err
	}
	return a.decode(out)
}

// decode reads the answer, or returns it as a refusal.
func (a answer) decode(out any) error {
	if a.status/statusClasses != statusOK/statusClasses {
		return a.refused()
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return &AnswerError{Server: a.server, Status: a.status, Reason: err.Error()}
	}
	return nil
}

func (a answer) refused() error {
	var body RefusalBody
	if err := json.Unmarshal(a.body, &body); err != nil || body.Code == "" {
		return &AnswerError{Server: a.server, Status: a.status, Reason: "the body is not a refusal of " + strconv.Itoa(len(a.body)) + " bytes"}
	}
	return &RefusedError{Server: a.server, Status: a.status, Body: body}
}
