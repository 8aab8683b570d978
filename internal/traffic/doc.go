// Package traffic carries requests and answers between callers and upstreams. The
// data of requests and answers passes only through this package. It carries out
// the effects that the dispatch core returns, checks that every piece of an
// answer belongs to the current attempt and follows the previous piece without a
// gap or a repetition, and reports the end of each attempt as an event.
//
// An Exchange is one request of a caller. The package that serves callers
// registers it with the Executor, posts dispatch.Arrived, and reads
// Exchange.Pieces and Exchange.FinalResult until the final result arrives.
package traffic
