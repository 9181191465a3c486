package transfer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// routes returns a value like a configuration with a number of routes.
func routes(n int) []byte {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, `{"name":"%016x","type":"read_your_writes","service":"g","timeout-ms":800},`, uint64(HashOf([]byte(fmt.Sprint(i)))))
	}
	return []byte(out.String())
}

// TestSplit checks that the pieces of any value give the value again and have sizes within the bounds.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "unit")
		value := bytes.Repeat(unit, rapid.IntRange(0, 2000).Draw(t, "repeats"))
		var joined []byte
		pieces := Split(value)
		for n, p := range pieces {
			if len(p.Data) > MaxPieceBytes || len(p.Data) < minPieceBytes && n < len(pieces)-1 {
				t.Errorf("piece %d of %d has %d bytes", n, len(pieces), len(p.Data))
			}
			joined = append(joined, p.Data...)
		}
		if !bytes.Equal(joined, value) {
			t.Error("pieces do not give the value")
		}
	})
}

// TestChangeIsLocal guards against a small change of a configuration that costs the bytes of all of it.
func TestChangeIsLocal(t *testing.T) {
	value := routes(4000)
	old := NewDocument(value)
	tests := map[string][]byte{
		"other value in place": bytes.Replace(value, []byte("800"), []byte("900"), 1),
		"inserted at start":    append([]byte(`{"version":21,`), value...),
		"inserted in middle":   append(append(bytes.Clone(value[:len(value)/2]), "one route more"...), value[len(value)/2:]...),
		"appended":             append(bytes.Clone(value), "one route more"...),
		"nothing":              value,
	}
	for name, changed := range tests {
		t.Run(name, func(t *testing.T) {
			a, err := NewAssembly(NewDocument(changed).Manifest(), old)
			if err != nil {
				t.Fatal(err)
			}
			if limit := 2 * MaxPieceBytes; a.Missing() > limit {
				t.Errorf("%d of %d bytes are missing, want at most %d", a.Missing(), len(changed), limit)
			}
		})
	}
}

// TestAssembly checks that a value arrives whole whatever was known, in whatever order the pieces come, and however often a transfer is
// broken off and continued.
func TestAssembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := routes(rapid.IntRange(0, 500).Draw(t, "before")), routes(rapid.IntRange(1, 1500).Draw(t, "after"))
		sender := NewDocument(after)
		a, err := NewAssembly(sender.Manifest(), NewDocument(before))
		if err != nil {
			t.Fatal(err)
		}
		for a.Missing() > 0 {
			var pieces []Piece
			for _, h := range a.Next(RequestBytes) {
				data, _ := sender.Piece(h)
				pieces = append(pieces, Piece{Hash: h, Data: data})
			}
			arrived := pieces[:rapid.IntRange(0, len(pieces)).Draw(t, "arrived")]
			next, added, err := a.With(arrived)
			if err != nil || added != len(arrived) || next.Missing() > a.Missing() {
				t.Fatalf("%d of %d pieces added, %d bytes missing after %d: %v", added, len(arrived), next.Missing(), a.Missing(), err)
			}
			if a, err = NewAssembly(sender.Manifest(), next); err != nil {
				t.Fatal(err)
			}
		}
		value, err := a.Value()
		if err != nil || !bytes.Equal(value, after) {
			t.Errorf("value differs: %v", err)
		}
	})
}

// TestEqualChecksums guards against a value that is put together from a piece of another one with the same checksum. The first 64 bytes
// were built so that the checksums of the first pieces and those of the values are equal.
func TestEqualChecksums(t *testing.T) {
	known := []byte("--x3fujbselect-in-a-comment-24--0q5yghe1-the-second-block-of-32-" + string(routes(500)))
	value := []byte("--28ek0jselect-in-a-comment-24--hitppbqp-the-second-block-of-32-" + string(routes(500)))
	a, err := NewAssembly(NewDocument(value).Manifest(), NewDocument(known))
	if err != nil || a.Missing() != 0 {
		t.Fatalf("%d bytes are missing, %v; want 0", a.Missing(), err)
	}
	if got, err := a.Value(); !errors.Is(err, ErrOtherValue) {
		t.Errorf("%d bytes, equal to the value: %t, %v", len(got), bytes.Equal(got, value), err)
	}
}

// TestDamagedPieces guards against a damaged or malformed transfer that is applied or that ends the process.
func TestDamagedPieces(t *testing.T) {
	d := NewDocument(routes(1000))
	whole := d.Manifest()
	tests := map[string]struct {
		manifest Manifest
		pieces   func(p []Piece) []Piece
		want     string
	}{
		"sound":              {whole, func(p []Piece) []Piece { return p }, ""},
		"content of another": {whole, func(p []Piece) []Piece { p[0].Data = p[1].Data; return p }, "piece"},
		"piece lacking":      {whole, func(p []Piece) []Piece { return p[1:] }, "missing"},
		"other sum":          {Manifest{whole.Hashes, whole.Sizes, whole.Digest, Sum{1}}, func(p []Piece) []Piece { return p }, "value with hash"},
		"older sender":       {Manifest{Hashes: whole.Hashes, Sizes: whole.Sizes, Digest: whole.Digest}, func(p []Piece) []Piece { return p }, ""},
		"other digest":       {Manifest{Hashes: whole.Hashes, Sizes: whole.Sizes, Digest: 1}, func(p []Piece) []Piece { return p }, "value with hash"},
		"sizes lacking":      {Manifest{Hashes: whole.Hashes}, nil, "sizes"},
		"size of nothing":    {Manifest{Hashes: whole.Hashes[:1], Sizes: []int{0}}, nil, "piece of 0 bytes"},
		"negative size":      {Manifest{Hashes: whole.Hashes[:1], Sizes: []int{-1}}, nil, "piece of -1 bytes"},
		"huge piece":         {Manifest{Hashes: whole.Hashes[:1], Sizes: []int{1 << 30}}, nil, "piece of"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := func() error {
				a, err := NewAssembly(test.manifest)
				if err != nil {
					return err
				}
				var pieces []Piece
				for _, h := range whole.Hashes {
					data, _ := d.Piece(h)
					pieces = append(pieces, Piece{Hash: h, Data: data})
				}
				if a, _, err = a.With(test.pieces(pieces)); err != nil {
					return err
				}
				_, err = a.Value()
				return err
			}()
			got := ""
			if err != nil {
				got = err.Error()
			}
			if (got == "") != (test.want == "") || !strings.Contains(got, test.want) {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}

// TestUnaskedPieces guards against a peer that sends pieces which nobody asked for: they would be kept, and the pull would never end.
func TestUnaskedPieces(t *testing.T) {
	a, err := NewAssembly(NewDocument(routes(100)).Manifest())
	if err != nil {
		t.Fatal(err)
	}
	data := []byte("of another value")
	next, added, err := a.With([]Piece{{Hash: HashOf(data), Data: data}})
	if err != nil || added != 0 {
		t.Errorf("%d pieces added: %v", added, err)
	}
	if _, ok := next.Piece(HashOf(data)); ok {
		t.Error("a piece that is not of the value is kept")
	}
}

// FuzzExpand checks that no compressed piece ends the process or expands to more than a piece.
func FuzzExpand(f *testing.F) {
	var c Compressor
	for _, seed := range [][]byte{nil, routes(10), make([]byte, MaxPieceBytes), make([]byte, 1<<20)} {
		compressed, err := c.Compress(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(compressed)
		expanded, err := Expand(compressed)
		if len(seed) <= MaxPieceBytes && !bytes.Equal(expanded, seed) {
			f.Errorf("%d bytes differ after compression: %v", len(seed), err)
		}
	}
	f.Fuzz(func(t *testing.T, compressed []byte) {
		if expanded, err := Expand(compressed); err == nil && len(expanded) > MaxPieceBytes {
			t.Errorf("expanded to %d bytes", len(expanded))
		}
	})
}

// TestCompression checks that a configuration's pieces shrink to less than half.
func TestCompression(t *testing.T) {
	var c Compressor
	before, after := 0, 0
	for _, p := range Split(routes(4000)) {
		compressed, err := c.Compress(p.Data)
		if err != nil {
			t.Fatal(err)
		}
		before, after = before+len(p.Data), after+len(compressed)
	}
	if after > before/2 {
		t.Error(cmp.Diff(before/2, after))
	}
}
