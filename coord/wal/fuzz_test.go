package wal_test

import (
	"errors"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/wal"
)

// Guards against panics and wrong content after arbitrary damage to a file:
// recovery must return a typed error or a state that the store had before.
func FuzzRecovery(f *testing.F) {
	f.Add(byte(0), uint16(30), []byte{1}, uint16(0))
	f.Add(byte(1), uint16(60), []byte{0xff, 0xff}, uint16(0))
	f.Add(byte(2), uint16(0), []byte{}, uint16(5))
	f.Add(byte(3), uint16(28), []byte("CDWAL001"), uint16(9))
	f.Add(byte(4), uint16(100), []byte{0, 0, 0, 0}, uint16(40))
	f.Fuzz(func(t *testing.T, file byte, offset uint16, replacement []byte, cutBytes uint16) {
		RegisterTestingT(t)
		fs := wal.NewMemFS()
		history := newFilledStore(fs)
		names, _ := fs.List(dir)
		name := names[int(file)%len(names)]
		if name == "lock" {
			return
		}
		overwrite(fs, name, damagedContent(readContent(fs, name), int(offset), replacement, int(cutBytes)))
		store, err := reopen(fs)
		if err != nil {
			checkTyped(t, err)
			return
		}
		got := load(t, store)
		for _, known := range history {
			if got.String() == known.String() {
				return
			}
		}
		t.Fatalf("after damage of %s the store recovers a state that it never had: %v", filepath.Base(name), got)
	})
}

// damagedContent overwrites bytes from an offset on and removes bytes at the
// end.
func damagedContent(data []byte, offset int, replacement []byte, cutBytes int) []byte {
	offset %= len(data) + 1
	out := append(append([]byte(nil), data[:offset]...), replacement...)
	if len(out) < len(data) {
		out = append(out, data[len(out):]...)
	}
	return out[:max(0, len(out)-cutBytes)]
}

func checkTyped(t *testing.T, err error) {
	var damage *wal.DamageError
	var io *wal.IOError
	if !errors.As(err, &damage) && !errors.As(err, &io) {
		t.Fatalf("untyped error %T: %v", err, err)
	}
}
