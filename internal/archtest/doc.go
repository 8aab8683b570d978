// Package archtest holds tests of the source tree itself: what the decision
// packages may use, how large files and functions may grow, and which pages
// must exist. It has no code of its own.
package archtest
