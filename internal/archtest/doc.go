// Package archtest holds tests of the source tree itself: what the decision
// packages may use, which packages may start processes, how large files and
// functions may grow, and that referenced pages exist. The package has no code
// besides the tests.
package archtest
