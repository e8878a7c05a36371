package wal

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// Permissions of created directories and files. Only the owner has access,
// because entries can contain customer data.
const (
	dirPermission  = 0o700
	filePermission = 0o600
)

// OSFS is the file system of the operating system.
type OSFS struct{}

// MkdirAll implements FS.
func (OSFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirPermission) }

// List implements FS.
func (OSFS) List(dir string) ([]string, error) {
	items, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, item := range items {
		if !item.IsDir() {
			names = append(names, item.Name())
		}
	}
	return names, nil
}

// ReadFile implements FS.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OSFS) Create(name string) (File, error) {
	flags := os.O_CREATE | os.O_TRUNC | os.O_WRONLY | os.O_APPEND
	return os.OpenFile(name, flags, filePermission)
}

// Append implements FS.
func (OSFS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, filePermission)
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS with flock. The kernel releases the lock when the process
// ends.
func (OSFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, &LockedError{File: name}
	}
	return nil, err
}
