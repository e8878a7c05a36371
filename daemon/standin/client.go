package standin

import (
	"encoding/json"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// PostError reports a call that no host accepted.
type PostError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PostError) Error() string { return "no host accepted " + e.Path + ": " + e.Reason }

// hostList holds the base URLs of entry hosts. It starts with the one that
// answered last: a host that stays silent would otherwise delay every
// announcement by its timeout, up to the time to live.
type hostList struct {
	urls  []string
	first atomic.Int64
}

// post posts a body to the first host that answers 200 and decodes the answer
// into result unless that is nil.
func (h *hostList) post(client *fasthttp.Client, path, token string, headers [][2]string, body []byte, result any) error {
	var failure error = &PostError{Path: path, Reason: "no hosts"}
	first := int(h.first.Load())
	for i := range h.urls {
		at := (first + i) % len(h.urls)
		answer, err := postOK(client, h.urls[at], path, token, headers, body)
		if err != nil {
			failure = err
			continue
		}
		h.first.Store(int64(at))
		return decodeAnswer(path, answer, result)
	}
	return failure
}

// postOK posts a body to one host and returns an answer with status 200.
func postOK(client *fasthttp.Client, host, path, token string, headers [][2]string, body []byte) ([]byte, error) {
	answer, status, err := post(client, host+path, token, headers, body)
	if err != nil {
		return nil, &PostError{Path: path, Reason: err.Error()}
	}
	if status != fasthttp.StatusOK {
		return nil, &PostError{Path: path, Reason: "status " + strconv.Itoa(status) + ": " + string(answer)}
	}
	return answer, nil
}

// decodeAnswer decodes an answer into result unless that is nil.
func decodeAnswer(path string, answer []byte, result any) error {
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return &PostError{Path: path, Reason: err.Error()}
	}
	return nil
}

func post(client *fasthttp.Client, url, token string, headers [][2]string, body []byte) ([]byte, int, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for _, header := range headers {
		req.Header.Set(header[0], header[1])
	}
	req.SetBody(body)
	if err := client.DoTimeout(req, resp, announceTimeout); err != nil {
		return nil, 0, err
	}
	return append([]byte(nil), resp.Body()...), resp.StatusCode(), nil
}
