package rules

import "slices"

// checker looks for faults between rules that are well formed in themselves.
type checker struct {
	file string
	// all holds the statements of each keyword, and sound those that are well
	// formed and not duplicates.
	all         map[string][]*statement
	sound       map[string][]*statement
	domains     map[string]*statement
	errs        []*Error
	suggestions int
}

func newChecker(file string, statements []*statement) *checker {
	c := &checker{
		file:    file,
		all:     map[string][]*statement{},
		sound:   map[string][]*statement{},
		domains: map[string]*statement{},
	}
	for _, s := range statements {
		c.all[s.spec.keyword] = append(c.all[s.spec.keyword], s)
	}
	c.findSound(statements)
	for _, s := range c.sound[kwDomain] {
		c.domains[s.name(0)] = s
	}
	return c
}

// findSound reports duplicates and leaves them out of the later checks.
func (c *checker) findSound(statements []*statement) {
	first := map[string]int{}
	for _, s := range statements {
		if s.broken {
			continue
		}
		id := s.identity()
		if line, found := first[id]; found {
			c.fail(s.line, s.column, CodeDuplicate, "duplicate rule: "+id, "the first is in line "+itoa(line))
			continue
		}
		first[id] = s.line
		c.sound[s.spec.keyword] = append(c.sound[s.spec.keyword], s)
	}
}

// whole reports whether all statements of a keyword are well formed. If not,
// nothing can be said about what they leave out.
func (c *checker) whole(keyword string) bool {
	return !slices.ContainsFunc(c.all[keyword], func(s *statement) bool { return s.broken })
}

func (c *checker) run() {
	c.checkReferences()
	c.checkSingles()
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

func (c *checker) fail(line, column int, code Code, message, hint string) {
	c.errs = append(c.errs, &Error{Code: code, File: c.file, Line: line, Column: column, Message: message, Hint: hint})
}

// failAt reports a fault at a field of a statement.
func (c *checker) failAt(s *statement, key string, code Code, message, hint string) {
	c.fail(s.line, s.columnOf(key), code, message, hint)
}

// reference is a place where a rule names another rule.
type reference struct {
	keyword string
	target  string
	// key is the field that holds the reference; if empty, it is name number index.
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
		known[keyword] = c.declared(keyword)
	}
	for _, r := range references {
		for _, s := range c.all[r.keyword] {
			c.checkReference(s, r, known[r.target])
		}
	}
}

// declared returns the sorted names that the rules of a keyword declare.
func (c *checker) declared(keyword string) []string {
	var names []string
	for _, s := range c.all[keyword] {
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
	near := ""
	if c.suggestions < maxSuggestions {
		c.suggestions++
		near = nearest(name, known)
	}
	c.fail(s.line, column, CodeUnknownReference, "unknown "+r.target+" "+quote(name), didYouMean(near, "declare it with a "+r.target+" rule"))
}

// checkSingles requires rules without a name exactly once; a second one is a duplicate.
func (c *checker) checkSingles() {
	for _, spec := range specs {
		if spec.single && len(c.all[spec.keyword]) == 0 {
			c.fail(0, 0, CodeMissingRule, "no "+spec.keyword+" rule", "add one; docs/rules.md describes its fields")
		}
	}
}
