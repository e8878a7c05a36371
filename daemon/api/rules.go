package api

import "cranberrydrum.dev/scheduler/configstate"

// RulesApplyRequest replaces the rules of version BaseVersion, which must still
// be the latest version unless the request is a resend of an accepted change.
type RulesApplyRequest struct {
	BaseVersion uint64 `json:"base_version"`
	Text        string `json:"text"`
	Author      string `json:"author"`
	// RequestID identifies the change. Each resend uses the same id.
	RequestID string `json:"request_id"`
}

// RulesApplyResponse is the accepted version and its digest.
type RulesApplyResponse struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// RulesResponse is the configuration in force on the responding host.
type RulesResponse struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Text    string `json:"text"`
}

// RulesHistoryResponse lists the accepted versions, oldest first.
type RulesHistoryResponse struct {
	Entries []configstate.Entry `json:"entries"`
}
