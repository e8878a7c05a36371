package api_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stringConstants returns the string constants of a Go file whose names start
// with a prefix.
func stringConstants(file, prefix string) []string {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var values []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, prefix) {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok {
			value, err := strconv.Unquote(literal.Value)
			Expect(err).NotTo(HaveOccurred())
			values = append(values, value)
		}
		return true
	})
	return values
}

func page(name string) string {
	text, err := os.ReadFile("../../docs/" + name)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("documentation", func() {
	// Guards against a refusal code that is answered with status 500 or is not
	// documented.
	It("has an HTTP status, a row in api.md and a row in OPERATIONS.md for each refusal code", func() {
		codes := stringConstants("../../scheduler/structs/refusal.go", "Code")
		Expect(len(codes)).To(BeNumerically(">", 30))
		for _, code := range codes {
			status := api.HTTPStatus(structs.Code(code))
			Expect(status).NotTo(Equal(500), code)
			Expect(page("api.md")).To(ContainSubstring("| `"+code+"` | "+strconv.Itoa(status)+" | "), code)
			Expect(page("OPERATIONS.md")).To(ContainSubstring("| `"+code+"` | "), code)
		}
	})

	// Guards against paths and headers that are not documented.
	It("lists each path and header in api.md", func() {
		for _, word := range append(stringConstants("doc.go", "Path"), stringConstants("doc.go", "Header")...) {
			Expect(page("api.md")).To(ContainSubstring(word))
		}
	})
})
