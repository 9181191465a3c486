package statement

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// nameBytesMax is the length up to which PostgreSQL tells names apart.
const nameBytesMax = 63

// TestPreparedNames guards against two prepared statements that share a name, be it that their texts were built to have equal
// checksums, that only one of them changes data, or that the endpoint looks only at the start of a name.
func TestPreparedNames(t *testing.T) {
	texts := []string{
		"", " ", "a", "A", "a ", strings.Repeat("a", 1<<20), strings.Repeat("a", 1<<20) + "b",
		// Equal XXH64 checksums.
		"--x3fujbselect-in-a-comment-24--0q5yghe1-the-second-block-of-32-", "--28ek0jselect-in-a-comment-24--hitppbqp-the-second-block-of-32-",
		"fd8g22pmgu0mo61l9hhy6707n176p1ehiv36h00udryet9ay0ea9sptm1y9lzq47", "1bapkjq7gu0mo61l9hhy6707n176p1eh2cnu52xkdryet9ay0ea9sptm1y9lzq47",
	}
	seen := make(map[string]string)
	for _, text := range texts {
		for _, writes := range []bool{false, true} {
			name := NewPrepared(text, writes).Name()
			if other, taken := seen[name]; taken {
				t.Errorf("%.70q and %.70q are both named %s", text, other, name)
			}
			seen[name] = text
		}
	}
}

// TestPreparedNameIsField checks that a name is one field of a message for any text, and the same each time.
func TestPreparedNameIsField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, writes := rapid.String().Draw(t, "text"), rapid.Bool().Draw(t, "writes")
		name := NewPrepared(text, writes).Name()
		if len(name) > nameBytesMax || strings.Trim(name, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_") != "" {
			t.Errorf("name %q", name)
		}
		if again := NewPrepared(text, writes).Name(); again != name {
			t.Errorf("named %s and %s", name, again)
		}
	})
}
