package rules

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestRulesPageIsComplete guards against keywords, fields, units and error
// codes that docs/rules.md does not describe.
func TestRulesPageIsComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile("../../docs/rules.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sections := strings.Split(string(text), "\n### ")
	for _, spec := range specs {
		section := ""
		for _, s := range sections {
			if strings.HasPrefix(s, spec.keyword+" ") || strings.HasPrefix(s, spec.keyword+"\n") {
				section = s
			}
		}
		g.Expect(section).NotTo(gomega.BeEmpty(), spec.keyword)
		for _, f := range spec.fields {
			row := regexp.MustCompile("(?m)^\\| `" + f.key + "` \\| .*$").FindString(section)
			g.Expect(row).NotTo(gomega.BeEmpty(), spec.keyword+" "+f.key)
			g.Expect(strings.Contains(row, "required")).To(gomega.BeEquivalentTo(f.required || f.key == keyCustomer), row)
		}
	}
	for _, units := range [][]unit{durationUnits, rateUnits, percentUnits} {
		for _, u := range units {
			g.Expect(string(text)).To(gomega.ContainSubstring("`" + u.name + "`"))
		}
	}
	source, err := os.ReadFile("errors.go")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, code := range regexp.MustCompile(`Code = "([a-z0-9_]+)"`).FindAllStringSubmatch(string(source), -1) {
		g.Expect(string(text)).To(gomega.ContainSubstring("| `" + code[1] + "` |"))
	}
}
