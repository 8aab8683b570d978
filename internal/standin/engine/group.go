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

// noticeTimeout bounds the leader's notice to a member that the work is over.
const noticeTimeout = time.Second

// ShareTokens returns how many of the prompt's tokens each member of a group processes.
func ShareTokens(promptTokens, members int) int {
	return (promptTokens + members - 1) / members
}

// lead has the members process their shares, lets decoding begin when all
// have, and tells them when the work is over. A member that drops the call
// before that has lost its share, so the work fails.
func (l *life) lead(r api.ChatRequest, f *feed) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	members := r.Group[1:]
	results := make(chan error, 2*len(members))
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, member := range members {
		calls.Go(func() { l.prefillMember(ctx, member, r, results) })
	}
	over := func(p batch.Progress) bool { return p.Finish != "" }
	calls.Go(func() {
		l.awaitMembers(ctx, r.Work, len(members), results)
	})
	changed := f.subscribe()
	defer f.unsubscribe(changed)
	f.await(changed, over, l.ctx, ctx)
	cancel()
	for _, member := range members {
		calls.Go(func() { l.notifyOver(member, r.Work) })
	}
}

// awaitMembers counts finished shares and fails the work at the first loss.
func (l *life) awaitMembers(ctx context.Context, work api.WorkID, members int, results <-chan error) {
	left := members
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-results:
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				l.withCore(func(core *batch.Engine, now time.Duration) { core.Fail(now, work) })
				return
			}
			if left--; left == 0 {
				l.withCore(func(core *batch.Engine, now time.Duration) { core.RecordMembersPrefilled(now, work) })
				l.poke()
			}
		}
	}
}

// prefillMember sends nil when the member's share is done and an error when
// the member let go of it.
func (l *life) prefillMember(ctx context.Context, member string, r api.ChatRequest, results chan<- error) {
	resp, err := l.postMember(ctx, member, api.PathPrefill, api.PrefillRequest{
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

func (l *life) notifyOver(member string, work api.WorkID) {
	ctx, cancel := context.WithTimeout(l.ctx, noticeTimeout)
	defer cancel()
	if resp, err := l.postMember(ctx, member, api.PathCancel, api.WorkRef{Work: work}); err == nil {
		_ = resp.Body.Close()
	}
}

func (l *life) postMember(ctx context.Context, member, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode call to member")
	}
	return l.engine.calls.Do(ctx, httpcall.Call{
		Method: http.MethodPost, Address: member, Path: path,
		Body: bytes.NewReader(body), BodyLength: int64(len(body)), NewConnection: true,
	})
}

// prefillShare processes a member's share. The answer's first line says that
// the share is done; the answer ends when the member lets go of it.
func (l *life) prefillShare(c echo.Context) error {
	var r api.PrefillRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil {
		return badRequest("body: " + err.Error())
	}
	f := &feed{}
	var err error
	l.withCore(func(core *batch.Engine, now time.Duration) {
		err = core.Submit(now, batch.Submission{
			Work: r.Work, Priority: r.Priority, PromptTokens: r.Tokens, IsMember: true, Observer: f,
		})
	})
	if err != nil {
		return refusalOf(err)
	}
	l.poke()
	request := c.Request().Context()
	done := func(p batch.Progress) bool { return p.Prefilled || p.Finish != "" }
	defer f.attach()()
	changed := f.subscribe()
	defer f.unsubscribe(changed)
	if p, ok := f.await(changed, done, l.ctx, request); !ok || p.Finish != "" {
		panic(http.ErrAbortHandler)
	}
	w := c.Response()
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "{\"prefilled\":true}\n")
	w.Flush()
	over := func(p batch.Progress) bool { return p.Finish != "" }
	f.await(changed, over, l.ctx, request)
	return nil
}
