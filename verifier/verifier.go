package verifier

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"
)

const (
	prefix     = "SCRAM-SHA-256$"
	iterations = 4096
	saltBytes  = 16
	keyBytes   = 32
)

var errMalformed = errors.New("not a SCRAM-SHA-256 verifier")

// New returns a verifier for a password with a random salt.
func New(password string) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.Wrap(err, "generating salt")
	}
	return WithSalt(password, salt)
}

// WithSalt returns the verifier for a password and a salt, as SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey with
// base64 values.
func WithSalt(password string, salt []byte) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "preparing the password for SCRAM")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", errors.Wrap(err, "deriving the SCRAM keys")
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", prefix, iterations, encode(salt), encode(stored.StoredKey), encode(stored.ServerKey)), nil
}

// Parse returns the credentials in a verifier.
func Parse(text string) (scram.StoredCredentials, error) {
	rest, ok := strings.CutPrefix(text, prefix)
	factors, keys, found := strings.Cut(rest, "$")
	if !ok || !found {
		return scram.StoredCredentials{}, errMalformed
	}
	countText, salt, found := strings.Cut(factors, ":")
	stored, server, foundKeys := strings.Cut(keys, ":")
	if !found || !foundKeys {
		return scram.StoredCredentials{}, errMalformed
	}
	iterationCount, err := strconv.Atoi(countText)
	if err != nil || iterationCount <= 0 {
		return scram.StoredCredentials{}, errMalformed
	}
	return decode(iterationCount, salt, stored, server)
}

func decode(iterationCount int, salt, stored, server string) (scram.StoredCredentials, error) {
	saltValue, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return scram.StoredCredentials{}, errMalformed
	}
	storedKey, err := base64.StdEncoding.DecodeString(stored)
	if err != nil || len(storedKey) != keyBytes {
		return scram.StoredCredentials{}, errMalformed
	}
	serverKey, err := base64.StdEncoding.DecodeString(server)
	if err != nil || len(serverKey) != keyBytes {
		return scram.StoredCredentials{}, errMalformed
	}
	factors := scram.KeyFactors{Salt: string(saltValue), Iters: iterationCount}
	return scram.StoredCredentials{KeyFactors: factors, StoredKey: storedKey, ServerKey: serverKey}, nil
}

// Decoy returns credentials that no password matches, always the same for a name and a key, so that an unknown caller is
// refused in the same way as a wrong password.
func Decoy(name string, key []byte) scram.StoredCredentials {
	derive := func(label string) []byte {
		h := hmac.New(sha256.New, key)
		_, _ = h.Write([]byte(label + "\x00" + name))
		return h.Sum(nil)
	}
	factors := scram.KeyFactors{Salt: string(derive("salt")[:saltBytes]), Iters: iterations}
	return scram.StoredCredentials{KeyFactors: factors, StoredKey: derive("stored"), ServerKey: derive("server")}
}
