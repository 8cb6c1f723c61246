package simadapter

import (
	"errors"
	"fmt"
	"io"

	"github.com/go-faster/jx"
)

// batchHeader has the serial of a batch, and records which of the required fields are present.
type batchHeader struct {
	serial                         int64
	hasClock, hasSerial, hasGroups bool
}

// handleBatch handles the batch of one line and leaves the reply in a.reply.
func (a *adapter) handleBatch(line []byte) error {
	a.decoder.ResetBytes(line)
	a.reply.Reset()
	var header batchHeader
	err := a.decodeBatch(&header)
	switch {
	case err == nil:
	case header.hasSerial:
		return fmt.Errorf("serial %d: %w", header.serial, err)
	default:
		return fmt.Errorf("serial unknown: %w", err)
	}
	a.reply.ArrEnd()
	a.reply.ObjEnd()
	return nil
}

// decodeBatch reads the object of a batch and handles its groups. If the groups precede the clock or the serial in the
// object, it defers them until it has read both.
func (a *adapter) decodeBatch(header *batchHeader) error {
	var deferred jx.Raw
	err := a.decoder.ObjBytes(func(d *jx.Decoder, key []byte) error {
		var err error
		switch string(key) {
		case "t":
			header.hasClock = true
			a.now, err = decodeDuration(d)
		case "serial":
			header.hasSerial = true
			header.serial, err = d.Int64()
		case "groups":
			header.hasGroups = true
			if header.hasClock && header.hasSerial {
				err = a.handleGroups(header.serial, d)
			} else {
				deferred, err = d.Raw()
			}
		default:
			err = d.Skip()
		}
		return inField(string(key), err)
	})
	if err != nil {
		return err
	}
	if deferred != nil && header.hasClock && header.hasSerial {
		if err := a.handleGroups(header.serial, jx.DecodeBytes(deferred)); err != nil {
			return err
		}
	}
	if err := header.requireAll(); err != nil {
		return err
	}
	endErr := a.decoder.Skip()
	if !errors.Is(endErr, io.EOF) && !errors.Is(endErr, io.ErrUnexpectedEOF) {
		return errors.New("unexpected text after the batch")
	}
	return nil
}

func (h *batchHeader) requireAll() error {
	switch {
	case !h.hasClock:
		return inField("t", errMissing)
	case !h.hasSerial:
		return inField("serial", errMissing)
	case !h.hasGroups:
		return inField("groups", errMissing)
	}
	return nil
}

// handleGroups starts the reply and handles the events of all instances.
func (a *adapter) handleGroups(serial int64, d *jx.Decoder) error {
	a.reply.ObjStart()
	a.reply.FieldStart("serial")
	a.reply.Int64(serial)
	a.reply.FieldStart("groups")
	a.reply.ArrStart()
	return d.Arr(a.handleGroup)
}

// handleGroup handles the events of one instance.
func (a *adapter) handleGroup(d *jx.Decoder) error {
	a.groupStarted = false
	err := a.decodeGroup(d)
	if a.groupStarted {
		a.reply.ArrEnd()
		a.reply.ObjEnd()
	}
	return err
}

// decodeGroup reads the object of a group and handles its events. If the events precede the instance's number in the
// object, it defers them until it has read the number.
func (a *adapter) decodeGroup(d *jx.Decoder) error {
	instance, hasInstance := 0, false
	var deferred jx.Raw
	handleEvents := func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error { return a.handleEvent(instance, d) })
	}
	err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		var err error
		switch string(key) {
		case "i":
			hasInstance = true
			instance, err = d.Int()
		case "in":
			if hasInstance {
				err = handleEvents(d)
			} else {
				deferred, err = d.Raw()
			}
		default:
			err = d.Skip()
		}
		return inField(string(key), err)
	})
	switch {
	case err != nil:
		return err
	case !hasInstance:
		return inField("i", errMissing)
	case deferred != nil:
		return handleEvents(jx.DecodeBytes(deferred))
	}
	return nil
}
