// Package shutdown stops an HTTP server without cutting requests that it has read.
package shutdown

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/clock"
)

// openConnectionsPollInterval is the interval at which a stopping host looks
// whether its connections are closed.
const openConnectionsPollInterval = 20 * time.Millisecond

// FinishRequests closes the listeners and idle connections and waits for the requests
// in progress, at most until answerBy on clock.Boot. From then on the server reads no
// request, as it could not be answered any more.
func FinishRequests(server *fasthttp.Server, conns *Connections, answerBy time.Duration, log logr.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), answerBy-clock.Boot())
	defer cancel()
	err := server.ShutdownWithContext(ctx)
	conns.StopReading()
	if err != nil {
		log.Info("requests are still in progress; ending them", "error", err.Error(), "open", conns.Open())
	}
}

// WaitClosed waits until no connection is open, at most until closeBy on clock.Boot.
// The server does not tell: after a wait that timed out it counts one too few.
func WaitClosed(conns *Connections, closeBy time.Duration, log logr.Logger) {
	for conns.Open() > 0 {
		if clock.Boot() >= closeBy {
			log.Info("shutdown timed out with open connections", "open", conns.Open())
			return
		}
		time.Sleep(openConnectionsPollInterval)
	}
}
