package store

// The messages of etcd's v3 API in their JSON-over-HTTP form: bytes in base64,
// 64-bit integers as strings, fields at their zero value left out. Only what
// this package needs is declared.

// Paths of the wire form.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathRevoke    = "/v3/lease/revoke"
	PathKeepAlive = "/v3/lease/keepalive"
	PathWatch     = "/v3/watch"
)

// EtcdHeader is part of every answer.
type EtcdHeader struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// EtcdKV is one key.
type EtcdKV struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,omitempty,string"`
	Lease       int64  `json:"lease,omitempty,string"`
}

// EtcdRange asks for the keys from Key up to but not including RangeEnd.
type EtcdRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Serializable lets the member that is asked answer from what it has.
	Serializable bool `json:"serializable,omitempty"`
}

// EtcdRangeResponse answers EtcdRange.
type EtcdRangeResponse struct {
	Header EtcdHeader `json:"header"`
	KVs    []EtcdKV   `json:"kvs,omitempty"`
}

// EtcdPut writes one key.
type EtcdPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// EtcdCompare is a condition of a transaction.
type EtcdCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// The comparison that a compare-and-swap makes.
const (
	EtcdTargetMod   = "MOD"
	EtcdResultEqual = "EQUAL"
)

// EtcdOp is one operation of a transaction; one field is set.
type EtcdOp struct {
	Range  *EtcdRange `json:"request_range,omitempty"`
	Put    *EtcdPut   `json:"request_put,omitempty"`
	Delete *EtcdRange `json:"request_delete_range,omitempty"`
}

// EtcdTxn does Success if Compare holds, else Failure.
type EtcdTxn struct {
	Compare []EtcdCompare `json:"compare"`
	Success []EtcdOp      `json:"success"`
	Failure []EtcdOp      `json:"failure"`
}

// EtcdOpResponse answers one operation.
type EtcdOpResponse struct {
	Range *EtcdRangeResponse `json:"response_range,omitempty"`
}

// EtcdTxnResponse answers EtcdTxn.
type EtcdTxnResponse struct {
	Header    EtcdHeader       `json:"header"`
	Succeeded bool             `json:"succeeded,omitempty"`
	Responses []EtcdOpResponse `json:"responses,omitempty"`
}

// EtcdLease names a lease and its time to live in seconds.
type EtcdLease struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

// EtcdStreamMessage wraps each message of a streaming answer.
type EtcdStreamMessage[T any] struct {
	Result *T         `json:"result,omitempty"`
	Error  *EtcdError `json:"error,omitempty"`
}

// EtcdWatch opens a watch.
type EtcdWatch struct {
	Create EtcdWatchCreate `json:"create_request"`
}

// EtcdWatchCreate watches the range from StartRevision on.
type EtcdWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// EtcdWatchResponse is one message of a watch.
type EtcdWatchResponse struct {
	Header          EtcdHeader  `json:"header"`
	Created         bool        `json:"created,omitempty"`
	Canceled        bool        `json:"canceled,omitempty"`
	CompactRevision int64       `json:"compact_revision,omitempty,string"`
	Events          []EtcdEvent `json:"events,omitempty"`
}

// EtcdEvent is one change; Type is empty for a put.
type EtcdEvent struct {
	Type string `json:"type,omitempty"`
	KV   EtcdKV `json:"kv"`
}

// EtcdDelete is the Type of a removal.
const EtcdDelete = "DELETE"

// EtcdError is the body of an answer that is an error.
type EtcdError struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// The messages of errors that state a fact about the request.
const (
	EtcdNoLeader        = "etcdserver: no leader"
	EtcdTooManyRequests = "etcdserver: too many requests"
	EtcdTooLarge        = "etcdserver: request is too large"
	EtcdLeaseNotFound   = "etcdserver: requested lease not found"
	EtcdCompacted       = "etcdserver: mvcc: required revision has been compacted"
)

// PrefixEnd returns the end of the range of keys under prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // every key from prefix on
}
