package configstate

import (
	"slices"
	"strconv"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// FileName stands for the name of the file in errors about a replicated text.
const FileName = "rules"

// State is the replicated configuration. It implements replica.StateMachine.
type State struct {
	checks   []rules.GuaranteeCheck
	version  uint64
	digest   string
	author   string
	text     []byte
	cfg      *structs.Config
	keyHomes []string
	history  []Entry
	// historyBytes is the sum of Entry.maxEncodedBytes over the history.
	historyBytes int
}

// New returns the state before the first accepted configuration.
func New(checks ...rules.GuaranteeCheck) *State {
	return &State{checks: checks}
}

// Version returns the latest accepted version, or 0.
func (s *State) Version() uint64 { return s.version }

// Digest returns the digest of the accepted text.
func (s *State) Digest() string { return s.digest }

// Text returns the accepted text in canonical form. It must not be modified.
func (s *State) Text() []byte { return s.text }

// Config returns the accepted configuration, or nil. It must not be modified.
func (s *State) Config() *structs.Config { return s.cfg }

// KeyHomes returns the failure domains that may store request keys, sorted by
// name.
func (s *State) KeyHomes() []string { return slices.Clone(s.keyHomes) }

// History returns the entries of the latest versions, oldest first.
func (s *State) History() []Entry { return slices.Clone(s.history) }

// Apply applies a command of the log and returns an encoded Result.
func (s *State) Apply(index, _ uint64, command []byte) []byte {
	var c Command
	if err := codec.Unmarshal(command, &c); err != nil {
		return encodeResult(refuse(structs.CodeInvalid, "the command cannot be decoded"))
	}
	return encodeResult(s.apply(index, c))
}

func (s *State) apply(index uint64, c Command) Result {
	if c.Author == "" || len(c.Author) > MaxAuthorBytes {
		return refuse(structs.CodeInvalid, "author must have 1 to "+strconv.Itoa(MaxAuthorBytes)+" bytes")
	}
	if len(c.RequestID) > MaxRequestIDBytes {
		return refuse(structs.CodeInvalid, "request id must have at most "+strconv.Itoa(MaxRequestIDBytes)+" bytes")
	}
	if c.BaseVersion != s.version {
		return s.answerStaleBase(c)
	}
	cfg, errs := rules.Parse(FileName, c.Text, s.checks...)
	if len(errs) > 0 {
		return refuseRules(errs)
	}
	homes := keyHomes(cfg)
	if s.version > 0 && !slices.Equal(homes, s.keyHomes) {
		return refuse(structs.CodeKeyHomesFixed, "the set of failure domains with keys=on was fixed by the first configuration")
	}
	s.accept(index, c, cfg, homes)
	return Result{Version: s.version, Digest: s.digest}
}

func (s *State) accept(index uint64, c Command, cfg *structs.Config, homes []string) {
	text := rules.Format(c.Text)
	entry := Entry{
		Version:   s.version + 1,
		Digest:    rules.Digest(text),
		Author:    c.Author,
		RequestID: c.RequestID,
		Index:     index,
	}
	entry.countChanges(rules.Diff(s.text, text))
	s.version = entry.Version
	s.digest = entry.Digest
	s.author = entry.Author
	s.text = text
	s.cfg = cfg
	s.keyHomes = homes
	s.appendHistory(entry)
}

func (e *Entry) countChanges(changes []rules.Change) {
	for _, c := range changes {
		switch c.Kind {
		case rules.Added:
			e.Added++
		case rules.Removed:
			e.Removed++
		case rules.Changed:
			e.Changed++
			if c.OldComment != c.NewComment {
				e.Comments++
			}
		}
	}
}

// appendHistory appends an entry to the history and drops the oldest entries
// above MaxHistory and MaxHistoryBytes.
func (s *State) appendHistory(e Entry) {
	s.history = append(s.history, e)
	s.historyBytes += e.maxEncodedBytes()
	for len(s.history) > MaxHistory || s.historyBytes > MaxHistoryBytes {
		s.historyBytes -= s.history[0].maxEncodedBytes()
		s.history = s.history[1:]
	}
}

// answerStaleBase returns the result of a command whose base version is not the
// latest one.
func (s *State) answerStaleBase(c Command) Result {
	if c.BaseVersion > s.version {
		return s.conflict(structs.OutcomeNotRun, s.latest(), "is not accepted yet")
	}
	successor, found := s.historyEntry(c.BaseVersion + 1)
	if !found {
		// The command may be a resend of the change that was accepted then.
		return s.conflict(structs.OutcomeUnknown, s.latest(), "is older than the history")
	}
	if successor.Digest == rules.Digest(c.Text) {
		return Result{Version: successor.Version, Digest: successor.Digest}
	}
	winner := Winner{Version: successor.Version, Digest: successor.Digest, Author: successor.Author}
	return s.conflict(structs.OutcomeNotRun, winner, "was already replaced")
}

func (s *State) latest() Winner {
	return Winner{Version: s.version, Digest: s.digest, Author: s.author}
}

func (s *State) historyEntry(version uint64) (Entry, bool) {
	if len(s.history) == 0 || version < s.history[0].Version {
		return Entry{}, false
	}
	return s.history[version-s.history[0].Version], true
}

func (s *State) conflict(outcome structs.Outcome, w Winner, reason string) Result {
	message := "the base version " + reason + "; the latest version is " + strconv.FormatUint(s.version, 10)
	if w.Version == 0 {
		return Result{Refusal: &structs.Refusal{Code: structs.CodeVersionConflict, Outcome: outcome, Message: message}}
	}
	message += "; version " + strconv.FormatUint(w.Version, 10) + " was applied by " + w.Author + " with digest " + w.Digest
	return Result{
		Refusal: &structs.Refusal{Code: structs.CodeVersionConflict, Outcome: outcome, Message: message},
		Winner:  &w,
	}
}

func refuse(code structs.Code, message string) Result {
	return Result{Refusal: structs.RefuseNotRun(code, message)}
}

// refuseRules refuses an invalid text. If all errors are guarantees that do not
// fit, the refusal has the code for that.
func refuseRules(errs []*rules.Error) Result {
	code := structs.CodeRulesInvalid
	isOtherError := func(e *rules.Error) bool { return e.Code != rules.CodeGuaranteeDoesNotFit }
	if !slices.ContainsFunc(errs, isOtherError) {
		code = structs.CodeGuaranteeDoesNotFit
	}
	r := refuse(code, strconv.Itoa(len(errs))+" errors in the rules; the first is: "+errs[0].Error())
	r.Errors = errs[:min(len(errs), MaxReportedErrors)]
	return r
}

func keyHomes(cfg *structs.Config) []string {
	var homes []string
	for _, d := range cfg.Domains {
		if d.KeyHome {
			homes = append(homes, d.Name)
		}
	}
	slices.Sort(homes)
	return homes
}
