package configstate

import (
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// Source is the origin of a host's knowledge of the latest committed version.
type Source string

// Sources of the latest version.
const (
	// SourceNone means that the host does not know the latest version yet.
	SourceNone Source = "none"
	// SourceQuorum means that a quorum of the log confirmed the version.
	SourceQuorum Source = "quorum"
	// SourceDomain means that the host could not reach a quorum and asked the
	// hosts of its own failure domain; newer versions may exist elsewhere.
	SourceDomain Source = "domain"
)

// Readiness reports whether a host may serve requests, and on which source that
// is based.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Source Source `json:"source"`
	// Version is the version in effect on the host.
	Version uint64 `json:"version"`
	// Required is the highest version that was confirmed to the host as
	// committed.
	Required uint64 `json:"required"`
}

// Follower is the copy of the configuration on a host without a data directory.
// It never returns to an earlier version.
type Follower struct {
	version  uint64
	digest   string
	text     []byte
	cfg      *structs.Config
	source   Source
	required uint64
	ready    bool
}

// NewFollower returns a follower that has no configuration.
func NewFollower() *Follower {
	return &Follower{source: SourceNone}
}

// Offer passes a committed version from any host to the follower and reports
// whether the follower adopted it; older and equal versions are not adopted. It
// returns an error if the text does not match its digest or is invalid, or if
// the version in effect is offered with another digest.
func (f *Follower) Offer(version uint64, digest string, text []byte) (bool, error) {
	if version < f.version || version == 0 {
		return false, nil
	}
	if version == f.version {
		return false, f.checkDigest(digest)
	}
	if rules.Digest(text) != digest {
		return false, &OfferError{Version: version, Reason: "the text does not match its digest"}
	}
	cfg, errs := rules.Load(FileName, text)
	if len(errs) > 0 {
		return false, &OfferError{Version: version, Reason: errs[0].Error()}
	}
	f.version = version
	f.digest = digest
	f.text = rules.Format(text)
	f.cfg = cfg
	f.updateReady()
	return true, nil
}

func (f *Follower) checkDigest(digest string) error {
	if digest == f.digest {
		return nil
	}
	return &OfferError{Version: f.version, Reason: "digest " + digest + " differs from " + f.digest + " in force"}
}

// Confirm records that the given version is the latest committed one known to
// the source. The follower becomes ready when it has that version, and then
// stays ready.
func (f *Follower) Confirm(source Source, version uint64) {
	if source == SourceNone {
		return
	}
	f.source = source
	f.required = max(f.required, version)
	f.updateReady()
}

func (f *Follower) updateReady() {
	if f.source != SourceNone && f.version > 0 && f.version >= f.required {
		f.ready = true
	}
}

// Readiness returns the readiness of the host.
func (f *Follower) Readiness() Readiness {
	return Readiness{Ready: f.ready, Source: f.source, Version: f.version, Required: f.required}
}

// Version returns the version in effect, or 0.
func (f *Follower) Version() uint64 { return f.version }

// Digest returns the digest of the version in effect.
func (f *Follower) Digest() string { return f.digest }

// Text returns the text in effect in canonical form. It must not be modified.
func (f *Follower) Text() []byte { return f.text }

// Config returns the configuration in effect, or nil. It must not be modified.
func (f *Follower) Config() *structs.Config { return f.cfg }
