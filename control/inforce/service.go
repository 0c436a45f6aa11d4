package inforce

import (
	"context"
	"net/http"

	"mallowwind.dev/control/inforce/patch"
	"mallowwind.dev/peer/peerpb"
)

// Handler returns the twirp service that other daemons call, and the path prefix under which the
// peer listener mounts it.
func (m *Manager) Handler() (prefix string, h http.Handler) {
	s := peerpb.NewConfigServer(service{m})
	return s.PathPrefix(), s
}

// service implements the twirp service peerpb.Config.
type service struct{ m *Manager }

// Fetch returns the active text, as a patch against the caller's text if that is smaller.
func (s service) Fetch(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	current := s.m.current.Load()
	if current == nil {
		return &peerpb.FetchConfigReply{}, nil
	}
	reply := &peerpb.FetchConfigReply{Revision: uint64(current.record.Revision)}
	if reply.Revision <= request.GetHave() {
		return reply, nil
	}
	r := *current.record
	r.Patch = nil // the reply carries a patch against the caller's revision instead
	reply.Record = r.Encode()
	if base, ok := s.m.recentText(int64(request.GetHave())); ok {
		if p := patch.Make(base, current.site.Text); p.Size() < len(current.site.Text) {
			reply.Base, reply.Patch = request.GetHave(), toProto(p)
			return reply, nil
		}
	}
	reply.Text = current.site.Text
	return reply, nil
}
