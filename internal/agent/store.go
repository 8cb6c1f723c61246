package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"onyxstream/internal/fleet"
)

// Store keeps operations and desired states on disk. Each change is one transaction.
type Store struct{ db *bolt.DB }

// The buckets and keys on disk.
var (
	metaBucket       = []byte("meta")
	operationsBucket = []byte("operations")
	desiredBucket    = []byte("holds")
	fenceKey         = []byte("fence")
	formatKey        = []byte("format")
)

const storeFormat = "1"

// lockTimeout is how long OpenStore waits while another process has the store open.
const lockTimeout = 2 * time.Second

// OpenStore opens or creates a store. It fails if another agent has it open.
func OpenStore(path string) (*Store, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: in use by another agent", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := db.Update(initStore); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db}, nil
}

// initStore creates the buckets and the format key of a new store, and checks the format of an existing store.
func initStore(tx *bolt.Tx) error {
	for _, name := range [][]byte{metaBucket, operationsBucket, desiredBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(metaBucket)
	format := meta.Get(formatKey)
	if format == nil {
		return meta.Put(formatKey, []byte(storeFormat))
	}
	if string(format) != storeFormat {
		return fmt.Errorf("unsupported store format %q, want %q", format, storeFormat)
	}
	return nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// scopeKey returns the key under which the desired state of a scope is stored.
func scopeKey(scope fleet.Scope) []byte { return []byte(scope.Instance + "\x00" + scope.Host) }

// Save writes a change and returns after it is on disk.
func (s *Store) Save(change fleet.Change) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		if change.Fence > 0 {
			if err := putJSON(tx.Bucket(metaBucket), fenceKey, change.Fence); err != nil {
				return err
			}
		}
		if err := saveOperations(tx.Bucket(operationsBucket), change); err != nil {
			return err
		}
		return saveDesired(tx.Bucket(desiredBucket), change)
	})
}

func saveOperations(bucket *bolt.Bucket, change fleet.Change) error {
	for _, o := range change.Operations {
		if err := putJSON(bucket, []byte(o.ID), o); err != nil {
			return err
		}
	}
	for _, id := range change.ForgottenOperations {
		if err := bucket.Delete([]byte(id)); err != nil {
			return err
		}
	}
	return nil
}

func saveDesired(bucket *bolt.Bucket, change fleet.Change) error {
	for _, scope := range change.Removed {
		if err := bucket.Delete(scopeKey(scope)); err != nil {
			return err
		}
	}
	for _, state := range change.Desired {
		if err := putJSON(bucket, scopeKey(state.Scope), state); err != nil {
			return err
		}
	}
	return nil
}

func putJSON(bucket *bolt.Bucket, key []byte, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, text)
}

// Load reads all operations, all desired states and the fence of the last operation.
func (s *Store) Load() (operations []fleet.Operation, desired []fleet.DesiredState, fence uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if text := tx.Bucket(metaBucket).Get(fenceKey); text != nil {
			if err := json.Unmarshal(text, &fence); err != nil {
				return fmt.Errorf("fence: %w", err)
			}
		}
		operations, err = readAll[fleet.Operation](tx.Bucket(operationsBucket), "operation")
		if err != nil {
			return err
		}
		desired, err = readAll[fleet.DesiredState](tx.Bucket(desiredBucket), "desired state")
		return err
	})
	return operations, desired, fence, err
}

// readAll decodes all values of a bucket. Errors refer to a value as what, for example "operation".
func readAll[T any](bucket *bolt.Bucket, what string) (values []T, err error) {
	err = bucket.ForEach(func(key, text []byte) error {
		var value T
		if err := json.Unmarshal(text, &value); err != nil {
			return fmt.Errorf("%s %q: %w", what, key, err)
		}
		values = append(values, value)
		return nil
	})
	return values, err
}
