package standin

import (
	"encoding/json"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// PostError reports a POST request that no host accepted.
type PostError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PostError) Error() string { return "no host accepted " + e.Path + ": " + e.Reason }

// hostList holds the base URLs of entry hosts. Each request begins with the host
// that answered last. Otherwise an unresponsive host would delay every
// announcement by the request timeout, until the announced entry expires.
type hostList struct {
	urls []string
	// preferred is the index of the host that answered last.
	preferred atomic.Int64
}

// post sends a body to the hosts in turn until one responds with status 200. It
// decodes that response into result unless result is nil.
func (h *hostList) post(client *fasthttp.Client, path, token string, headers [][2]string, body []byte, result any) error {
	var failure error = &PostError{Path: path, Reason: "no hosts"}
	start := int(h.preferred.Load())
	for i := range h.urls {
		index := (start + i) % len(h.urls)
		response, err := postOK(client, h.urls[index], path, token, headers, body)
		if err != nil {
			failure = err
			continue
		}
		h.preferred.Store(int64(index))
		return decodeResponse(path, response, result)
	}
	return failure
}

// postOK posts a body to one host and returns the response body. A status other
// than 200 is an error.
func postOK(client *fasthttp.Client, host, path, token string, headers [][2]string, body []byte) ([]byte, error) {
	response, status, err := post(client, host+path, token, headers, body)
	if err != nil {
		return nil, &PostError{Path: path, Reason: err.Error()}
	}
	if status != fasthttp.StatusOK {
		return nil, &PostError{Path: path, Reason: "status " + strconv.Itoa(status) + ": " + string(response)}
	}
	return response, nil
}

// decodeResponse decodes a JSON response into result unless result is nil.
func decodeResponse(path string, response []byte, result any) error {
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(response, result); err != nil {
		return &PostError{Path: path, Reason: err.Error()}
	}
	return nil
}

// post sends a JSON body to a URL and returns the response body and status.
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
