package rules

import (
	"strconv"

	"cranberrydrum.dev/scheduler/structs"
)

// GuaranteeProblem reports a guarantee that, together with the other
// guarantees, does not fit the topology.
type GuaranteeProblem struct {
	// Line is the line of the guarantee, from its Source.
	Line    int
	Message string
	Hint    string
}

// GuaranteeCheck decides whether all guarantees of a configuration fit the
// topology. Unlike the sums that Parse checks, it is exact. It is called only
// for a configuration without other errors, and its result must depend only on
// its argument.
type GuaranteeCheck func(*structs.Config) []GuaranteeProblem

// Parse parses and checks a rules file. It returns either a configuration or
// all errors found, sorted by position. The name is used only in errors.
func Parse(name string, text []byte, checks ...GuaranteeCheck) (*structs.Config, []*Error) {
	if err := checkSize(name, text); err != nil {
		return nil, []*Error{err}
	}
	statements, errs := parseStatements(name, text)
	cfg := build(statements)
	c := newChecker(name, statements)
	c.run()
	errs = append(errs, c.errs...)
	if len(errs) == 0 {
		errs = runGuaranteeChecks(name, cfg, statements, checks)
	}
	if len(errs) > 0 {
		sortErrors(errs)
		return nil, errs
	}
	return cfg, nil
}

// Load builds the configuration of a text that was accepted earlier. It skips
// the checks between rules, so that a host whose checks are stricter than those
// of the host that accepted the text can still use it.
func Load(name string, text []byte) (*structs.Config, []*Error) {
	if err := checkSize(name, text); err != nil {
		return nil, []*Error{err}
	}
	statements, errs := parseStatements(name, text)
	if len(errs) > 0 {
		sortErrors(errs)
		return nil, errs
	}
	return build(statements), nil
}

// checkSize applies the size limits to the text as written and to its canonical
// form, which can be longer.
func checkSize(name string, text []byte) *Error {
	if !tooLarge(text) && !tooLarge(Format(text)) {
		return nil
	}
	return &Error{
		Code: CodeTextTooLarge, File: name,
		Message: "rules are larger than " + strconv.Itoa(MaxTextBytes) + " bytes in canonical form or " + strconv.Itoa(MaxLines) + " lines",
	}
}

func parseStatements(name string, text []byte) ([]*statement, []*Error) {
	var statements []*statement
	var errs []*Error
	for i, line := range splitLines(text) {
		s, lineErrs := parseLine(name, i+1, line)
		errs = append(errs, lineErrs...)
		if s != nil {
			statements = append(statements, s)
		}
	}
	return statements, errs
}

func runGuaranteeChecks(name string, cfg *structs.Config, statements []*statement, checks []GuaranteeCheck) []*Error {
	columns := map[int]int{}
	for _, s := range statements {
		columns[s.line] = s.column
	}
	var errs []*Error
	for _, check := range checks {
		for _, p := range check(cfg) {
			errs = append(errs, &Error{
				Code: CodeGuaranteeDoesNotFit, File: name, Line: p.Line, Column: columns[p.Line],
				Message: p.Message, Hint: p.Hint,
			})
		}
	}
	return errs
}
