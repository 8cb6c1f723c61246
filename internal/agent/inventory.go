package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/fleet"
	"onyxstream/internal/syserr"
	"onyxstream/internal/tomlfile"
)

// Inventory is the content of the inventory file.
type Inventory struct {
	Instances []fleet.Instance `toml:"instance"`
}

const (
	maxInstances           = 10_000
	inventoryCheckInterval = time.Second // between checks of the file for changes
)

// Check returns an error that names the first invalid field.
func (v *Inventory) Check() error {
	if len(v.Instances) > maxInstances {
		return tomlfile.NewFieldError("instance", "%d instances, want at most %d", len(v.Instances), maxInstances)
	}
	var field *fleet.FieldError
	if err := fleet.CheckInventory(v.Instances); errors.As(err, &field) {
		return &tomlfile.FieldError{Path: field.Path, Err: errors.New(field.Reason)}
	}
	return nil
}

// ReadInventory reads and checks an inventory file.
func ReadInventory(path string) (*Inventory, error) {
	inventory := &Inventory{}
	_, err := tomlfile.Read(path, inventory)
	return inventory, err
}

// fileStamp returns a text that changes when the file changes: its modification time and size, or the error.
func fileStamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// reloadInventory loads the inventory if its file has changed. It keeps the current inventory if the new one is invalid.
// It runs in the loop.
func (a *Agent) reloadInventory(ctx context.Context) {
	stamp := fileStamp(a.cfg.Inventory)
	if stamp == a.inventoryStamp {
		return
	}
	inventory, err := ReadInventory(a.cfg.Inventory)
	if syserr.ReadFailed(err) { // a temporary fault, independent of the file's content
		a.log.Warn("inventory read failed, retrying", zap.Error(err))
		return
	}
	a.inventoryStamp = stamp
	if err == nil {
		err = a.fleet.SetInventory(a.now(), inventory.Instances)
	}
	if err != nil {
		a.log.Error("inventory reload failed, keeping the current one", zap.Error(err))
		return
	}
	a.log.Info("inventory reloaded", zap.Int("instances", len(inventory.Instances)))
	a.updatePolled(ctx)
}
