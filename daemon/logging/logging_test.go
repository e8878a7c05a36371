package logging_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"cranberrydrum.dev/daemon/logging"
	"cranberrydrum.dev/daemon/settings"
)

// TestLevelsAndFormats guards against debug lines, which contain the names of
// peers and requests, in a log with a higher level, and against secrets in the
// log.
func TestLevelsAndFormats(t *testing.T) {
	for level, lines := range map[string]int{"debug": 3, "info": 2, "error": 1, "": 2} {
		var out bytes.Buffer
		log := logging.New(&out, level, "json")
		log.V(1).Info("detail")
		log.Info("started", "key", settings.NewSecret("hidden-value"))
		log.Error(errors.New("cause"), "failed")
		got := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(got) != lines {
			t.Errorf("level %q wrote %d lines: %s", level, len(got), out.String())
		}
		for _, line := range got {
			if !json.Valid([]byte(line)) {
				t.Errorf("level %q wrote %q, which is not valid JSON", level, line)
			}
		}
		if strings.Contains(out.String(), "hidden-value") {
			t.Errorf("level %q wrote a secret: %s", level, out.String())
		}
	}
	var text bytes.Buffer
	logging.New(&text, "info", "text").Info("started")
	if json.Valid(text.Bytes()) || !strings.Contains(text.String(), "started") {
		t.Errorf("text format wrote %q", text.String())
	}
}
