package registry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// VersionsPerSweep is the number of accepted versions after which a submitter
// calls RemoveUnusedParts again.
const VersionsPerSweep = 16

// RemoveUnusedParts removes the parts that the accepted configuration does not
// need, and returns how many it removed. It may be called at any time. It keeps
// parts written after the accepted manifest, which a submission in progress may
// need; a later call removes those of them that stay unused.
func RemoveUnusedParts(ctx context.Context, store platform.Store) (int, error) {
	m, manifestObjectVersion, err := ReadManifest(ctx, store)
	if err != nil {
		return 0, err
	}
	named := make(map[string]bool, len(m.Parts))
	for _, hash := range m.Parts {
		named[configuration.PartKey(hash)] = true
	}
	objects, err := store.List(ctx, configuration.PartPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "list the parts of configurations")
	}
	removed := 0
	for _, o := range objects {
		if named[o.Key] || o.Version >= manifestObjectVersion {
			continue
		}
		switch err := store.Delete(ctx, o.Key, o.Version); {
		case err == nil:
			removed++
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		default:
			return removed, errors.Wrap(err, "remove an unused part")
		}
	}
	return removed, nil
}
