// Package agent runs a fleet's operations: it follows an inventory and the instances in it, keeps operations on disk,
// and serves the command line. What is done and when is decided by package fleet.
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

// Store keeps operations and what holds. Each change is one transaction: on disk whole, or not there.
type Store struct{ db *bolt.DB }

var (
	metaBucket  = []byte("meta")
	opsBucket   = []byte("operations")
	holdsBucket = []byte("holds")
	fenceKey    = []byte("fence")
	formatKey   = []byte("format")
)

const storeFormat = "1"

// lockWithin is how long a store that another process holds is waited for.
const lockWithin = 2 * time.Second

// OpenStore opens or makes a store. One that another agent holds is refused.
func OpenStore(path string) (*Store, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWithin})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another agent holds it", path)
	} else if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{metaBucket, opsBucket, holdsBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		switch got := meta.Get(formatKey); {
		case got == nil:
			return meta.Put(formatKey, []byte(storeFormat))
		case string(got) != storeFormat:
			return fmt.Errorf("its format is %q, this program reads %q", got, storeFormat)
		}
		return nil
	})
	if err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db}, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

func holdKey(k fleet.Scope) []byte { return []byte(k.Instance + "\x00" + k.Host) }

// Save writes a change, and returns once it is on disk.
func (s *Store) Save(c fleet.Change) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		ops, holds := tx.Bucket(opsBucket), tx.Bucket(holdsBucket)
		if c.Fence > 0 {
			text, _ := json.Marshal(c.Fence) // a number can't fail
			if err := tx.Bucket(metaBucket).Put(fenceKey, text); err != nil {
				return err
			}
		}
		for _, o := range c.Operations {
			text, err := json.Marshal(o)
			if err != nil {
				return err
			}
			if err := ops.Put([]byte(o.ID), text); err != nil {
				return err
			}
		}
		for _, id := range c.ForgottenOperations {
			if err := ops.Delete([]byte(id)); err != nil {
				return err
			}
		}
		for _, k := range c.Removed {
			if err := holds.Delete(holdKey(k)); err != nil {
				return err
			}
		}
		for _, h := range c.Desired {
			text, err := json.Marshal(h)
			if err != nil {
				return err
			}
			if err := holds.Put(holdKey(h.Scope), text); err != nil {
				return err
			}
		}
		return nil
	})
}

// Load reads all that is kept.
func (s *Store) Load() (ops []fleet.Operation, holds []fleet.DesiredState, fence uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if text := tx.Bucket(metaBucket).Get(fenceKey); text != nil {
			if err := json.Unmarshal(text, &fence); err != nil {
				return fmt.Errorf("fence: %w", err)
			}
		}
		err := tx.Bucket(opsBucket).ForEach(func(k, v []byte) error {
			var o fleet.Operation
			if err := json.Unmarshal(v, &o); err != nil {
				return fmt.Errorf("operation %q: %w", k, err)
			}
			ops = append(ops, o)
			return nil
		})
		if err != nil {
			return err
		}
		return tx.Bucket(holdsBucket).ForEach(func(k, v []byte) error {
			var h fleet.DesiredState
			if err := json.Unmarshal(v, &h); err != nil {
				return fmt.Errorf("hold %q: %w", k, err)
			}
			holds = append(holds, h)
			return nil
		})
	})
	return ops, holds, fence, err
}
