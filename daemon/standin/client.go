package standin

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"
)

// PostError reports a call that no host accepted.
type PostError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PostError) Error() string { return "no host accepted " + e.Path + ": " + e.Reason }

// postAny posts a body to the first host that answers 200 and decodes the
// answer into result unless that is nil.
func postAny(client *fasthttp.Client, hosts []string, path, token string, headers [][2]string, body []byte, result any) error {
	reason := "no hosts"
	for _, host := range hosts {
		answer, status, err := post(client, host+path, token, headers, body)
		if err != nil {
			reason = err.Error()
			continue
		}
		if status != fasthttp.StatusOK {
			reason = "status " + strconv.Itoa(status) + ": " + string(answer)
			continue
		}
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
