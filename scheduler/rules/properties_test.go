package rules_test

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"cranberrydrum.dev/scheduler/rules"
	"pgregory.net/rapid"
)

// reporter is implemented by testing.T and rapid.T.
type reporter interface {
	Fatalf(format string, args ...any)
}

// checkFormatInvariants guards against a formatter that changes the meaning of
// a text. The digest and the replicated text are computed from the canonical
// form, so a change of meaning would reach the replicated configuration.
func checkFormatInvariants(t reporter, text []byte) {
	cfg, errs := rules.Parse("x", text)
	if (cfg == nil) == (len(errs) == 0) {
		t.Fatalf("Parse returned configuration %v with %d errors", cfg != nil, len(errs))
	}
	formatted := rules.Format(text)
	if again := rules.Format(formatted); !bytes.Equal(formatted, again) {
		t.Fatalf("Format is not idempotent:\n%q\n%q", formatted, again)
	}
	cfg2, errs2 := rules.Parse("x", formatted)
	if a, b := encode(cfg), encode(cfg2); a != b {
		t.Fatalf("Format changed the configuration:\n%s\n%s", a, b)
	}
	if a, b := errorSummaries(errs), errorSummaries(errs2); a != b {
		t.Fatalf("Format changed the errors:\n%s\n%s", a, b)
	}
	if rules.Digest(text) != rules.Digest(formatted) {
		t.Fatalf("Format changed the digest")
	}
	if changes := rules.Diff(text, formatted); len(changes) > 0 {
		t.Fatalf("Format changed rules: %v", changes)
	}
}

// encode returns v as JSON, which allows configurations to be compared.
func encode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// errorSummaries returns the line, code and message of each error. Columns are
// omitted, because Format changes the spacing. The summaries are sorted, because
// the order of the errors within a line depends on their columns.
func errorSummaries(errs []*rules.Error) string {
	var lines []string
	for _, e := range errs {
		lines = append(lines, encode([]any{e.Line, e.Code, e.Message}))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// FuzzParse checks the invariants on arbitrary bytes. Run it with:
// go test -fuzz FuzzParse
func FuzzParse(f *testing.F) {
	f.Add([]byte(validRules))
	f.Add(readExample("korbfrisch.rules"))
	f.Add(readExample("remada.rules"))
	f.Add([]byte("\r region a # b: c\x00\nlink = # : \n#\n\xff\nkeys retention=.5h max-keys=007 # a::b"))
	f.Fuzz(func(t *testing.T, text []byte) { checkFormatInvariants(t, text) })
}

// TestMutatedRules checks the invariants on a valid file with random edits.
func TestMutatedRules(t *testing.T) {
	fragments := rapid.SampledFrom([]string{" ", "\t", "\r", "\n", "#", ":", "=", "%", "0", "1.5", "h", "on", "\u00a0", "\xf0", "region", "keys=on", "racks=999", "z-"})
	rapid.Check(t, func(t *rapid.T) {
		text := validRules
		for range rapid.IntRange(0, 6).Draw(t, "edits") {
			from := rapid.IntRange(0, len(text)).Draw(t, "from")
			to := min(len(text), from+rapid.SampledFrom([]int{0, 0, 1, 4, 90}).Draw(t, "length"))
			text = text[:from] + fragments.Draw(t, "piece") + text[to:]
		}
		checkFormatInvariants(t, []byte(text))
	})
}

// TestDiffTransformsOldToNew guards against changes that Diff omits or reports
// wrongly: the old rules with the reported changes applied must equal the new
// rules.
func TestDiffTransformsOldToNew(t *testing.T) {
	customers := rapid.MapOfN(
		rapid.SampledFrom([]string{"ada", "bea", "cem", "dor", "eli"}),
		rapid.SampledFrom([]string{"weight=1 # A: x", "weight=2 # A: x", "weight=1 # B: y", "# A: x"}),
		0, 5)
	rapid.Check(t, func(t *rapid.T) {
		old, latest := customers.Draw(t, "old"), customers.Draw(t, "new")
		order := rapid.Permutation(slices.Sorted(maps.Keys(latest))).Draw(t, "order")
		patched := maps.Clone(old)
		for _, c := range rules.Diff(customerText(old, slices.Sorted(maps.Keys(old))), customerText(latest, order)) {
			name := strings.TrimPrefix(c.ID, "customer ")
			if before, present := patched[name]; present != (c.Kind != rules.Added) || (present && customerLine(name, before) != c.Old+" # "+c.OldComment) {
				t.Fatalf("change does not start from the old rule: %+v", c)
			}
			delete(patched, name)
			if c.Kind != rules.Removed {
				fields := strings.TrimPrefix(strings.TrimPrefix(c.New, c.ID), " ")
				patched[name] = strings.TrimPrefix(fields+" # "+c.NewComment, " ")
			}
		}
		if !maps.Equal(patched, latest) {
			t.Fatalf("patched %v, want %v", patched, latest)
		}
	})
}

func customerLine(name, rest string) string { return "customer " + name + " " + rest }

func customerText(customers map[string]string, order []string) []byte {
	var lines []string
	for _, name := range order {
		lines = append(lines, customerLine(name, customers[name]))
	}
	return []byte(strings.Join(lines, "\n"))
}
