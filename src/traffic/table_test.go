package traffic

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	name := func(host, path string) string {
		if r := table.Route(host, path); r != nil {
			return r.Name
		}
		return ""
	}
	is.Equal(name("a.example", "/x/y/z"), "deep")
	is.Equal(name("A.example:8080", "/x/z"), "mid")
	is.Equal(name("a.example", "/xy"), "all")
	is.Equal(name("b.example", "/"), "")
	is.Equal(name("c.example", "/x/"), "")
}

func TestSplitFollowsWeightsAndRequestID(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint("request-", i)
		is.Equal(r.PickService(id), r.PickService(id))
		counts[r.PickService(id)]++
	}
	is.True(counts["b"] > 800 && counts["b"] < 1200)
	is.Equal(counts["none"], 0)
}

func TestCustomerByKey(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Customers: []Customer{{Name: "one", Keys: []string{"k1", "k2"}}}})
	is.True(table.RequiresKey())
	is.Equal(table.CustomerByKey("k2").Name, "one")
	is.True(table.CustomerByKey("k3") == nil)
	is.True(table.CustomerByKey("") == nil)
}
