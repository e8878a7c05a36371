package node

// allHandlers maps the methods that other hosts may call.
func (n *Node) allHandlers() map[string]callHandler {
	return map[string]callHandler{
		methodConfigGet:     typed(n.handleConfigGet),
		methodConfigLatest:  typed(n.handleConfigLatest),
		methodConfigApply:   typed(n.handleConfigApply),
		methodConfigHistory: typed(n.handleConfigHistory),
		methodRequest:       typed(n.handleRequest),
		methodKeyedRequest:  typed(n.handleKeyedRequest),
		methodBegunRequest:  typed(n.handleBegunRequest),
		methodKeyFinish:     typed(n.handleKeyFinish),
		methodJobSubmit:     typed(n.handleJobSubmit),
		methodJobCancel:     typed(n.handleJobCancel),
		methodJobShow:       typed(n.handleJobShow),
		methodJobList:       typed(n.handleJobList),
		methodWorkerRenew:   typed(n.handleWorkerRenew),
		methodWorkerLeave:   typed(n.handleWorkerLeave),
		methodDomainStatus:  typed(n.handleDomainStatus),
		methodMembers:       typed(n.handleMembers),
		methodMemberChange:  typed(n.handleMemberChange),
	}
}
