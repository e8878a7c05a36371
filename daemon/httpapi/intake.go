package httpapi

import (
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/intake"
	"cranberrydrum.dev/scheduler/structs"
)

// checkBody admits the bodies of POST requests to paths that the API serves.
func (s *Server) checkBody(header *fasthttp.RequestHeader) *intake.Refusal {
	if !header.IsPost() {
		return &intake.Refusal{Status: fasthttp.StatusBadRequest, Reason: intake.ReasonBodyNotAllowed}
	}
	path := intake.Path(header)
	if _, ok := serviceOf(path); ok || s.findHandler(fasthttp.MethodPost, path) != nil {
		return nil
	}
	return &intake.Refusal{Status: fasthttp.StatusNotFound, Reason: intake.ReasonNoRoute}
}

// unreadRefusals are the refusals of requests whose body is not read.
var unreadRefusals = map[intake.Reason]*structs.Refusal{
	intake.ReasonBodyNotAllowed: structs.RefuseNotRun(structs.CodeInvalid, "no body is accepted with this method"),
	intake.ReasonNoRoute:        structs.RefuseNotRun(structs.CodeNotFound, "no endpoint at this path"),
	intake.ReasonTooLarge:       structs.RefuseNotRun(structs.CodeTooLarge, "the request is larger than allowed"),
	intake.ReasonBudget:         structs.RefuseNotRun(structs.CodeQueueFull, "this host holds too many bytes of requests"),
}

// respondUnread writes the response to a request whose body is not read.
func (s *Server) respondUnread(ctx *fasthttp.RequestCtx, r *intake.Refusal) {
	s.respondRefusal(ctx, unreadRefusals[r.Reason])
}
