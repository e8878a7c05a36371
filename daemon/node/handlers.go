package node

// allHandlers returns the handlers of the methods that hosts call on each other.
func (n *Node) allHandlers() map[string]callHandler {
	return map[string]callHandler{
		methodConfigGet:      typedHandler(n.handleConfigGet),
		methodConfigLatest:   typedHandler(n.handleConfigLatest),
		methodConfigApply:    typedHandler(n.handleConfigApply),
		methodConfigHistory:  typedHandler(n.handleConfigHistory),
		methodRequest:        typedHandler(n.handleRequest),
		methodKeyedRequest:   typedHandler(n.handleKeyedRequest),
		methodBegunRequest:   typedHandler(n.handleBegunRequest),
		methodKeyFinish:      typedHandler(n.handleKeyFinish),
		methodJobSubmit:      typedHandler(n.handleJobSubmit),
		methodJobCancel:      typedHandler(n.handleJobCancel),
		methodJobShow:        typedHandler(n.handleJobShow),
		methodJobList:        typedHandler(n.handleJobList),
		methodWorkerRenew:    typedHandler(n.handleWorkerRenew),
		methodWorkerLeave:    typedHandler(n.handleWorkerLeave),
		methodDomainStatus:   typedHandler(n.handleDomainStatus),
		methodDomainEvacuate: typedHandler(n.handleEvacuate),
		methodMembers:        typedHandler(n.handleMembers),
		methodMemberChange:   typedHandler(n.handleMemberChange),
	}
}
