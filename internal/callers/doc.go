// Package callers implements the HTTP interface for callers, which docs/API.md
// describes. It checks a request, creates an exchange for it, and writes the
// answer or an RFC 9457 problem document.
package callers
