package rules

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Code is the stable identifier of a kind of error in a rules file.
type Code string

// Codes of errors in a rules file.
const (
	CodeTextTooLarge              Code = "text_too_large"
	CodeLineTooLong               Code = "line_too_long"
	CodeBadCharacter              Code = "bad_character"
	CodeUnknownKeyword            Code = "unknown_keyword"
	CodeMissingName               Code = "missing_name"
	CodeUnexpectedArgument        Code = "unexpected_argument"
	CodeBadName                   Code = "bad_name"
	CodeUnknownField              Code = "unknown_field"
	CodeRepeatedField             Code = "repeated_field"
	CodeMissingField              Code = "missing_field"
	CodeFieldNotAllowed           Code = "field_not_allowed"
	CodeBadValue                  Code = "bad_value"
	CodeValueOutOfRange           Code = "value_out_of_range"
	CodeMissingComment            Code = "missing_comment"
	CodeMissingPerson             Code = "missing_person"
	CodeMissingReason             Code = "missing_reason"
	CodeUnknownReference          Code = "unknown_reference"
	CodeDuplicateRule             Code = "duplicate_rule"
	CodeMissingRule               Code = "missing_rule"
	CodeReservedOver100Percent    Code = "reserved_over_100_percent"
	CodeGuaranteeEmpty            Code = "guarantee_empty"
	CodeGuaranteeDoesNotFit       Code = "guarantee_does_not_fit"
	CodeGuaranteeWithoutGrant     Code = "guarantee_without_grant"
	CodeQuotaBelowGuarantee       Code = "quota_below_guarantee"
	CodeLinkWithinRegion          Code = "link_within_region"
	CodeSpillOverCapacity         Code = "spill_over_capacity"
	CodeFewerConnectionsThanSlots Code = "fewer_connections_than_slots"
	CodePolicyWithoutShare        Code = "policy_without_share"
	CodeNoOperatorToken           Code = "no_operator_token"
	CodeNoKeyHome                 Code = "no_key_home"
)

// Error is one error in a rules file.
type Error struct {
	Code Code   `json:"code" msgpack:"code"`
	File string `json:"file" msgpack:"file"`
	// Line and Column are 1-based; columns count bytes. Line 0 means that
	// the error concerns the file as a whole.
	Line    int    `json:"line" msgpack:"line"`
	Column  int    `json:"column" msgpack:"column"`
	Message string `json:"message" msgpack:"message"`
	// Hint says how to correct the error, if that is known.
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
