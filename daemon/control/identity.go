package control

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"cranberrydrum.dev/coord/reconfig"
	"cranberrydrum.dev/coord/wal"
	"cranberrydrum.dev/daemon/storage"
)

const (
	identityFile = "member"
	logDir       = "log"
	// founderNumber is the number in the identity of each founding member of the
	// group.
	founderNumber = "0"
)

// DataDirError reports a data directory that cannot be read or written.
type DataDirError struct {
	Dir   string
	Cause error
}

// Error implements error.
func (e *DataDirError) Error() string { return "data directory " + e.Dir + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DataDirError) Unwrap() error { return e.Cause }

// loadIdentity returns the member identity stored in the data directory, with
// found set. If the directory is empty or belongs to another host, it stores a new
// identity and found is false: a host that lost its disk has lost the record of its
// votes and must not vote under its former identity. Only the first identity of a data
// directory can be that of a founder: a founder that was removed has discarded its
// identity and its log, and the settings may still say bootstrap.
func loadIdentity(dir, host string, founders []string, bootstrap bool) (member string, found bool, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", false, &DataDirError{Dir: dir, Cause: err}
	}
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if err == nil && reconfig.HostOf(string(data)) == host {
		return string(data), true, nil
	}
	isFirst := os.IsNotExist(err)
	if err != nil && !isFirst {
		return "", false, &DataDirError{Dir: dir, Cause: err}
	}
	member = host + reconfig.IdentitySeparator + strconv.FormatInt(time.Now().UnixNano(), 36)
	if bootstrap && isFirst && slices.Contains(founders, host) {
		member = host + reconfig.IdentitySeparator + founderNumber
	}
	// An existing log belongs to another identity or to one that was not stored
	// completely, and must not be used.
	if err := removeLog(dir); err != nil {
		return "", false, err
	}
	return member, false, saveIdentity(dir, member)
}

// removeLog deletes the log of another identity. It returns once that is durable, so that
// no part of the log is there again beside an identity that is stored after it.
func removeLog(dir string) error {
	log := filepath.Join(dir, logDir)
	files, err := os.ReadDir(log)
	if os.IsNotExist(err) {
		return nil
	}
	for _, f := range files {
		if err == nil {
			err = os.RemoveAll(filepath.Join(log, f.Name()))
		}
	}
	if err == nil {
		err = syncDir(log)
	}
	if err == nil {
		err = os.Remove(log)
	}
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		return &DataDirError{Dir: dir, Cause: err}
	}
	return nil
}

// openLog opens the log of a member. The log of another identity is deleted first.
func openLog(dir, member string) (*storage.Disk, error) {
	log, options := filepath.Join(dir, logDir), storage.Options{StoreID: member, SkipCommitOnlySaves: true}
	store, err := storage.Open(log, options)
	var foreign *wal.IdentityError
	if !errors.As(err, &foreign) {
		return store, err
	}
	if err := removeLog(dir); err != nil {
		return nil, err
	}
	return storage.Open(log, options)
}

// saveIdentity stores the member identity so that it survives a power failure.
func saveIdentity(dir, member string) error {
	path := filepath.Join(dir, identityFile)
	f, err := os.Create(path + ".new")
	if err != nil {
		return &DataDirError{Dir: dir, Cause: err}
	}
	_, err = f.WriteString(member)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		return &DataDirError{Dir: dir, Cause: err}
	}
	return nil
}

func syncDir(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = handle.Sync()
	if closeErr := handle.Close(); err == nil {
		err = closeErr
	}
	return err
}
