package httpapi

import (
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/structs"
)

func (s *Server) operator(ctx *fasthttp.RequestCtx) error {
	_, err := s.auth.require(ctx, structs.RoleOperator)
	return err
}

func (s *Server) showRules(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	version, digest, text := s.node.RulesText()
	return api.RulesResponse{Version: version, Digest: digest, Text: string(text)}, nil
}

func (s *Server) rulesHistory(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	entries, err := s.node.RulesHistory(clientTimeout)
	if err != nil {
		return nil, err
	}
	return api.RulesHistoryResponse{Entries: entries}, nil
}

func (s *Server) applyRules(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.operator(ctx); err != nil {
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
	}, clientTimeout)
	if err != nil {
		return nil, err
	}
	if result.Refusal != nil {
		return nil, &rulesRefusal{result: result}
	}
	return api.RulesApplyResponse{Version: result.Version, Digest: result.Digest}, nil
}

// rulesRefusal is a refused configuration with the accepted version that it
// lost against and the faults of its text.
type rulesRefusal struct{ result *configstate.Result }

// Error implements error.
func (e *rulesRefusal) Error() string { return e.result.Refusal.Error() }

// Unwrap returns the refusal.
func (e *rulesRefusal) Unwrap() error { return e.result.Refusal }

func (e *rulesRefusal) body() api.RefusalBody {
	body := api.BodyOf(e.result.Refusal)
	body.Winner = e.result.Winner
	body.Errors = e.result.Errors
	return body
}

func (s *Server) status(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	return s.node.Status(string(ctx.QueryArgs().Peek(api.QueryWorkers)) == "true"), nil
}

func (s *Server) members(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	return api.MembersResponse{Groups: s.node.Members(clientTimeout)}, nil
}

func (s *Server) addMember(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	var request api.MemberRequest
	if err := decode(ctx, &request); err != nil {
		return nil, err
	}
	if err := s.node.AddMember(request.Group, request.Host, memberTimeout); err != nil {
		return nil, err
	}
	return s.node.GroupStatus(request.Group, clientTimeout), nil
}

func (s *Server) removeMember(ctx *fasthttp.RequestCtx) (any, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	query := ctx.QueryArgs()
	group, host := string(query.Peek(api.QueryGroup)), string(query.Peek(api.QueryHost))
	if group == "" || host == "" {
		return nil, structs.NotRun(structs.CodeInvalid, api.QueryGroup+" and "+api.QueryHost+" are required")
	}
	if err := s.node.RemoveMember(group, host, memberTimeout); err != nil {
		return nil, err
	}
	return s.node.GroupStatus(group, clientTimeout), nil
}
