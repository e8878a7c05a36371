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
	// passedPrefix marks headers that executors receive unchanged.
	passedPrefix = "X-Work-"
)

// runRequest sends a request to a service and answers with the whole answer of
// the executor.
func (s *Server) runRequest(ctx *fasthttp.RequestCtx, service string) {
	call, err := s.readCall(ctx, service)
	if err != nil {
		s.fail(ctx, err)
		return
	}
	size := int64(len(call.Body))
	defer s.bodyBytes.Add(-size)
	if s.bodyBytes.Add(size) > s.maxBodyBytes {
		s.refuse(ctx, structs.NotRun(structs.CodeQueueFull, "this host holds too many bytes of request bodies"))
		return
	}
	response, err := s.node.Run(call)
	if err != nil {
		s.fail(ctx, err)
		return
	}
	ctx.SetStatusCode(response.Status)
	if response.ContentType != "" {
		ctx.SetContentType(response.ContentType)
	}
	ctx.SetBody(response.Body)
}

// readCall copies what it needs: the library reuses the request once the
// handler returns.
func (s *Server) readCall(ctx *fasthttp.RequestCtx, service string) (node.Call, error) {
	who, err := s.auth.require(ctx, structs.RoleCaller)
	if err != nil {
		return node.Call{}, err
	}
	if err := checkRepeated(ctx); err != nil {
		return node.Call{}, err
	}
	customer, err := who.customerOf(string(ctx.Request.Header.Peek(api.HeaderCustomer)))
	if err != nil {
		return node.Call{}, err
	}
	class, err := readClass(ctx)
	if err != nil {
		return node.Call{}, err
	}
	remaining, err := readDeadline(ctx)
	if err != nil {
		return node.Call{}, err
	}
	nonIdempotent, err := readNonIdempotent(ctx)
	if err != nil {
		return node.Call{}, err
	}
	key := string(ctx.Request.Header.Peek(api.HeaderKey))
	if len(key) > maxKeyBytes {
		return node.Call{}, structs.NotRun(structs.CodeInvalid, api.HeaderKey+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
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
		Headers: passedHeaders(ctx),
		Body:    takeBody(ctx),
	}, nil
}

// ownedBodyBytes is the size from which a body is taken from the library
// instead of copied. Smaller ones may lie in a large buffer of its pool.
const ownedBodyBytes = 16 << 10

func takeBody(ctx *fasthttp.RequestCtx) []byte {
	body := ctx.PostBody()
	if len(body) < ownedBodyBytes || cap(body) > 2*len(body) {
		return bytes.Clone(body)
	}
	return ctx.Request.SwapBody(nil)
}

// checkRepeated refuses headers that are given more than once. Only the first
// would count, and "false" before "true" could run a charge twice.
func checkRepeated(ctx *fasthttp.RequestCtx) error {
	for _, name := range []string{api.HeaderCustomer, api.HeaderClass, api.HeaderDeadline, api.HeaderNonIdempotent, api.HeaderKey} {
		if len(ctx.Request.Header.PeekAll(name)) > 1 {
			return structs.NotRun(structs.CodeInvalid, name+" is given more than once")
		}
	}
	return nil
}

func readClass(ctx *fasthttp.RequestCtx) (structs.Class, error) {
	class := structs.Class(ctx.Request.Header.Peek(api.HeaderClass))
	switch class {
	case "":
		return structs.ClassNormal, nil
	case structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk:
		return class, nil
	}
	return "", structs.NotRun(structs.CodeInvalid, api.HeaderClass+" must be urgent, normal or bulk")
}

// readDeadline returns the time to the deadline; 0 selects the default of the class.
func readDeadline(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.Request.Header.Peek(api.HeaderDeadline))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, structs.NotRun(structs.CodeInvalid, api.HeaderDeadline+" must be from 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readNonIdempotent refuses unclear values: to take "yes" for "no" could run a
// charge twice.
func readNonIdempotent(ctx *fasthttp.RequestCtx) (bool, error) {
	switch string(ctx.Request.Header.Peek(api.HeaderNonIdempotent)) {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, structs.NotRun(structs.CodeInvalid, api.HeaderNonIdempotent+" must be true or false")
}

func passedHeaders(ctx *fasthttp.RequestCtx) [][2]string {
	var headers [][2]string
	if contentType := string(ctx.Request.Header.ContentType()); contentType != "" {
		headers = append(headers, [2]string{fasthttp.HeaderContentType, contentType})
	}
	for key, value := range ctx.Request.Header.All() {
		if len(key) > len(passedPrefix) && string(key[:len(passedPrefix)]) == passedPrefix {
			headers = append(headers, [2]string{string(key), string(value)})
		}
	}
	return headers
}
