package intake

import "bytes"

// interimResponse is what fasthttp writes before it reads a body that is expected.
var interimResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// interimFilter removes the interim response from the next writes of a server. A response to an
// earlier request may be in the same write buffer before it; a full buffer is written first, so
// that the interim response may be split in two.
type interimFilter struct {
	// held is the number of bytes at the end of the first write, not passed on, that may be
	// the beginning of the interim response.
	held int
	done bool
}

// filter returns what is to be written in place of p.
func (f *interimFilter) filter(p []byte) []byte {
	if rest, found := bytes.CutSuffix(p, interimResponse); found && f.held == 0 {
		f.done = true
		return rest
	}
	if bytes.HasSuffix(interimResponse, p) {
		// What was held before the part that p completes belongs to the earlier response.
		f.done = true
		return interimResponse[:max(0, f.held-(len(interimResponse)-len(p)))]
	}
	for n := min(len(p), len(interimResponse)-1); n > 0; n-- {
		if bytes.HasSuffix(p, interimResponse[:n]) {
			f.held = n
			return p[:len(p)-n]
		}
	}
	return p
}
