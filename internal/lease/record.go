package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// KeyPrefix is the start of the object keys of all controller leases.
const KeyPrefix = "leases/controller/"

// Key returns the key of the object that holds a data centre's controller
// lease.
func Key(dataCentre string) string {
	return KeyPrefix + dataCentre
}

// Record is the content of a lease object.
type Record struct {
	// Holder is the name of the holder, for operators.
	Holder string `json:"holder"`
	// Instance identifies the holder's process.
	Instance string `json:"instance"`
	// Nonce is drawn anew for each write, so that the writer recognises its own
	// record.
	Nonce uint64 `json:"nonce"`
	// Fencing is the fencing number, which rises with each change of holder.
	Fencing uint64 `json:"fencing"`
	// DurationMillis is the lease duration that the holder uses, in
	// milliseconds.
	DurationMillis int64 `json:"duration_ms"`
	// Released reports that the holder gave the lease up and has stopped
	// acting.
	Released bool `json:"released,omitempty"`
}

// duration returns the lease duration of the record.
func (r Record) duration() time.Duration {
	return time.Duration(r.DurationMillis) * time.Millisecond
}

// encode returns the record as JSON. It ignores the error because a Record has
// only fields that can always be encoded.
func (r Record) encode() []byte {
	value, _ := json.Marshal(r)
	return value
}

// ParseRecord decodes the content of a lease object.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "read the lease object")
}
