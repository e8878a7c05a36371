package demo

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
)

// callTimeout is longer than the longest request deadline in the demo.
const callTimeout = 40 * time.Second

// client calls the HTTP API in the same way as an external program.
type client struct {
	http *fasthttp.Client
}

func newClient() *client {
	return &client{http: &fasthttp.Client{
		ReadTimeout:               callTimeout,
		MaxConnsPerHost:           4096,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// reply is the response to an API call.
type reply struct {
	status  int
	refusal api.RefusalBody
	body    []byte
}

// refused reports whether the reply is a refusal by cranberrydrum itself.
func (r *reply) refused() bool { return r.refusal.Code != "" }

func (c *client) do(method, url, token string, headers [][2]string, body []byte) (*reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	for _, h := range headers {
		req.Header.Set(h[0], h[1])
	}
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return nil, err
	}
	r := &reply{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
	if len(resp.Header.Peek(api.HeaderRefusal)) > 0 {
		if err := json.Unmarshal(r.body, &r.refusal); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// call sends a value as JSON and decodes the response into result.
func (c *client) call(method, url, token string, value, result any) error {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			return err
		}
	}
	r, err := c.do(method, url, token, nil, body)
	if err != nil {
		return err
	}
	if r.refused() {
		return r.refusal.Refusal()
	}
	return json.Unmarshal(r.body, result)
}

// isTimeout reports whether a call failed because no response came in time, and
// not because of the connection.
func isTimeout(err error) bool { return errors.Is(err, fasthttp.ErrTimeout) }
