package registry

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// ConflictError says that another change was accepted on the same base first.
type ConflictError struct {
	// Refused is the change that was refused; nothing of it is in force.
	Refused configuration.Change
	// BaseVersion is the version that it was based on.
	BaseVersion uint64
	// CurrentVersion is the accepted version.
	CurrentVersion uint64
	// AcceptedSinceBase are the changes since Base, the newest first, as far as known.
	AcceptedSinceBase []configuration.Change
}

// Error names both changes.
func (e *ConflictError) Error() string {
	theirs := make([]string, len(e.AcceptedSinceBase))
	for i, c := range e.AcceptedSinceBase {
		theirs[i] = fmt.Sprintf("version %d by %s (%s)", c.Version, c.Author, c.Note)
	}
	return fmt.Sprintf("the change by %s (%s) on version %d was not accepted: version %d is in force, with %s",
		e.Refused.Author, e.Refused.Note, e.BaseVersion, e.CurrentVersion, strings.Join(theirs, ", "))
}

// UnknownOutcomeError says that the acceptance could neither be confirmed nor ruled out.
type UnknownOutcomeError struct {
	// Change carries the nonce by which the change can be recognised.
	Change configuration.Change
	// Cause is the last error of the object API.
	Cause error
}

// Error tells by what the change can be recognised.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether version %d by %s was accepted (nonce %s): %v",
		e.Change.Version, e.Change.Author, e.Change.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// submission is one change on its way to acceptance.
type submission struct {
	store platform.Store
	base  configuration.Manifest
	// baseObject is the object version of the base's manifest.
	baseObject uint64
	next       configuration.Manifest
}

// Submit makes a configuration the accepted one if the accepted version is
// still base, 0 for none. The error is a finding.Error when the configuration
// or its author or note is refused, a *ConflictError when another change came
// first, and an *UnknownError when the outcome could not be read back. The
// change returned is the accepted one.
func Submit(ctx context.Context, store platform.Store, c intent.Configuration, base uint64, author, note string) (configuration.Change, error) {
	if err := check(c, author, note); err != nil {
		return configuration.Change{}, err
	}
	parts, err := configuration.Split(c)
	if err != nil {
		return configuration.Change{}, err
	}
	current, object, err := ReadManifest(ctx, store)
	if err != nil {
		return configuration.Change{}, err
	}
	s := submission{store: store, base: current, baseObject: object}
	s.next = current.Next(author, note, rand.Text(), hashes(parts))
	if current.Change.Version != base {
		return configuration.Change{}, s.conflict(current, base)
	}
	if err := s.writeParts(ctx, parts); err != nil {
		return configuration.Change{}, err
	}
	return s.accept(ctx)
}

func check(c intent.Configuration, author, note string) error {
	findings := finding.List(c.Check())
	if author == "" || len(author) > configuration.MaxAuthorBytes {
		findings.Add("author", fmt.Sprintf("has %d bytes; use 1 to %d", len(author), configuration.MaxAuthorBytes))
	}
	if len(note) > configuration.MaxNoteBytes {
		findings.Add("note", fmt.Sprintf("has %d bytes; use at most %d", len(note), configuration.MaxNoteBytes))
	}
	return findings.Err()
}

func hashes(parts []configuration.Part) []string {
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = p.Hash
	}
	return list
}

func (s *submission) conflict(current configuration.Manifest, base uint64) *ConflictError {
	mine := s.next.Change
	mine.Version = base + 1
	return &ConflictError{Refused: mine, BaseVersion: base, CurrentVersion: current.Change.Version, AcceptedSinceBase: current.ChangesSince(base)}
}

// writeParts writes the parts that the base does not name.
func (s *submission) writeParts(ctx context.Context, parts []configuration.Part) error {
	named := make(map[string]bool, len(s.base.Parts))
	for _, hash := range s.base.Parts {
		named[hash] = true
	}
	for _, p := range parts {
		if named[p.Hash] {
			continue
		}
		if err := s.writePart(ctx, p); err != nil {
			return errors.Wrap(err, "write a part of the configuration; nothing was accepted")
		}
	}
	return nil
}

// writePart leaves the part in the object API with an object version above the
// base's, by which Sweep spares it. It writes an older copy again.
func (s *submission) writePart(ctx context.Context, p configuration.Part) error {
	key := configuration.PartKey(p.Hash)
	var version uint64
	return retry(ctx, func() error {
		_, err := s.store.Put(ctx, key, p.Bytes, version)
		if err == nil || hadNoEffect(err) {
			return err
		}
		o, readErr := s.store.Get(ctx, key)
		if errors.Is(readErr, platform.ErrNotFound) {
			version = 0
			return err
		}
		if readErr != nil {
			return readErr
		}
		if o.Version > s.baseObject {
			return nil
		}
		version = o.Version
		return err
	}, func(error) bool { return true })
}

// accept updates the manifest and reads back when an answer was lost.
func (s *submission) accept(ctx context.Context) (configuration.Change, error) {
	body, err := s.next.Encode()
	if err != nil {
		return configuration.Change{}, err
	}
	sent := false
	err = retry(ctx, func() error {
		_, err := s.store.Put(ctx, configuration.ManifestKey, body, s.baseObject)
		if err == nil || hadNoEffect(err) {
			return err
		}
		sent = sent || !errors.Is(err, platform.ErrConflict)
		return s.readBack(ctx, err, sent)
	}, s.undecided)
	if err == nil {
		return s.next.Change, nil
	}
	if sent && s.undecided(err) {
		err = &UnknownOutcomeError{Change: s.next.Change, Cause: err}
	}
	return configuration.Change{}, err
}

func (s *submission) undecided(err error) bool {
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	return !errors.As(err, &conflict) && !errors.As(err, &unknown)
}

// readBack settles an update that failed with cause. Nil says that the change
// was accepted; an undecided error, that the update may be tried again. The
// answer of an earlier try may have been lost when sent is true.
func (s *submission) readBack(ctx context.Context, cause error, sent bool) error {
	current, object, err := ReadManifest(ctx, s.store)
	if err != nil {
		return err
	}
	if _, mine := current.FindChange(s.next.Change.Nonce); mine {
		return nil
	}
	if object == s.baseObject {
		return cause
	}
	named := current.ChangesSince(s.base.Change.Version)
	complete := uint64(len(named)) == current.Change.Version-s.base.Change.Version
	if sent && !complete {
		return &UnknownOutcomeError{Change: s.next.Change, Cause: errors.New("more changes were accepted since than the manifest names")}
	}
	return s.conflict(current, s.base.Change.Version)
}
