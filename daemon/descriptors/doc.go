// Package descriptors divides the file descriptors of a process between its
// connections. A process at its limit can neither accept a peer nor open its log,
// so connections of less importance are closed or refused before that happens.
//
// The order of importance is: peers and files first, which are only counted, then
// accepted connections of clients, operators and executors, then dialled
// connections. Connections are closed only while they wait for a request.
package descriptors
