package httpapi

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
)

func (s *Server) submitJob(ctx *fasthttp.RequestCtx) (any, error) {
	requester, err := s.auth.requireRole(ctx, structs.RoleCaller, structs.RoleOperator)
	if err != nil {
		return nil, err
	}
	var request api.JobSubmitRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	spec, refusal := request.Spec()
	if refusal != nil {
		return nil, refusal
	}
	if spec.Customer, err = requester.resolveCustomer(spec.Customer); err != nil {
		return nil, err
	}
	job, err := s.node.SubmitJob(spec, defaultCallTimeout)
	if err != nil {
		return nil, err
	}
	return api.NewJob(job), nil
}

func (s *Server) showJob(ctx *fasthttp.RequestCtx, id string) (any, error) {
	requester, err := s.auth.requireRole(ctx, structs.RoleCaller, structs.RoleOperator)
	if err != nil {
		return nil, err
	}
	job, err := s.node.ShowJob(id, requester.customer, defaultCallTimeout)
	if err != nil {
		return nil, err
	}
	return api.NewJob(job), nil
}

func (s *Server) cancelJob(ctx *fasthttp.RequestCtx, id string) (any, error) {
	requester, err := s.auth.requireRole(ctx, structs.RoleCaller, structs.RoleOperator)
	if err != nil {
		return nil, err
	}
	job, err := s.node.CancelJob(id, requester.customer, defaultCallTimeout)
	if err != nil {
		return nil, err
	}
	return api.NewJob(job), nil
}

func (s *Server) listJobs(ctx *fasthttp.RequestCtx) (any, error) {
	requester, err := s.auth.requireRole(ctx, structs.RoleCaller, structs.RoleOperator)
	if err != nil {
		return nil, err
	}
	customer, err := requester.resolveCustomer(string(ctx.QueryArgs().Peek(api.QueryCustomer)))
	if err != nil {
		return nil, err
	}
	status := structs.JobStatus(ctx.QueryArgs().Peek(api.QueryStatus))
	list, unreachable := s.node.ListJobs(customer, defaultCallTimeout)
	response := api.JobListResponse{Jobs: []api.Job{}, Unreachable: unreachable}
	for _, job := range list {
		if status == "" || job.Status == status {
			response.Jobs = append(response.Jobs, api.NewJob(job))
		}
	}
	slices.SortFunc(response.Jobs, func(a, b api.Job) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return response, nil
}

func (s *Server) renewWorker(ctx *fasthttp.RequestCtx) (any, error) {
	if _, err := s.auth.requireRole(ctx, structs.RoleWorker); err != nil {
		return nil, err
	}
	var report api.WorkerRenewRequest
	if err := decode(ctx, &report); err != nil {
		return nil, err
	}
	wait, err := parseRenewalWait(ctx)
	if err != nil {
		return nil, err
	}
	orders, err := s.node.RenewWorker(report, wait, defaultCallTimeout)
	if err != nil {
		return nil, err
	}
	return orders, nil
}

// parseRenewalWait returns how long the response to a renewal may be delayed
// while the orders of the worker do not change (long polling).
func parseRenewalWait(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.Request.Header.Peek(api.HeaderWait))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxRenewalWait.Milliseconds() {
		return 0, structs.RefuseNotRun(structs.CodeInvalid, api.HeaderWait+" must be from 0 to "+strconv.FormatInt(maxRenewalWait.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// maxRenewalWait bounds the delay of a renewal response. It is well below the
// time for which clients wait for a response.
const maxRenewalWait = 2 * time.Second

func (s *Server) leaveWorker(ctx *fasthttp.RequestCtx) (any, error) {
	if _, err := s.auth.requireRole(ctx, structs.RoleWorker); err != nil {
		return nil, err
	}
	var request api.WorkerLeaveRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	if err := s.node.LeaveWorker(request.Worker, defaultCallTimeout); err != nil {
		return nil, err
	}
	return api.EmptyResponse{Done: true}, nil
}

func (s *Server) announceBackend(ctx *fasthttp.RequestCtx) (any, error) {
	if _, err := s.auth.requireRole(ctx, structs.RoleBackend); err != nil {
		return nil, err
	}
	var request api.BackendAnnounceRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	backend := structs.Backend{
		ID:          request.ID,
		Service:     request.Service,
		Domain:      request.FailureDomain,
		Address:     request.Address,
		Slots:       request.Slots,
		Connections: request.Connections,
		State:       structs.BackendUp,
		Incarnation: request.Incarnation,
	}
	if err := s.node.HandleAnnouncement(backend, request.Sequence); err != nil {
		return nil, err
	}
	return api.BackendAnnounceResponse{TTLMS: api.Milliseconds(s.node.Settings().Timeouts.BackendTTL)}, nil
}

func (s *Server) drainBackend(ctx *fasthttp.RequestCtx) (any, error) {
	return s.changeBackend(ctx, structs.BackendDraining)
}

func (s *Server) leaveBackend(ctx *fasthttp.RequestCtx) (any, error) {
	return s.changeBackend(ctx, structs.BackendLeft)
}

func (s *Server) changeBackend(ctx *fasthttp.RequestCtx, state structs.BackendState) (any, error) {
	if _, err := s.auth.requireRole(ctx, structs.RoleBackend, structs.RoleOperator); err != nil {
		return nil, err
	}
	var request api.BackendRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	if err := s.node.SetBackendState(request.Service, request.ID, request.Incarnation, state); err != nil {
		return nil, err
	}
	return api.EmptyResponse{Done: true}, nil
}
