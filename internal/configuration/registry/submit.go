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

// ConflictError means that another change was accepted on the same base first.
type ConflictError struct {
	// Refused is the change that was not accepted. Nothing of it is in force.
	Refused configuration.Change
	// BaseVersion is the version that the refused change was based on.
	BaseVersion uint64
	// CurrentVersion is the accepted version.
	CurrentVersion uint64
	// AcceptedSinceBase lists the changes accepted after BaseVersion, the
	// newest first, as far as the manifest lists them.
	AcceptedSinceBase []configuration.Change
}

// Error names the refused change and the changes accepted instead.
func (e *ConflictError) Error() string {
	theirs := make([]string, len(e.AcceptedSinceBase))
	for i, c := range e.AcceptedSinceBase {
		theirs[i] = fmt.Sprintf("version %d by %s (%s)", c.Version, c.Author, c.Note)
	}
	return fmt.Sprintf("the change by %s (%s) on version %d was not accepted: version %d is in force, with %s",
		e.Refused.Author, e.Refused.Note, e.BaseVersion, e.CurrentVersion, strings.Join(theirs, ", "))
}

// UnknownOutcomeError means that it could neither be confirmed nor ruled out
// that the change was accepted.
type UnknownOutcomeError struct {
	// Change is the submitted change. Its nonce identifies it among the
	// accepted changes.
	Change configuration.Change
	// Cause is the last error of the object API.
	Cause error
}

// Error names the change, with the nonce that identifies it, and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether version %d by %s was accepted (nonce %s): %v",
		e.Change.Version, e.Change.Author, e.Change.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// submission is the state of one change from the read of its base until its
// acceptance.
type submission struct {
	store platform.Store
	base  configuration.Manifest
	// baseObjectVersion is the version in the object API of the manifest of the
	// base.
	baseObjectVersion uint64
	next              configuration.Manifest
}

// Submit makes c the accepted configuration if the accepted version is still
// base, where base 0 means that none was accepted yet. It returns the accepted
// change. The error is a finding.Error if the configuration, its author or its
// note is invalid, a *ConflictError if another change was accepted first, and
// an *UnknownOutcomeError if an answer was lost and the outcome could not be
// read back. Any other error means that nothing was accepted.
func Submit(ctx context.Context, store platform.Store, c intent.Configuration, base uint64, author, note string) (configuration.Change, error) {
	if err := checkSubmission(c, author, note); err != nil {
		return configuration.Change{}, err
	}
	parts, err := configuration.Split(c)
	if err != nil {
		return configuration.Change{}, err
	}
	current, objectVersion, err := ReadManifest(ctx, store)
	if err != nil {
		return configuration.Change{}, err
	}
	s := submission{store: store, base: current, baseObjectVersion: objectVersion}
	s.next = current.Next(author, note, rand.Text(), partHashes(parts))
	if current.Change.Version != base {
		return configuration.Change{}, s.conflictError(current, base)
	}
	if err := s.writeParts(ctx, parts); err != nil {
		return configuration.Change{}, err
	}
	return s.updateManifest(ctx)
}

// checkSubmission returns a finding.Error with all findings about the
// configuration, the author and the note, or nil.
func checkSubmission(c intent.Configuration, author, note string) error {
	findings := finding.List(c.Check())
	if author == "" || len(author) > configuration.MaxAuthorBytes {
		findings.Add("author", fmt.Sprintf("has %d bytes; use 1 to %d", len(author), configuration.MaxAuthorBytes))
	}
	if len(note) > configuration.MaxNoteBytes {
		findings.Add("note", fmt.Sprintf("has %d bytes; use at most %d", len(note), configuration.MaxNoteBytes))
	}
	return findings.Err()
}

// partHashes returns the hashes of the parts, in their order.
func partHashes(parts []configuration.Part) []string {
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = p.Hash
	}
	return list
}

// conflictError returns the error for a submission on base when current is the
// accepted manifest.
func (s *submission) conflictError(current configuration.Manifest, base uint64) *ConflictError {
	refused := s.next.Change
	refused.Version = base + 1
	return &ConflictError{Refused: refused, BaseVersion: base, CurrentVersion: current.Change.Version, AcceptedSinceBase: current.ChangesSince(base)}
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

// writePart writes a part so that its object version is above that of the
// base's manifest, which keeps RemoveUnusedParts from removing it. If an older
// copy of the part exists, it is written again to raise its object version.
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
		if o.Version > s.baseObjectVersion {
			return nil
		}
		version = o.Version
		return err
	}, func(error) bool { return true })
}

// updateManifest makes the new manifest the accepted one. When an answer was
// lost or there was a conflict, it reads the manifest to find out the outcome.
func (s *submission) updateManifest(ctx context.Context) (configuration.Change, error) {
	body, err := s.next.Encode()
	if err != nil {
		return configuration.Change{}, err
	}
	sent := false
	err = retry(ctx, func() error {
		_, err := s.store.Put(ctx, configuration.ManifestKey, body, s.baseObjectVersion)
		if err == nil || hadNoEffect(err) {
			return err
		}
		sent = sent || !errors.Is(err, platform.ErrConflict)
		return s.resolveOutcome(ctx, err, sent)
	}, s.isUndecided)
	if err == nil {
		return s.next.Change, nil
	}
	if sent && s.isUndecided(err) {
		err = &UnknownOutcomeError{Change: s.next.Change, Cause: err}
	}
	return configuration.Change{}, err
}

// isUndecided reports whether the error leaves open what became of the update,
// so that it may be tried again.
func (s *submission) isUndecided(err error) bool {
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	return !errors.As(err, &conflict) && !errors.As(err, &unknown)
}

// resolveOutcome reads the manifest to find out what became of an update that
// failed with cause. It returns nil if the change was accepted, a
// *ConflictError if it was not and cannot be any more, and an
// *UnknownOutcomeError if that cannot be found out. Any other error means that
// the update may be tried again. The argument sent is true if the answer to an
// earlier try may have been lost.
func (s *submission) resolveOutcome(ctx context.Context, cause error, sent bool) error {
	current, objectVersion, err := ReadManifest(ctx, s.store)
	if err != nil {
		return err
	}
	if _, mine := current.FindChange(s.next.Change.Nonce); mine {
		return nil
	}
	if objectVersion == s.baseObjectVersion {
		return cause
	}
	listed := current.ChangesSince(s.base.Change.Version)
	allListed := uint64(len(listed)) == current.Change.Version-s.base.Change.Version
	if sent && !allListed {
		return &UnknownOutcomeError{Change: s.next.Change, Cause: errors.New("more changes were accepted since than the manifest names")}
	}
	return s.conflictError(current, s.base.Change.Version)
}
