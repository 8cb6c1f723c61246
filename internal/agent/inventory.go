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

// Inventory is the file of instances.
type Inventory struct {
	Instances []fleet.Instance `toml:"instance"`
}

const (
	maxInstances           = 10_000
	inventoryCheckInterval = time.Second // for changes of the file
)

// Check returns an error that names the first invalid field.
func (v *Inventory) Check() error {
	if len(v.Instances) > maxInstances {
		return tomlfile.NewFieldError("instance", "there are %d, at most %d can be", len(v.Instances), maxInstances)
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

// fileStamp changes when a file does.
func fileStamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// reloadInventory reads the inventory if its file has changed. An invalid one changes nothing. It runs in the loop.
func (a *Agent) reloadInventory(ctx context.Context) {
	stamp := fileStamp(a.cfg.Inventory)
	if stamp == a.inventoryStamp {
		return
	}
	inventory, err := ReadInventory(a.cfg.Inventory)
	if syserr.ReadFailed(err) { // a temporary fault that says nothing of the file
		a.log.Warn("inventory not readable, retrying", zap.Error(err))
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
