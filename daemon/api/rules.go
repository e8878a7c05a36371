package api

import "cranberrydrum.dev/scheduler/configstate"

// RulesApplyRequest replaces the rules of a base version.
type RulesApplyRequest struct {
	BaseVersion uint64 `json:"base_version"`
	Text        string `json:"text"`
	Author      string `json:"author"`
	// RequestID is the same in each resend.
	RequestID string `json:"request_id"`
}

// RulesApplyResponse names the accepted version.
type RulesApplyResponse struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// RulesResponse is the configuration in force on the answering host.
type RulesResponse struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Text    string `json:"text"`
}

// RulesHistoryResponse lists accepted versions, oldest first.
type RulesHistoryResponse struct {
	Entries []configstate.Entry `json:"entries"`
}
