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

// RolloutSchema is how roll-outs lie in the store.
type RolloutSchema interface {
	// RolloutPrefixes begin all keys that concern roll-outs.
	RolloutPrefixes() []string
	// RolloutOrderService returns the service whose roll-out the entry of a key orders, if any.
	RolloutOrderService(key string) (service string, ok bool)
	DecodeRolloutOrder(service string, raw []byte) (routing.RolloutOrder, error)
	// RolloutStatusService returns the service of whose roll-out a key holds the status, if any, and
	// RolloutStatusKey the key.
	RolloutStatusService(key string) (service string, ok bool)
	RolloutStatusKey(service string) string
	DecodeRolloutStatus(raw []byte) (routing.RolloutStatus, error)
	EncodeRolloutStatus(routing.RolloutStatus) ([]byte, error)
}

// Rollout is what lies in the store of a service's roll-out.
type Rollout struct {
	// Order is nil where there is none that can be read; Refused says why.
	Order    *routing.RolloutOrder
	OrderErr error
	// Status is nil where there is none that can be read. StatusRevision is that of its entry all
	// the same.
	Status         *routing.RolloutStatus
	StatusRevision int64
}

// putRollout takes in an entry of a roll-out, if it is one.
func (t *table) putRollout(kv store.KV) bool {
	if service, ok := t.schema.RolloutOrderService(kv.Key); ok {
		one := t.rollouts[service]
		order, err := t.schema.DecodeRolloutOrder(service, kv.Value)
		if err == nil {
			err = order.Validate()
		}
		if err != nil {
			t.refuse(kv.Key, err)
			one.Order, one.OrderErr = nil, err
		} else {
			delete(t.refusals, kv.Key)
			order.Revision = kv.Version
			one.Order, one.OrderErr = &order, nil
		}
		t.rollouts[service] = one
		t.changes++
		return true
	}
	service, ok := t.schema.RolloutStatusService(kv.Key)
	if !ok {
		return false
	}
	one := t.rollouts[service]
	one.StatusRevision, one.Status = kv.Version, nil
	if status, err := t.schema.DecodeRolloutStatus(kv.Value); err != nil {
		t.refuse(kv.Key, err)
	} else {
		delete(t.refusals, kv.Key)
		one.Status = &status
	}
	t.rollouts[service] = one
	t.changes++
	return true
}

// ListRollouts returns what lies in a store of roll-outs, by service.
func ListRollouts(ctx context.Context, s store.Store, schema Schema) (map[string]Rollout, error) {
	t := newTable(schema, event.Discard())
	for _, prefix := range schema.RolloutPrefixes() {
		kvs, _, err := s.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		for _, kv := range kvs {
			t.putRollout(kv)
		}
	}
	return t.rollouts, nil
}

// OrderRollout writes an order to a store that is ours to lay out, over the one before.
func OrderRollout(ctx context.Context, s store.Store, o routing.RolloutOrder) error {
	if err := o.Validate(); err != nil {
		return err
	}
	raw, err := EncodeRolloutOrder(o)
	if err != nil {
		return errors.Wrap(err, "roll-out")
	}
	key := OwnRolloutOrderKey(o.Service)
	before, err := s.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = s.CompareAndSwap(ctx, key, before.Version, raw, 0)
	return err
}

// removeRollout takes away an entry of a roll-out.
func (t *table) removeRollout(key string) {
	if service, ok := t.schema.RolloutOrderService(key); ok {
		one := t.rollouts[service]
		one.Order, one.OrderErr = nil, nil
		t.rollouts[service] = one
	}
	if service, ok := t.schema.RolloutStatusService(key); ok {
		one := t.rollouts[service]
		one.Status, one.StatusRevision = nil, 0
		t.rollouts[service] = one
	}
}

// Keys of OwnRollouts.
const (
	ownOrderPrefix  = OwnPrefix + "rollout/order/"
	ownStatusPrefix = OwnPrefix + "rollout/status/"
)

// ownOrder is an order in a store that is ours to lay out.
type ownOrder struct {
	Target string `json:"target"`
	Period string `json:"period"` // as time.Duration prints itself
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
	var m ownOrder
	if err := json.Unmarshal(raw, &m); err != nil {
		return routing.RolloutOrder{}, errors.Wrap(err, "roll-out")
	}
	period, err := time.ParseDuration(m.Period)
	return routing.RolloutOrder{Service: service, Target: m.Target, Period: period}, errors.Wrap(err, "roll-out: period")
}

// EncodeRolloutOrder writes what DecodeRolloutOrder reads.
func EncodeRolloutOrder(o routing.RolloutOrder) ([]byte, error) {
	return json.Marshal(ownOrder{Target: o.Target, Period: o.Period.String()})
}

// OwnRolloutOrderKey is the key of the order of a service's roll-out.
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

// WriteRolloutStatus writes the status of a service's roll-out over the one of a revision.
// store.ErrConflict means that another was written meanwhile.
func (m *Manager) WriteRolloutStatus(ctx context.Context, service string, s routing.RolloutStatus, over int64) error {
	raw, err := m.opts.Schema.EncodeRolloutStatus(s)
	if err != nil {
		return errors.Wrap(err, "status of a roll-out")
	}
	ctx = store.WithPurpose(ctx, store.PurposeRollout)
	key := m.opts.Schema.RolloutStatusKey(service)
	version, err := m.opts.Store.CompareAndSwap(ctx, key, over, raw, 0)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.entries.kvs[key].Version < version {
		m.table.put(store.KV{Key: key, Value: raw, Version: version})
		m.publish()
	}
	return nil
}
