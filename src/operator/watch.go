package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/event"
	"github.com/crankridge/crankridge/src/ports"
)

// Change types of a watch.
const (
	TypePut      = "put"
	TypeDelete   = "delete"
	TypeStatus   = "status"
	TypeBookmark = "bookmark"
)

// Change is one line of a watch stream. A bookmark means that all changes up to
// its version have been sent.
type Change struct {
	Type     string            `json:"type"`
	Version  int64             `json:"version"`
	Kind     catalog.Kind      `json:"kind,omitempty"`
	Name     string            `json:"name,omitempty"`
	Resource *catalog.Resource `json:"resource,omitempty"`
	Status   *event.Status     `json:"status,omitempty"`
}

// watch streams all changes after the given version as JSON lines. It replies 410
// if that version is no longer in the view's log; the client must list again.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		replyJSON(w, http.StatusBadRequest, Problem{Error: "from must be a version number", Hint: "take it from the Crankridge-Revision header of a list"})
		return
	}
	enc := json.NewEncoder(w)
	headerSent := false
	for {
		changed := s.view.Changed()
		items, complete, ok := s.view.ChangesSince(from)
		if !ok {
			s.replyTooOld(w, headerSent)
			return
		}
		if !headerSent {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusOK)
			headerSent = true
		}
		for _, it := range items {
			if c, ok := decodeChange(it); ok && enc.Encode(c) != nil {
				return
			}
		}
		from = max(from, complete)
		if enc.Encode(Change{Type: TypeBookmark, Version: from}) != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(bookmarkInterval):
		}
	}
}

func (s *Server) replyTooOld(w http.ResponseWriter, headerSent bool) {
	if headerSent {
		// Abort the stream; the client reconnects from its last bookmark.
		panic(http.ErrAbortHandler)
	}
	replyJSON(w, http.StatusGone, Problem{Error: "the version is older than the history kept here", Hint: "list again and watch from the list's Crankridge-Revision"})
}

func decodeChange(it ports.Item) (Change, bool) {
	if name, ok := strings.CutPrefix(it.Key, event.Prefix); ok && !it.Deleted {
		st, err := event.Decode(it.Value)
		return Change{Type: TypeStatus, Version: it.Revision, Kind: catalog.KindEvent, Name: name, Status: &st}, err == nil
	}
	path, ok := strings.CutPrefix(it.Key, catalog.ConfigPrefix)
	if !ok {
		return Change{}, false
	}
	kind, name, _ := strings.Cut(path, "/")
	c := Change{Type: TypeDelete, Version: it.Revision, Kind: catalog.Kind(kind), Name: name}
	if it.Deleted {
		return c, true
	}
	r, err := catalog.Decode(it)
	c.Type, c.Resource = TypePut, &r
	return c, err == nil
}
