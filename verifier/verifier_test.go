package verifier

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/xdg-go/scram"
)

func TestVerifier(t *testing.T) {
	text, err := New("correct horse")
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		password string
		stored   scram.StoredCredentials
		want     bool
	}{
		"correct password":      {password: "correct horse", stored: credentials, want: true},
		"wrong password":        {password: "incorrect horse", stored: credentials},
		"empty password":        {stored: credentials},
		"decoy":                 {password: "correct horse", stored: Decoy("anna", []byte("key"))},
		"decoy, empty password": {stored: Decoy("anna", []byte("key"))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, authenticates(t, test.password, test.stored)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// authenticates reports whether the password passes a SCRAM exchange against the stored credentials.
func authenticates(t *testing.T, password string, stored scram.StoredCredentials) bool {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		t.Fatal(err)
	}
	clientSide, serverSide := client.NewConversation(), server.NewConversation()
	first, _ := clientSide.Step("")
	challenge, err := serverSide.Step(first)
	if err != nil {
		t.Fatal(err)
	}
	proof, _ := clientSide.Step(challenge)
	_, err = serverSide.Step(proof)
	return err == nil && serverSide.Valid()
}

func TestParseInvalid(t *testing.T) {
	tests := map[string]string{
		"empty": "", "plain text": "password", "md5": "md5aaaa", "no keys": "SCRAM-SHA-256$4096:c2FsdA==",
		"short key": "SCRAM-SHA-256$4096:c2FsdA==$c2hvcnQ=:c2hvcnQ=", "invalid iteration count": "SCRAM-SHA-256$x:c2FsdA==$a:b",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse(text); err == nil {
				t.Error("accepted")
			}
		})
	}
}
