package origin

import (
	"encoding/json"
	"time"
)

// storedStreams is the form in which streams are kept in the store.
type storedStreams struct {
	AtMS   int64         `json:"at_ms"` // when the times to live were true, Unix ms
	Groups []storedGroup `json:"groups"`
}

// storedGroup is the streams that began at one version.
type storedGroup struct {
	Service string  `json:"service"`
	Version string  `json:"version"`
	Keys    []byte  `json:"keys"`  // one after the other
	TTLS    []int64 `json:"ttl_s"` // by key, seconds
}

// EncodeStreams returns the form in which streams are stored. at is the time on which the nodes
// agree.
func EncodeStreams(entries []Entry, at time.Time) []byte {
	out := storedStreams{AtMS: at.UnixMilli()}
	index := map[Origin]int{}
	for _, e := range entries {
		i, ok := index[e.Origin]
		if !ok {
			i = len(out.Groups)
			index[e.Origin] = i
			out.Groups = append(out.Groups, storedGroup{Service: e.Origin.Service, Version: e.Origin.Version})
		}
		group := &out.Groups[i]
		group.Keys = append(group.Keys, e.Key[:]...)
		group.TTLS = append(group.TTLS, int64((e.TTL+time.Second-1)/time.Second))
	}
	raw, err := json.Marshal(out)
	if err != nil {
		panic("origin: encode streams: " + err.Error())
	}
	return raw
}

// DecodeStreams decodes the form returned by EncodeStreams, without the streams that have expired
// since.
func DecodeStreams(raw []byte, now time.Time) ([]Entry, error) {
	var in storedStreams
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	age := max(now.Sub(time.UnixMilli(in.AtMS)), 0)
	var out []Entry
	const size = len(Key{})
	for _, group := range in.Groups {
		for i, seconds := range group.TTLS {
			ttl := time.Duration(seconds)*time.Second - age
			if ttl <= 0 || len(group.Keys) < (i+1)*size {
				continue
			}
			out = append(out, Entry{Key: Key(group.Keys[i*size : (i+1)*size]), Origin: Origin{group.Service, group.Version}, TTL: ttl})
		}
	}
	return out, nil
}
