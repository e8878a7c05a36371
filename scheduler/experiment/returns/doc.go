// Package returns simulates callers that are refused and return, in virtual time, and
// counts how many of them are served within their objective, served late or never
// served. The package reads no clock; a seed makes a run reproducible.
//
// A caller has an objective and a late window, which start with its first try. It sends
// each try with the same key and with a deadline. After a refusal it returns when it
// was told to, or after a jittered exponential delay if it was told no time, until
// its late window has passed.
package returns
