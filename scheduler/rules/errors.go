package rules

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Code is a stable reason why a rules file is refused.
type Code string

// Codes of errors in a rules file.
const (
	CodeTooLarge           Code = "text_too_large"
	CodeLineTooLong        Code = "line_too_long"
	CodeBadCharacter       Code = "bad_character"
	CodeUnknownKeyword     Code = "unknown_keyword"
	CodeMissingName        Code = "missing_name"
	CodeUnexpected         Code = "unexpected_argument"
	CodeBadName            Code = "bad_name"
	CodeUnknownField       Code = "unknown_field"
	CodeRepeatedField      Code = "repeated_field"
	CodeMissingField       Code = "missing_field"
	CodeFieldNotAllowed    Code = "field_not_allowed"
	CodeBadValue           Code = "bad_value"
	CodeOutOfRange         Code = "value_out_of_range"
	CodeMissingComment     Code = "missing_comment"
	CodeMissingPerson      Code = "missing_person"
	CodeMissingReason      Code = "missing_reason"
	CodeUnknownReference   Code = "unknown_reference"
	CodeDuplicate          Code = "duplicate_rule"
	CodeMissingRule        Code = "missing_rule"
	CodeReservedOver       Code = "reserved_over_100_percent"
	CodeGuaranteeEmpty     Code = "guarantee_empty"
	CodeGuaranteeUnfit     Code = "guarantee_does_not_fit"
	CodeGuaranteeNoGrant   Code = "guarantee_without_grant"
	CodeQuotaBelow         Code = "quota_below_guarantee"
	CodeLinkSameRegion     Code = "link_within_region"
	CodeSpillOver          Code = "spill_over_capacity"
	CodeFewConnections     Code = "fewer_connections_than_slots"
	CodePolicyWithoutShare Code = "policy_without_share"
	CodeNoOperatorToken    Code = "no_operator_token"
	CodeNoKeyHome          Code = "no_key_home"
)

// Error is one fault in a rules file.
type Error struct {
	Code Code   `json:"code" msgpack:"code"`
	File string `json:"file" msgpack:"file"`
	// Line and Column are 1-based; columns count bytes. Line 0 means that
	// the fault concerns the file as a whole.
	Line    int    `json:"line" msgpack:"line"`
	Column  int    `json:"column" msgpack:"column"`
	Message string `json:"message" msgpack:"message"`
	// Hint says how to correct the fault, if that is known.
	Hint string `json:"hint,omitempty" msgpack:"hint"`
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		b.WriteString(":" + strconv.Itoa(e.Line) + ":" + strconv.Itoa(e.Column))
	}
	b.WriteString(": " + e.Message + " [" + string(e.Code) + "]")
	if e.Hint != "" {
		b.WriteString("; " + e.Hint)
	}
	return b.String()
}

// sortErrors orders errors by position, then by code and message.
func sortErrors(errs []*Error) {
	slices.SortStableFunc(errs, func(a, b *Error) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Code, b.Code),
			cmp.Compare(a.Message, b.Message),
		)
	})
}
