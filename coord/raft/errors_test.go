package raft_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
)

// refusals lists every exported error type and whether it refuses only one call
// or one message.
var refusals = map[string]struct {
	err  raft.Error
	want bool
}{
	"ConfigError":             {&raft.ConfigError{}, false},
	"CorruptStateError":       {&raft.CorruptStateError{}, false},
	"ConflictError":           {&raft.ConflictError{}, false},
	"NotLeaderError":          {&raft.NotLeaderError{}, true},
	"TransferInProgressError": {&raft.TransferInProgressError{}, true},
	"TransferRefusedError":    {&raft.TransferRefusedError{}, true},
	"NoSuccessorError":        {&raft.NoSuccessorError{}, true},
	"NotReadyError":           {&raft.NotReadyError{}, true},
	"ChangeInProgressError":   {&raft.ChangeInProgressError{}, true},
	"ChangeRefusedError":      {&raft.ChangeRefusedError{}, true},
	"TooLargeError":           {&raft.TooLargeError{}, true},
	"OverloadedError":         {&raft.OverloadedError{}, true},
	"MalformedMessageError":   {&raft.MalformedMessageError{}, true},
	"WrongGroupError":         {&raft.WrongGroupError{}, true},
	"RemovedMemberError":      {&raft.RemovedMemberError{}, true},
}

var _ = Describe("the errors of a node", func() {
	// Guards against a refusal that a caller takes for a failure of the log, which
	// ends the log of a healthy host, and against the reverse.
	It("say whether they refuse one call or end the log", func() {
		for name, c := range refusals {
			Expect(raft.IsRefusal(c.err)).To(Equal(c.want), name)
		}
	})

	// Guards against a new error type that the table above does not classify.
	It("are all classified", func() {
		Expect(exportedErrorTypes()).To(ConsistOf(slices.Collect(maps.Keys(refusals))))
	})
})

// exportedErrorTypes returns the exported types of the package with an Error
// method.
func exportedErrorTypes() []string {
	paths, err := filepath.Glob("*.go")
	Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		Expect(err).NotTo(HaveOccurred())
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv == nil || f.Name.Name != "Error" {
				continue
			}
			if pointer, ok := f.Recv.List[0].Type.(*ast.StarExpr); ok {
				names = append(names, pointer.X.(*ast.Ident).Name)
			}
		}
	}
	return names
}
