// Package host assembles the process of an entry host: the control thread that
// steps the router's core, the traffic that carries out its effects, the
// servers for callers, operators and other hosts, and the reading of the
// platform's lists.
package host
