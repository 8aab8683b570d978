// Package traffic carries requests and answers between callers and upstreams.
// It owns the bytes: it starts what the dispatch core's effects ask for, checks
// that every piece belongs to the attempt that is current and follows the last
// one without gap or repeat, and reports the end of each attempt as an event.
//
// An Exchange is one caller's request. The callers' side opens it, posts
// dispatch.Arrived, and consumes Exchange.Next until the final result.
package traffic
