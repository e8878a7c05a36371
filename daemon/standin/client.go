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
	reason := "no hosts"
	first := int(h.first.Load())
	for i := range h.urls {
		at := (first + i) % len(h.urls)
		answer, status, err := post(client, h.urls[at]+path, token, headers, body)
		if err != nil {
			reason = err.Error()
			continue
		}
		if status != fasthttp.StatusOK {
			reason = "status " + strconv.Itoa(status) + ": " + string(answer)
			continue
		}
		h.first.Store(int64(at))
		if result == nil {
			return nil
		}
		if err := json.Unmarshal(answer, result); err != nil {
			return &PostError{Path: path, Reason: err.Error()}
		}
		return nil
	}
	return &PostError{Path: path, Reason: reason}
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
