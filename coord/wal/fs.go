package wal

import "io"

// File is a file opened for appending.
type File interface {
	io.Writer
	// Sync makes all earlier writes durable.
	Sync() error
	Close() error
}

// FS is the set of file operations that the store needs. Names are paths.
// Creation, renaming and removal of a file are durable only after SyncDir of
// its directory.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the files in dir, sorted.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock takes an exclusive lock on a file, creating it if needed. It
	// returns a *LockedError if another process holds the lock.
	Lock(name string) (io.Closer, error)
}
