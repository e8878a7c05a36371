package control

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	identityFile = "member"
	logFolder    = "log"
	// identityMark separates the host of a member from its number.
	identityMark = "#"
	// firstNumber is the number of the members that form the log.
	firstNumber = "0"
)

// FolderError reports a data folder that cannot be used.
type FolderError struct {
	Folder string
	Cause  error
}

// Error implements error.
func (e *FolderError) Error() string { return "data folder " + e.Folder + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Cause }

// hostOf returns the host of a member.
func hostOf(member string) string {
	host, _, _ := strings.Cut(member, identityMark)
	return host
}

// loadIdentity returns the member that the data folder belongs to. An empty
// folder gets a new one: a host that lost its disk has lost its votes and must
// not vote as who it was. found is false for a new one.
func loadIdentity(folder, host string, founders []string, bootstrap bool) (member string, found bool, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", false, &FolderError{Folder: folder, Cause: err}
	}
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if err == nil && hostOf(string(data)) == host {
		return string(data), true, nil
	}
	if err != nil && !os.IsNotExist(err) {
		return "", false, &FolderError{Folder: folder, Cause: err}
	}
	member = host + identityMark + strconv.FormatInt(time.Now().UnixNano(), 36)
	if bootstrap && slices.Contains(founders, host) {
		member = host + identityMark + firstNumber
	}
	// A log of another identity, or of one that was not stored in full, is void.
	if err := os.RemoveAll(filepath.Join(folder, logFolder)); err != nil {
		return "", false, &FolderError{Folder: folder, Cause: err}
	}
	return member, false, saveIdentity(folder, member)
}

// saveIdentity stores the member so that it survives a loss of power.
func saveIdentity(folder, member string) error {
	path := filepath.Join(folder, identityFile)
	f, err := os.Create(path + ".new")
	if err != nil {
		return &FolderError{Folder: folder, Cause: err}
	}
	_, err = f.WriteString(member)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		return &FolderError{Folder: folder, Cause: err}
	}
	return nil
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closed := d.Close(); err == nil {
		err = closed
	}
	return err
}
