package configstate

import (
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// Source says where a host learned which version is the latest committed one.
type Source string

// Sources of the latest version.
const (
	// SourceNone means that the host does not know the latest version yet.
	SourceNone Source = "none"
	// SourceQuorum means that a quorum of the log confirmed the version.
	SourceQuorum Source = "quorum"
	// SourceDomain means that the host was cut off and asked the hosts of its
	// own failure domain; newer versions may exist elsewhere.
	SourceDomain Source = "domain"
)

// Readiness tells whether a host may serve, and on whose word.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Source Source `json:"source"`
	// Version is the version that the host has in force.
	Version uint64 `json:"version"`
	// Required is the highest version that the host was told to be committed.
	Required uint64 `json:"required"`
}

// Follower is the copy of the configuration on a host without a data folder.
// It never goes back to an earlier version.
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

// Offer hands over a committed version from any host. It reports whether the
// version was taken; an older or equal one is not. A text that does not match
// its digest, or other content under the version in force, is an error.
func (f *Follower) Offer(version uint64, digest string, text []byte) (bool, error) {
	if version < f.version || version == 0 {
		return false, nil
	}
	if version == f.version {
		return false, f.checkSame(digest)
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
	f.update()
	return true, nil
}

func (f *Follower) checkSame(digest string) error {
	if digest == f.digest {
		return nil
	}
	return &OfferError{Version: f.version, Reason: "digest " + digest + " differs from " + f.digest + " in force"}
}

// Confirm records that the given version is the latest committed one, as far
// as the source knows. The follower becomes ready once it has that version,
// and then stays ready.
func (f *Follower) Confirm(source Source, version uint64) {
	if source == SourceNone {
		return
	}
	f.source = source
	f.required = max(f.required, version)
	f.update()
}

func (f *Follower) update() {
	if f.source != SourceNone && f.version > 0 && f.version >= f.required {
		f.ready = true
	}
}

// Readiness returns whether the host may serve.
func (f *Follower) Readiness() Readiness {
	return Readiness{Ready: f.ready, Source: f.source, Version: f.version, Required: f.required}
}

// Version returns the version in force, or 0.
func (f *Follower) Version() uint64 { return f.version }

// Digest returns the digest of the version in force.
func (f *Follower) Digest() string { return f.digest }

// Text returns the text in force in canonical form. It must not be modified.
func (f *Follower) Text() []byte { return f.text }

// Config returns the configuration in force, or nil. It must not be modified.
func (f *Follower) Config() *structs.Config { return f.cfg }
