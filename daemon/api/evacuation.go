package api

// EvacuationRequest identifies a failure domain to evacuate.
type EvacuationRequest struct {
	FailureDomain string `json:"failure_domain"`
}

// EvacuationStatus tells whether a failure domain is evacuated. It is the response to
// an order and a part of the status.
type EvacuationStatus struct {
	FailureDomain string `json:"failure_domain"`
	Evacuated     bool   `json:"evacuated"`
	// AgeMS is the time since the order that took effect, in milliseconds, without
	// times in which the log of the failure domain had no leader.
	AgeMS int64 `json:"age_ms"`
}

// Evacuate orders that no gang is started in a failure domain until RestoreDomain. A
// repeated order changes nothing.
func (c *Client) Evacuate(r EvacuationRequest) (EvacuationStatus, error) {
	var out EvacuationStatus
	err := c.callJSON(call{method: methodPost, path: PathEvacuations}, r, &out)
	return out, err
}

// RestoreDomain ends the evacuation of a failure domain. A repeated order changes
// nothing.
func (c *Client) RestoreDomain(r EvacuationRequest) (EvacuationStatus, error) {
	q := call{method: methodDelete, path: PathEvacuations, query: map[string]string{QueryFailureDomain: r.FailureDomain}}
	var out EvacuationStatus
	err := c.callJSON(q, nil, &out)
	return out, err
}
