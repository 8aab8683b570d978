// Package callers is the HTTP interface towards callers, as docs/API.md
// describes it: it checks a request, opens an exchange for it, and writes the
// answer or an RFC 9457 problem document.
package callers
