package httpapi

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	maxDeadline = 24 * time.Hour
	maxKeyBytes = 180
	// forwardedHeaderPrefix is the prefix of the headers that are forwarded to
	// executors unchanged.
	forwardedHeaderPrefix = "X-Work-"
)

// runRequest runs a request on a service and responds with the status, content
// type and body of the executor's response.
func (s *Server) runRequest(ctx *fasthttp.RequestCtx, service string) {
	call, err := s.parseCall(ctx, service)
	if err != nil {
		s.respondError(ctx, err)
		return
	}
	size := int64(len(call.Body))
	defer s.inFlightBodyBytes.Add(-size)
	if s.inFlightBodyBytes.Add(size) > s.maxInFlightBodyBytes {
		s.respondRefusal(ctx, structs.RefuseNotRun(structs.CodeQueueFull, "this host holds too many bytes of request bodies"))
		return
	}
	response, err := s.node.Run(call)
	if err != nil {
		s.respondError(ctx, err)
		return
	}
	ctx.SetStatusCode(response.Status)
	if response.ContentType != "" {
		ctx.SetContentType(response.ContentType)
	}
	ctx.SetBody(response.Body)
}

// parseCall checks a request and converts it to a call. It copies the data that
// it keeps, because fasthttp reuses the request once the handler returns.
func (s *Server) parseCall(ctx *fasthttp.RequestCtx, service string) (node.Call, error) {
	requester, err := s.auth.requireRole(ctx, structs.RoleCaller)
	if err != nil {
		return node.Call{}, err
	}
	if err := rejectRepeatedHeaders(ctx); err != nil {
		return node.Call{}, err
	}
	customer, err := requester.resolveCustomer(string(ctx.Request.Header.Peek(api.HeaderCustomer)))
	if err != nil {
		return node.Call{}, err
	}
	class, err := parseClass(ctx)
	if err != nil {
		return node.Call{}, err
	}
	remaining, err := parseDeadline(ctx)
	if err != nil {
		return node.Call{}, err
	}
	nonIdempotent, err := parseNonIdempotent(ctx)
	if err != nil {
		return node.Call{}, err
	}
	key := string(ctx.Request.Header.Peek(api.HeaderKey))
	if len(key) > maxKeyBytes {
		return node.Call{}, structs.RefuseNotRun(structs.CodeInvalid, api.HeaderKey+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	return node.Call{
		Request: structs.Request{
			Service:       service,
			Customer:      customer,
			Class:         class,
			Remaining:     remaining,
			NonIdempotent: nonIdempotent,
			Key:           key,
		},
		Headers: forwardedHeaders(ctx),
		Body:    detachBody(ctx),
	}, nil
}

// minDetachedBodyBytes is the size from which a body is detached from the
// fasthttp request instead of copied. A smaller body may be stored in a much
// larger pooled buffer, which detaching would keep allocated.
const minDetachedBodyBytes = 16 << 10

func detachBody(ctx *fasthttp.RequestCtx) []byte {
	body := ctx.PostBody()
	if len(body) < minDetachedBodyBytes || cap(body) > 2*len(body) {
		return bytes.Clone(body)
	}
	return ctx.Request.SwapBody(nil)
}

// rejectRepeatedHeaders refuses a request that repeats one of the API headers.
// Only the first value would be used: with a non-idempotent header of "false"
// before one of "true", a non-idempotent request could run twice.
func rejectRepeatedHeaders(ctx *fasthttp.RequestCtx) error {
	for _, name := range []string{api.HeaderCustomer, api.HeaderClass, api.HeaderDeadline, api.HeaderNonIdempotent, api.HeaderKey} {
		if len(ctx.Request.Header.PeekAll(name)) > 1 {
			return structs.RefuseNotRun(structs.CodeInvalid, name+" is given more than once")
		}
	}
	return nil
}

func parseClass(ctx *fasthttp.RequestCtx) (structs.Class, error) {
	class := structs.Class(ctx.Request.Header.Peek(api.HeaderClass))
	switch class {
	case "":
		return structs.ClassNormal, nil
	case structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk:
		return class, nil
	}
	return "", structs.RefuseNotRun(structs.CodeInvalid, api.HeaderClass+" must be urgent, normal or bulk")
}

// parseDeadline returns the time left until the deadline. 0 selects the default
// deadline of the class.
func parseDeadline(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.Request.Header.Peek(api.HeaderDeadline))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, structs.RefuseNotRun(structs.CodeInvalid, api.HeaderDeadline+" must be from 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseNonIdempotent refuses any value other than "true", "false" and the empty
// value. If "yes" were read as false, a non-idempotent request could run twice.
func parseNonIdempotent(ctx *fasthttp.RequestCtx) (bool, error) {
	switch string(ctx.Request.Header.Peek(api.HeaderNonIdempotent)) {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, structs.RefuseNotRun(structs.CodeInvalid, api.HeaderNonIdempotent+" must be true or false")
}

func forwardedHeaders(ctx *fasthttp.RequestCtx) [][2]string {
	var headers [][2]string
	if contentType := string(ctx.Request.Header.ContentType()); contentType != "" {
		headers = append(headers, [2]string{fasthttp.HeaderContentType, contentType})
	}
	for key, value := range ctx.Request.Header.All() {
		if len(key) > len(forwardedHeaderPrefix) && string(key[:len(forwardedHeaderPrefix)]) == forwardedHeaderPrefix {
			headers = append(headers, [2]string{string(key), string(value)})
		}
	}
	return headers
}
