package rules

import "slices"

// checker finds inconsistencies between rules: unresolved references,
// duplicates, missing rules and conflicting values.
type checker struct {
	file string
	// byKeyword holds all statements of each keyword. valid holds only the
	// statements that are well formed and not duplicates.
	byKeyword   map[string][]*statement
	valid       map[string][]*statement
	domains     map[string]*statement
	errs        []*Error
	suggestions int
}

func newChecker(file string, statements []*statement) *checker {
	c := &checker{
		file:      file,
		byKeyword: map[string][]*statement{},
		valid:     map[string][]*statement{},
		domains:   map[string]*statement{},
	}
	for _, s := range statements {
		c.byKeyword[s.spec.keyword] = append(c.byKeyword[s.spec.keyword], s)
	}
	c.collectValid(statements)
	for _, s := range c.valid[kwDomain] {
		c.domains[s.name(0)] = s
	}
	return c
}

// collectValid fills valid. It reports duplicates and excludes them from the
// later checks.
func (c *checker) collectValid(statements []*statement) {
	first := map[string]int{}
	for _, s := range statements {
		if s.malformed {
			continue
		}
		id := s.identity()
		if line, found := first[id]; found {
			c.addError(s.line, s.column, CodeDuplicateRule, "duplicate rule: "+id, "the first is in line "+itoa(line))
			continue
		}
		first[id] = s.line
		c.valid[s.spec.keyword] = append(c.valid[s.spec.keyword], s)
	}
}

// allWellFormed reports whether all statements of a keyword are well formed.
// Otherwise a check for a missing rule must not report an error, because a
// malformed statement may be the missing rule.
func (c *checker) allWellFormed(keyword string) bool {
	return !slices.ContainsFunc(c.byKeyword[keyword], func(s *statement) bool { return s.malformed })
}

func (c *checker) run() {
	c.checkReferences()
	c.checkSingletons()
	c.checkLinks()
	c.checkServices()
	c.checkClasses()
	c.checkGrants()
	c.checkTokens()
	c.checkPolicy()
	c.checkKeyHomes()
	c.checkGuarantees()
	c.checkQuotas()
}

func (c *checker) addError(line, column int, code Code, message, hint string) {
	c.errs = append(c.errs, &Error{Code: code, File: c.file, Line: line, Column: column, Message: message, Hint: hint})
}

// addErrorAt adds an error at the column of a field of a statement.
func (c *checker) addErrorAt(s *statement, key string, code Code, message, hint string) {
	c.addError(s.line, s.columnOf(key), code, message, hint)
}

// reference is a name or field in which rules of one keyword refer to a rule
// of the keyword target.
type reference struct {
	keyword string
	target  string
	// key is the field that holds the reference. If key is empty, the reference
	// is the name at position index.
	key   string
	index int
}

var references = []reference{
	{keyword: kwDomain, target: kwRegion, key: keyRegion},
	{keyword: kwHost, target: kwDomain, key: keyDomain},
	{keyword: kwLink, target: kwRegion, index: 0},
	{keyword: kwLink, target: kwRegion, index: 1},
	{keyword: kwGuarantee, target: kwCustomer, index: 0},
	{keyword: kwGuarantee, target: kwDomain, index: 1},
	{keyword: kwQuota, target: kwCustomer, index: 0},
	{keyword: kwQuota, target: kwDomain, key: keyDomain},
	{keyword: kwClass, target: kwService, index: 0},
	{keyword: kwGrant, target: kwCustomer, index: 0},
	{keyword: kwGrant, target: kwService, key: keyService},
	{keyword: kwGrant, target: kwDomain, key: keyDomain},
	{keyword: kwToken, target: kwCustomer, key: keyCustomer},
}

func (c *checker) checkReferences() {
	known := map[string][]string{}
	for _, keyword := range []string{kwRegion, kwDomain, kwCustomer, kwService} {
		known[keyword] = c.declaredNames(keyword)
	}
	for _, r := range references {
		for _, s := range c.byKeyword[r.keyword] {
			c.checkReference(s, r, known[r.target])
		}
	}
}

// declaredNames returns the sorted names that the rules of a keyword declare.
func (c *checker) declaredNames(keyword string) []string {
	var names []string
	for _, s := range c.byKeyword[keyword] {
		if name := s.name(0); name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *checker) checkReference(s *statement, r reference, known []string) {
	name, column := s.name(r.index), s.column
	if r.key != "" {
		name, column = s.text(r.key), s.columnOf(r.key)
	} else if r.index < len(s.names) {
		column = s.names[r.index].column
	}
	if name == "" {
		return
	}
	if _, found := slices.BinarySearch(known, name); found {
		return
	}
	suggestion := ""
	if c.suggestions < maxSuggestions {
		c.suggestions++
		suggestion = closestMatch(name, known)
	}
	c.addError(s.line, column, CodeUnknownReference, "unknown "+r.target+" "+quote(name), didYouMean(suggestion, "declare it with a "+r.target+" rule"))
}

// checkSingletons reports singleton rules that are missing. collectValid
// reports a second one as a duplicate.
func (c *checker) checkSingletons() {
	for _, spec := range specs {
		if spec.singleton && len(c.byKeyword[spec.keyword]) == 0 {
			c.addError(0, 0, CodeMissingRule, "no "+spec.keyword+" rule", "add one; docs/rules.md describes its fields")
		}
	}
}
