package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_900_000_000, 0)

// crashAt returns a crash for a crash some seconds after testStart, of a server to
// which the request was sent 100 ms before.
func crashAt(server string, seconds float64) Crash {
	at := testStart.Add(time.Duration(seconds * float64(time.Second)))
	return Crash{Server: server, Version: "v1", StartedMS: 1, SentAt: at.Add(-100 * time.Millisecond), At: at}
}

func testDigest(customer, body string) Digest {
	return NewDigest(customer, "POST", "site.example", "/", []byte(body))
}

// testList returns a list and its clock.
func testList() (*List, *time.Time) {
	now := testStart.Add(-learningPeriod)
	l := NewList(func() time.Time { return now })
	now = testStart
	return l, &now
}

// Guards against BUDGET of issue 25: a request under which three servers had crashed.
func TestRequestIsQuarantinedAtThirdCrash(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	d := testDigest("one", "bad")
	is.True(!l.Active())
	is.Equal(l.RecordCrash(d, crashAt("a", 1)).Crashes, 1)
	is.Equal(l.RecordCrash(d, crashAt("a", 1.2)).Crashes, 1) // a second report about the same crash
	is.True(!l.RecordCrash(d, crashAt("b", 2)).Quarantined)
	is.True(l.RecordCrash(d, crashAt("a", 3)).Quarantined) // the server was back in between
	is.True(!l.Standing(testDigest("two", "bad")).Quarantined)
}

// Guards against quarantining a popular request for a failure of many servers at once.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	d := testDigest("one", "popular")
	for i := range 6 {
		is.Equal(l.RecordCrash(d, crashAt(fmt.Sprint("s-", i), 1+float64(i)/100)).Crashes, 1)
	}
}

// Guards against a popular request being refused by a node that has just started, and
// knows of the crashes beside it but not that it completes.
func TestStartingNodeQuarantinesNoRequestByItself(t *testing.T) {
	is := is.New(t)
	now := testStart
	l := NewList(func() time.Time { return now })
	popular, bad := testDigest("one", "popular"), testDigest("one", "bad")
	for i := range 3 {
		l.RecordCrash(popular, crashAt(fmt.Sprint("s-", i), float64(i)))
		l.RecordCrash(bad, crashAt(fmt.Sprint("t-", i), float64(i)))
	}
	is.True(!l.Standing(popular).Quarantined)
	l.ApplyStored([]Stored{{l.Get(bad), 7}}, 7)
	is.True(l.Standing(bad).Quarantined) // others have quarantined it
	l.Merge([]State{{Digest: popular, ClearedThrough: testStart.Add(5 * time.Second)}})
	now = now.Add(learningPeriod)
	is.True(!l.Standing(popular).Quarantined)
}

// Guards against quarantining a request for the crashes of another one beside it.
func TestCrashesExplainedByAnotherRequestDoNotCount(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	bad, sound := testDigest("one", "bad"), testDigest("one", "sound")
	for i, server := range []string{"a", "b", "c", "d"} {
		l.RecordCrash(bad, crashAt(server, float64(i)))
	}
	for i, server := range []string{"a", "b", "c"} {
		l.RecordCrash(sound, crashAt(server, float64(i)))
	}
	is.True(l.Standing(bad).Quarantined)
	is.Equal(l.Standing(sound), Standing{})
}

// Guards against a decision that is lifted by more crashes: of many that happen at once,
// the latest pushed out those that had led to it.
func TestFurtherCrashesDoNotLiftQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, _ := testList()
		d := testDigest("one", "bad")
		before := Standing{}
		for i := range rapid.IntRange(3, 40).Draw(t, "crashes") {
			sent := rapid.IntRange(0, 80).Draw(t, "sent")
			c := crashAt(fmt.Sprint("s-", i), float64(sent+rapid.IntRange(1, 40).Draw(t, "duration"))/10)
			c.SentAt = testStart.Add(time.Duration(sent) * 100 * time.Millisecond)
			after := l.RecordCrash(d, c)
			if before.Quarantined && !after.Quarantined {
				t.Fatalf("%+v became %+v with %+v", before, after, l.Get(d))
			}
			before = after
		}
		if len(l.Get(d).Crashes) > maxCrashes {
			t.Fatalf("%d crashes are kept", len(l.Get(d).Crashes))
		}
	})
}

func TestCompletionClearsRequest(t *testing.T) {
	is := is.New(t)
	l, now := testList()
	d := testDigest("one", "sound")
	for i := range 3 {
		l.RecordCrash(d, crashAt(fmt.Sprint("s-", i), float64(i)))
	}
	is.True(l.Standing(d).Quarantined)
	is.True(l.Complete(d, testStart.Add(5*time.Second)))
	is.Equal(l.Standing(d), Standing{})
	is.True(!l.Complete(d, testStart.Add(6*time.Second))) // nothing to clear
	*now = now.Add(clearedPeriod + time.Second)
	is.Equal(len(l.Report(10)), 0)
	is.True(!l.Active())
}

// Guards against a popular request being refused because many servers crash, one after
// the other, under a request that runs beside it each time.
func TestRequestThatCompletesIsNotQuarantinedForCrashesBesideIt(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	popular, bad := testDigest("one", "popular"), testDigest("one", "bad")
	at := func(seconds float64) time.Time { return testStart.Add(time.Duration(seconds * float64(time.Second))) }
	l.Complete(popular, at(0))
	for i := range 5 {
		l.Merge([]State{{Digest: popular, Crashes: []Crash{crashAt(fmt.Sprint("s-", i), float64(1+i))}}})
		l.RecordCrash(bad, crashAt(fmt.Sprint("s-", i), float64(1+i)))
	}
	is.True(l.Standing(bad).Quarantined)
	is.True(!l.Standing(popular).Quarantined)

	// A crash that another node reports late is cleared by a completion that this node knows.
	l.Complete(popular, at(7))
	l.Merge([]State{{Digest: popular, Crashes: []Crash{crashAt("s-9", 6.9)}}})
	is.Equal(l.Standing(popular), Standing{})
	is.Equal(l.Report(8)[0].Digest, bad)
	is.Equal(l.Report(99)[1].ClearedThrough, at(7)) // the others hear of it

	// Software that crashes on it since an update is a reason all the same.
	for i := range crashesAfterCompletion {
		l.RecordCrash(popular, crashAt(fmt.Sprint("t-", i), 10+float64(i)/5))
	}
	is.True(!l.Standing(popular).Quarantined) // all within a second
	l.RecordCrash(popular, crashAt("t-9", 10+spanAfterCompletion.Seconds()))
	is.True(l.Standing(popular).Quarantined)
}

// All nodes must come to the same evaluation, in whatever order and how often they hear of it.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []State
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			d := testDigest("one", rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "request"))
			s := State{Digest: d, Crashes: []Crash{crashAt(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "server"), 2*float64(rapid.IntRange(0, 3).Draw(t, "time")))}}
			if rapid.IntRange(0, 9).Draw(t, "completes") == 0 {
				s.ClearedThrough = s.Crashes[0].At.Add(time.Second)
			}
			states = append(states, s)
		}
		first, _ := testList()
		first.Merge(states)
		shuffled := append(slices.Clone(states), states...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		second, _ := testList()
		for _, s := range shuffled {
			second.Merge([]State{s})
		}
		for _, name := range []string{"x", "y", "z"} {
			d := testDigest("one", name)
			if first.Standing(d) != second.Standing(d) {
				t.Fatalf("%s: %+v and %+v", name, first.Standing(d), second.Standing(d))
			}
		}
	})
}

// However many bad requests a customer makes, the list stays bounded and keeps
// what it knows of other customers' requests.
func TestFloodOfBadRequestsPushesOutNoOtherCustomer(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	other := testDigest("two", "bad")
	for i := range 3 {
		l.RecordCrash(other, crashAt(fmt.Sprint("s-", i), float64(i)))
	}
	for i := range maxSuspects + 500 {
		l.RecordCrash(testDigest("one", fmt.Sprint(i)), crashAt(fmt.Sprint("f-", i), float64(i)))
	}
	is.Equal(len(l.suspects), maxSuspects)
	is.True(l.Standing(other).Quarantined)
	is.Equal(len(l.Report(12)), 10) // the one with three crashes, and nine with one
}

func TestStoreReceivesRepeatedCrashesOnly(t *testing.T) {
	is := is.New(t)
	l, now := testList()
	d := testDigest("one", "bad")
	l.RecordCrash(d, crashAt("a", 1))
	is.Equal(len(l.Unstored(8)), 0)
	l.RecordCrash(d, crashAt("b", 2))
	pending := l.Unstored(8)
	is.Equal(len(pending), 1)
	pending[0].Revision = 7
	l.Written(pending[0])
	is.Equal(len(l.Unstored(8)), 0)
	l.ApplyStored(nil, 6) // the view has not caught up with the write
	is.Equal(l.Standing(d).Crashes, 2)

	peer, peerNow := testList()
	state, err := DecodeState(d, pending[0].State.Encode())
	is.NoErr(err)
	peer.ApplyStored([]Stored{{state, 7}}, 7)
	is.Equal(peer.Standing(d).Crashes, 2)
	is.Equal(len(peer.Unstored(8)), 0)
	third := State{Digest: d, Crashes: []Crash{crashAt("c", 3)}}
	peer.Merge([]State{third})
	is.Equal(len(peer.Unstored(8)), 0) // the node that saw it writes it
	*peerNow = peerNow.Add(takeoverDelay + time.Second)
	is.Equal(len(peer.Unstored(8)), 1) // it may have been lost

	*now = now.Add(time.Minute)
	l.ApplyStored(nil, 8) // removed by an operator
	is.Equal(l.Standing(d), Standing{})
}

// Guards against a state being written to the store again and again because the stored
// form is less precise.
func TestStoredStateIsNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	d := testDigest("one", "sound")
	l.RecordCrash(d, crashAt("a", 1.0000001))
	l.RecordCrash(d, crashAt("b", 2.0000001))
	l.Complete(d, testStart.Add(3*time.Second+123456*time.Nanosecond))
	l.RecordCrash(d, crashAt("c", 4.0000001))
	l.RecordCrash(d, crashAt("d", 5.0000001))
	pending := l.Unstored(8)
	is.Equal(len(pending), 1)
	stored, err := DecodeState(d, pending[0].State.Encode())
	is.NoErr(err)
	l.ApplyStored([]Stored{{stored, 7}}, 7)
	is.Equal(len(l.Unstored(8)), 0)
}

// Guards against reports that grow with the number of crashes: they are exchanged twice
// a second.
func TestReportIsBounded(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	for i := range 40 {
		for j := range 1 + i%8 {
			l.RecordCrash(testDigest("one", fmt.Sprint(i)), crashAt(fmt.Sprint("s-", j), float64(3*j)))
		}
	}
	crashes := 0
	for _, s := range l.Report(24) {
		crashes += len(s.Crashes)
	}
	is.True(crashes <= 24)
	is.True(crashes > 16)
}

func TestStoreMakesRoom(t *testing.T) {
	is := is.New(t)
	var stored []Stored
	for i := range maxStored {
		d := testDigest(map[bool]string{true: "flood", false: fmt.Sprint("customer-", i)}[i%2 == 0], fmt.Sprint(i))
		stored = append(stored, Stored{State{Digest: d, Crashes: []Crash{crashAt("a", float64(i))}}, int64(i + 1)})
	}
	is.Equal(len(ToRemove(stored[1:])), 0)
	is.Equal(ToRemove(stored), []Digest{testDigest("flood", "0")}) // the oldest of the customer with the most
}

// A quarantined request is tried once after a while and once on other software, never more.
func TestTrialsAreBounded(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	d := testDigest("one", "bad")
	for i := range 3 {
		l.RecordCrash(d, crashAt(fmt.Sprint("s-", i), float64(i)))
	}
	later := testStart.Add(2 * time.Hour)
	is.True(!l.TrialDue(d, "v1", later)) // not stored, so that other nodes may try it too
	revision := int64(1)
	write := func(s Stored) {
		revision++
		s.Revision = revision
		l.Written(s)
	}
	write(l.Unstored(1)[0])
	is.True(!l.TrialDue(d, "v1", testStart.Add(3*time.Second)))
	is.True(l.TrialDue(d, "v1", later))
	trial, ok := l.WithTrial(d, "v1")
	is.True(ok)
	write(trial)
	is.True(!l.TrialDue(d, "v1", later.Add(24*time.Hour)))
	is.True(l.TrialDue(d, "v2", later))
	trial, _ = l.WithTrial(d, "v2")
	write(trial)
	is.True(!l.TrialDue(d, "v3", later))
	is.True(l.Standing(d).Quarantined)
	l.Complete(d, later)
	is.True(!l.Standing(d).Quarantined)
}

// A request that crashes whatever runs it is stopped after a few crashes, and sound
// requests beside it are not, over random placements of both.
func TestOnlyCrashingRequestsAreQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, _ := testList()
		servers := rapid.IntRange(6, 18).Draw(t, "servers")
		bad := testDigest("one", "bad")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		attempts := 0
		for attempt := 0; attempt < 40 && !l.Standing(bad).Quarantined; attempt++ {
			server, at := fmt.Sprint("s-", rng.IntN(servers)), 1.5*float64(attempt)
			attempts++
			l.RecordCrash(bad, crashAt(server, at))
			for i := range rng.IntN(8) {
				// Each runs beside the bad one at random, and completes at times.
				sound := testDigest("two", fmt.Sprint(rng.IntN(30), i))
				if l.Standing(sound).Crashes > 0 {
					continue // the gateway keeps suspects apart
				}
				l.RecordCrash(sound, crashAt(server, at))
				if rng.IntN(3) == 0 {
					l.Complete(sound, testStart.Add(time.Duration((at+0.5)*float64(time.Second))))
				}
			}
		}
		if attempts != crashesToQuarantine {
			t.Fatalf("quarantined after %d crashes", attempts)
		}
		for d := range l.suspects {
			if d != bad && l.Standing(d).Quarantined {
				t.Fatalf("sound request %s is quarantined: %+v", d, l.Get(d))
			}
		}
	})
}

func FuzzDecodeState(f *testing.F) {
	s := State{Digest: testDigest("one", "x"), ClearedThrough: testStart, Crashes: []Crash{crashAt("a", 1)}, Trials: []string{"v1"}}
	f.Add(s.Encode())
	f.Add([]byte(`{"crashes":[{}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		decoded, err := DecodeState(s.Digest, raw)
		if err != nil {
			return
		}
		again, err := DecodeState(s.Digest, decoded.Encode())
		if err != nil || len(again.Crashes) != len(decoded.Crashes) {
			t.Fatalf("%q: %v, %v", raw, decoded, err)
		}
	})
}
