package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// KeyPrefix begins the key of every controller's lease.
const KeyPrefix = "leases/controller/"

// Key is the object that holds a data centre's controller lease.
func Key(dataCentre string) string {
	return KeyPrefix + dataCentre
}

// Record is the content of a lease object.
type Record struct {
	// Holder names the holder, for operators.
	Holder string `json:"holder"`
	// Instance tells the holder's process apart.
	Instance string `json:"instance"`
	// Nonce is drawn for each write, so that its writer recognises it.
	Nonce uint64 `json:"nonce"`
	// Fencing rises with each change of holder.
	Fencing uint64 `json:"fencing"`
	// DurationMillis is the duration that the holder counts with, in milliseconds.
	DurationMillis int64 `json:"duration_ms"`
	// Released says that the holder gave the lease up and has ceased to act.
	Released bool `json:"released,omitempty"`
}

func (r Record) duration() time.Duration {
	return time.Duration(r.DurationMillis) * time.Millisecond
}

// encode cannot fail, since a Record has only plain fields.
func (r Record) encode() []byte {
	value, _ := json.Marshal(r)
	return value
}

// ParseRecord reads the content of a lease object.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "read the lease object")
}
