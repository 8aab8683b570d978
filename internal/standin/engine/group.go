package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// cancelTimeout limits the call with which the leader asks a member to release
// its share.
const cancelTimeout = time.Second

// ShareTokens returns how many of the prompt's tokens each member of a group
// processes, rounded up.
func ShareTokens(promptTokens, members int) int {
	return (promptTokens + members - 1) / members
}

// runLeader makes the members process their shares, starts decoding when all of
// them have, and cancels their shares when the work item has ended. If a member
// ends its call before that, its share is lost, and the work item fails.
func (i *instance) runLeader(r api.ChatRequest, f *progressFeed) {
	ctx, cancel := context.WithCancel(i.ctx)
	defer cancel()
	members := r.Group[1:]
	results := make(chan error, 2*len(members))
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, member := range members {
		calls.Go(func() { i.prefillMember(ctx, member, r, results) })
	}
	ended := func(p batch.Progress) bool { return p.Finish != "" }
	calls.Go(func() {
		i.awaitMembers(ctx, r.Work, len(members), results)
	})
	changed := f.subscribe()
	defer f.unsubscribe(changed)
	f.await(changed, ended, i.ctx, ctx)
	cancel()
	for _, member := range members {
		calls.Go(func() { i.cancelShare(member, r.Work) })
	}
}

// awaitMembers counts the finished shares, starts decoding after the last one,
// and fails the work item as soon as one share is lost.
func (i *instance) awaitMembers(ctx context.Context, work api.WorkID, members int, results <-chan error) {
	unfinishedShares := members
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-results:
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				i.withCore(func(core *batch.Engine, now time.Duration) { core.Fail(now, work) })
				return
			}
			if unfinishedShares--; unfinishedShares == 0 {
				i.withCore(func(core *batch.Engine, now time.Duration) { core.RecordMembersPrefilled(now, work) })
				i.wakeStepLoop()
			}
		}
	}
}

// prefillMember makes one member process its share. It sends nil to results when
// the share is done, and an error when the member releases the share or cannot
// process it.
func (i *instance) prefillMember(ctx context.Context, member string, r api.ChatRequest, results chan<- error) {
	resp, err := i.postMember(ctx, member, api.PathPrefill, api.PrefillRequest{
		Work: r.Work, Tokens: ShareTokens(r.PromptTokens+r.Offset, len(r.Group)), Priority: r.Priority,
	})
	if err != nil {
		results <- err
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	if _, err = lines.ReadBytes('\n'); err != nil || resp.StatusCode != http.StatusOK {
		results <- errors.Errorf("member %s did not process its share", member)
		return
	}
	results <- nil
	_, _ = io.Copy(io.Discard, lines)
	results <- errors.Errorf("member %s let go of its share", member)
}

// cancelShare asks a member to release its share because the work item has
// ended. Errors are ignored, since the host cancels at every member as well.
func (i *instance) cancelShare(member string, work api.WorkID) {
	ctx, cancel := context.WithTimeout(i.ctx, cancelTimeout)
	defer cancel()
	if resp, err := i.postMember(ctx, member, api.PathCancel, api.WorkRef{Work: work}); err == nil {
		_ = resp.Body.Close()
	}
}

// postMember sends a JSON document to a member of the group over a connection of
// its own.
func (i *instance) postMember(ctx context.Context, member, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode call to member")
	}
	return i.engine.httpClient.Do(ctx, httpcall.Call{
		Method: http.MethodPost, Address: member, Path: path,
		Body: bytes.NewReader(body), BodyLength: int64(len(body)), NewConnection: true,
	})
}

// prefillShare processes this engine's share of a group's prompt. The first line
// of the answer reports that the share is processed; the answer ends when this
// engine releases the share.
func (i *instance) prefillShare(c echo.Context) error {
	var r api.PrefillRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil {
		return badRequest("body: " + err.Error())
	}
	f := &progressFeed{}
	var err error
	i.withCore(func(core *batch.Engine, now time.Duration) {
		err = core.Submit(now, batch.Submission{
			Work: r.Work, Priority: r.Priority, PromptTokens: r.Tokens, IsMember: true, Observer: f,
		})
	})
	if err != nil {
		return errorAnswerFor(err)
	}
	i.wakeStepLoop()
	requestCtx := c.Request().Context()
	done := func(p batch.Progress) bool { return p.Prefilled || p.Finish != "" }
	defer f.attach()()
	changed := f.subscribe()
	defer f.unsubscribe(changed)
	if p, ok := f.await(changed, done, i.ctx, requestCtx); !ok || p.Finish != "" {
		panic(http.ErrAbortHandler)
	}
	w := c.Response()
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "{\"prefilled\":true}\n")
	w.Flush()
	ended := func(p batch.Progress) bool { return p.Finish != "" }
	f.await(changed, ended, i.ctx, requestCtx)
	return nil
}
