package httpapi

import (
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/structs"
)

func (s *Server) requireOperator(ctx *fasthttp.RequestCtx) error {
	_, err := s.auth.requireRole(ctx, structs.RoleOperator)
	return err
}

func (s *Server) showRules(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	version, digest, text := s.node.RulesText()
	return api.RulesResponse{Version: version, Digest: digest, Text: string(text)}, nil
}

func (s *Server) showRulesHistory(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	entries, err := s.node.RulesHistory(defaultCallTimeout)
	if err != nil {
		return nil, err
	}
	return api.RulesHistoryResponse{Entries: entries}, nil
}

func (s *Server) applyRules(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	var request api.RulesApplyRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	result, err := s.node.ApplyRules(configstate.Command{
		BaseVersion: request.BaseVersion,
		Text:        []byte(request.Text),
		Author:      request.Author,
		RequestID:   request.RequestID,
	}, defaultCallTimeout)
	if err != nil {
		return nil, err
	}
	if result.Refusal != nil {
		return nil, &rulesRefusalError{result: result}
	}
	return api.RulesApplyResponse{Version: result.Version, Digest: result.Digest}, nil
}

// rulesRefusalError reports a refused configuration. The result includes the
// conflicting accepted version and the errors of the rules text.
type rulesRefusalError struct{ result *configstate.Result }

// Error implements error.
func (e *rulesRefusalError) Error() string { return e.result.Refusal.Error() }

// Unwrap returns the underlying refusal.
func (e *rulesRefusalError) Unwrap() error { return e.result.Refusal }

func (e *rulesRefusalError) body() api.RefusalBody {
	body := api.NewRefusalBody(e.result.Refusal)
	body.Winner = e.result.Winner
	body.Errors = e.result.Errors
	return body
}

func (s *Server) showStatus(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	return s.node.Status(string(ctx.QueryArgs().Peek(api.QueryWorkers)) == "true"), nil
}

func (s *Server) listMembers(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	return api.MembersResponse{Groups: s.node.Members(defaultCallTimeout)}, nil
}

func (s *Server) addMember(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	var request api.MemberRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	if err := s.node.AddMember(request.Group, request.Host, membershipTimeout); err != nil {
		return nil, err
	}
	return s.node.GroupStatus(request.Group, defaultCallTimeout), nil
}

func (s *Server) removeMember(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	query := ctx.QueryArgs()
	group, host := string(query.Peek(api.QueryGroup)), string(query.Peek(api.QueryHost))
	if group == "" || host == "" {
		return nil, structs.RefuseNotRun(structs.CodeInvalid, api.QueryGroup+" and "+api.QueryHost+" are required")
	}
	allowFewerLosses := string(query.Peek(api.QueryAllowFewerLosses)) == "true"
	if err := s.node.RemoveMember(group, host, allowFewerLosses, membershipTimeout); err != nil {
		return nil, err
	}
	return s.node.GroupStatus(group, defaultCallTimeout), nil
}

func (s *Server) evacuate(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	var request api.EvacuationRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	return s.node.Evacuate(request.FailureDomain, true, defaultCallTimeout)
}

func (s *Server) restoreDomain(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.requireOperator(ctx); err != nil {
		return nil, err
	}
	return s.node.Evacuate(string(ctx.QueryArgs().Peek(api.QueryFailureDomain)), false, defaultCallTimeout)
}
