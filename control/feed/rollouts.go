package feed

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// RolloutSchema is the layout of roll-outs in the store.
type RolloutSchema interface {
	// RolloutPrefixes returns the prefixes of all keys that concern roll-outs.
	RolloutPrefixes() []string
	// RolloutOrderService returns the service if key holds the order of a service's roll-out.
	RolloutOrderService(key string) (service string, ok bool)
	DecodeRolloutOrder(service string, raw []byte) (routing.RolloutOrder, error)
	// RolloutStatusService returns the service if key holds the status of a service's roll-out.
	// RolloutStatusKey is its inverse.
	RolloutStatusService(key string) (service string, ok bool)
	RolloutStatusKey(service string) string
	DecodeRolloutStatus(raw []byte) (routing.RolloutStatus, error)
	EncodeRolloutStatus(routing.RolloutStatus) ([]byte, error)
}

// Rollout holds the order and the status of a service's roll-out as read from the store.
type Rollout struct {
	// Order is nil if there is no valid order. OrderErr is the reason if there is an invalid one.
	Order    *routing.RolloutOrder
	OrderErr error
	// Status is nil if there is no valid status. StatusRevision is the revision of the status entry
	// even if its value is invalid.
	Status         *routing.RolloutStatus
	StatusRevision int64
}

// putRollout stores an order or a status of a roll-out. It reports whether the key holds one.
func (t *table) putRollout(kv store.KV) bool {
	if service, ok := t.schema.RolloutOrderService(kv.Key); ok {
		rollout := t.rollouts[service]
		order, err := t.schema.DecodeRolloutOrder(service, kv.Value)
		if err == nil {
			err = order.Validate()
		}
		if err != nil {
			t.reject(kv.Key, err)
			rollout.Order, rollout.OrderErr = nil, err
		} else {
			delete(t.rejections, kv.Key)
			order.Revision = kv.Version
			if t.keepsOrder(rollout.Order, &order) {
				return true
			}
			rollout.Order, rollout.OrderErr = &order, nil
		}
		t.rollouts[service] = rollout
		t.changeCount++
		return true
	}
	service, ok := t.schema.RolloutStatusService(kv.Key)
	if !ok {
		return false
	}
	rollout := t.rollouts[service]
	rollout.StatusRevision, rollout.Status = kv.Version, nil
	if status, err := t.schema.DecodeRolloutStatus(kv.Value); err != nil {
		t.reject(kv.Key, err)
	} else {
		delete(t.rejections, kv.Key)
		rollout.Status = &status
	}
	t.rollouts[service] = rollout
	t.changeCount++
	return true
}

// ListRollouts reads the orders and statuses of all roll-outs from a store, by service.
func ListRollouts(ctx context.Context, s store.Store, schema Schema) (map[string]Rollout, error) {
	t := newTable(schema, event.Discard())
	for _, prefix := range schema.RolloutPrefixes() {
		list, err := s.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		for _, kv := range list.KVs {
			t.putRollout(kv)
		}
	}
	return t.rollouts, nil
}

// OrderRollout writes an order, in the layout of OwnRollouts, over the previous one.
func OrderRollout(ctx context.Context, s store.Store, o routing.RolloutOrder) error {
	if err := o.Validate(); err != nil {
		return err
	}
	raw, err := EncodeRolloutOrder(o)
	if err != nil {
		return errors.Wrap(err, "roll-out")
	}
	key := OwnRolloutOrderKey(o.Service)
	previous, err := s.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = s.CompareAndSwap(ctx, key, previous.Version, raw, 0)
	return err
}

// removeRollout removes the order or the status that key holds, if any. An order that a restored store
// lacks stays: the operator writes it again.
func (t *table) removeRollout(key string) {
	if service, ok := t.schema.RolloutOrderService(key); ok && !t.restored.ongoing {
		rollout := t.rollouts[service]
		rollout.Order, rollout.OrderErr = nil, nil
		t.rollouts[service] = rollout
	}
	if service, ok := t.schema.RolloutStatusService(key); ok {
		rollout := t.rollouts[service]
		rollout.Status, rollout.StatusRevision = nil, 0
		t.rollouts[service] = rollout
	}
}

// Prefixes of the keys of OwnRollouts.
const (
	ownOrderPrefix  = OwnPrefix + "rollout/order/"
	ownStatusPrefix = OwnPrefix + "rollout/status/"
)

// ownRolloutOrder is the JSON form of an order in the layout of OwnRollouts.
type ownRolloutOrder struct {
	Target string `json:"target"`
	Period string `json:"period"` // in the format of time.Duration.String
}

// OwnRollouts implements RolloutSchema for OwnSchema.
type OwnRollouts struct{}

// RolloutPrefixes implements RolloutSchema.
func (OwnRollouts) RolloutPrefixes() []string { return []string{ownOrderPrefix, ownStatusPrefix} }

// RolloutOrderService implements RolloutSchema.
func (OwnRollouts) RolloutOrderService(key string) (string, bool) {
	return strings.CutPrefix(key, ownOrderPrefix)
}

// DecodeRolloutOrder implements RolloutSchema.
func (OwnRollouts) DecodeRolloutOrder(service string, raw []byte) (routing.RolloutOrder, error) {
	var m ownRolloutOrder
	if err := json.Unmarshal(raw, &m); err != nil {
		return routing.RolloutOrder{}, errors.Wrap(err, "roll-out")
	}
	period, err := time.ParseDuration(m.Period)
	return routing.RolloutOrder{Service: service, Target: m.Target, Period: period}, errors.Wrap(err, "roll-out: period")
}

// EncodeRolloutOrder encodes an order in the form that DecodeRolloutOrder reads.
func EncodeRolloutOrder(o routing.RolloutOrder) ([]byte, error) {
	return json.Marshal(ownRolloutOrder{Target: o.Target, Period: o.Period.String()})
}

// OwnRolloutOrderKey returns the key of the order of a service's roll-out.
func OwnRolloutOrderKey(service string) string { return ownOrderPrefix + service }

// RolloutStatusService implements RolloutSchema.
func (OwnRollouts) RolloutStatusService(key string) (string, bool) {
	return strings.CutPrefix(key, ownStatusPrefix)
}

// RolloutStatusKey implements RolloutSchema.
func (OwnRollouts) RolloutStatusKey(service string) string { return ownStatusPrefix + service }

// DecodeRolloutStatus implements RolloutSchema.
func (OwnRollouts) DecodeRolloutStatus(raw []byte) (routing.RolloutStatus, error) {
	var r routing.RolloutRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return routing.RolloutStatus{}, errors.Wrap(err, "status of a roll-out")
	}
	return r.Status()
}

// EncodeRolloutStatus implements RolloutSchema.
func (OwnRollouts) EncodeRolloutStatus(s routing.RolloutStatus) ([]byte, error) {
	return json.Marshal(s.Record())
}

// WriteRolloutStatus replaces the status of a service's roll-out at oldRevision. It returns
// store.ErrConflict if another status was written meanwhile.
func (m *Manager) WriteRolloutStatus(ctx context.Context, service string, s routing.RolloutStatus, oldRevision int64) error {
	raw, err := m.opts.Schema.EncodeRolloutStatus(s)
	if err != nil {
		return errors.Wrap(err, "status of a roll-out")
	}
	ctx = store.WithPurpose(ctx, store.PurposeRollout)
	key := m.opts.Schema.RolloutStatusKey(service)
	version, err := m.opts.Store.CompareAndSwap(ctx, key, oldRevision, raw, 0)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.put(store.KV{Key: key, Value: raw, Version: version})
	m.publish()
	return nil
}
