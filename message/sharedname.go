package message

import (
	"crypto/sha256"
	"encoding/base64"
)

// sharedNamePrefix begins the names that SharedName returns.
const sharedNamePrefix = "s"

// sharedNameBytes is the length of these names. PostgreSQL tells names apart by their first 63 bytes.
var sharedNameBytes = len(sharedNamePrefix) + base64.RawURLEncoding.EncodedLen(sha256.Size)

// SharedName returns the name under which the statement of a Parse message is prepared on connections that all sessions share. It is
// made from all that follows the name in the message, with a hash for which nobody can build two statements with the same result.
func SharedName(parse Raw) (string, error) {
	_, rest, err := CString(parse.Body())
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(rest)
	return sharedNamePrefix + base64.RawURLEncoding.EncodeToString(sum[:]), nil
}

// IsSharedName reports whether another instance took a name from SharedName. Older builds used a checksum in hexadecimal.
func IsSharedName(name string) bool { return len(name) == sharedNameBytes }
