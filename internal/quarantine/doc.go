// Package quarantine finds the parts of prompts, and the requests, that crash servers,
// and tells which requests must not reach one.
//
// A server that crashes has requests of all kinds, so a single crash says little.
// Every host reports the shared parts of those prompts that a crashed server had
// hardly begun to answer, and leaves out the parts that it has seen in sound
// answers lately. A part that is left after crashes of several servers at different
// moments is quarantined on all hosts: requests with it are refused.
// Beside a prompt whose answer had begun, those that only waited at the server are no
// suspects.
//
// Parts that only ever come together can't be told apart by crashes. A quarantine
// therefore holds only for prompts that have all of them, until a prompt with some
// of them shows which of them are sound.
//
// A request that comes again as it is, with or without a prompt, is blamed by the name
// of its content (ContentName), which stands beside the parts of its prompt in all of
// this. Contents count only once a crash is remembered; a day without crashes names none.
//
// A quarantine ends when a request with the part is answered. The host that is
// responsible for the part lets a single request through as a trial when the hold
// is over, and the hold grows with every trial. A quarantine that no request has
// met for a long time is forgotten.
//
// The package is a state machine without side effects: it reads no clock and does
// no I/O.
package quarantine
