package session

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/endpoint"
)

var (
	currentKey  = []byte("the key that signs now")
	previousKey = []byte("the key that signed before")
)

func position(term, offset uint64) endpoint.Position {
	return endpoint.Position{Term: endpoint.LogTerm(term), Offset: offset}
}

func TestDecode(t *testing.T) {
	token := Token{}.With("cert1", position(2, 40)).With("cert2", position(1, 7))
	encoded := token.Encode("anna", previousKey)
	tests := map[string]struct {
		text   string
		caller string
		forged bool
	}{
		"own token, previous key": {text: encoded, caller: "anna"},
		"another caller's token":  {text: encoded, caller: "berit", forged: true},
		"changed offset":          {text: "cert1:2:41" + encoded[len("cert1:2:40"):], caller: "anna", forged: true},
		"no mac":                  {text: "cert1:2:40", caller: "anna", forged: true},
		"empty mac":               {text: "cert1:2:40.", caller: "anna", forged: true},
		"empty text":              {text: "", caller: "anna", forged: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Decode(test.text, test.caller, [][]byte{currentKey, previousKey})
			if test.forged != errors.Is(err, ErrForged) {
				t.Fatalf("error %v, forged %t", err, test.forged)
			}
			if test.forged {
				return
			}
			if diff := cmp.Diff(token, got, cmp.AllowUnexported(Token{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTokenIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var token Token
		var highest endpoint.Position
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			p := position(rapid.Uint64Range(0, 3).Draw(t, "term"), rapid.Uint64Range(0, 9).Draw(t, "offset"))
			token, highest = token.With("d", p), highest.Max(p)
		}
		got, _ := token.Position("d")
		if diff := cmp.Diff(highest, got); diff != "" {
			t.Fatal(diff)
		}
		decoded, err := Decode(token.Encode("c", currentKey), "c", [][]byte{currentKey})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(token, decoded, cmp.AllowUnexported(Token{})); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Token{}.With("cert1", position(2, 40)).Encode("anna", currentKey))
	f.Add("a:1:2,b:3:4.00")
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := Decode(text, "anna", [][]byte{currentKey})
		if err != nil {
			return
		}
		if got := token.Encode("anna", currentKey); got != text {
			t.Errorf("accepted %q, which encodes as %q", text, got)
		}
	})
}
