package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"siskincove/verifier"
)

const (
	mechanism       = "SCRAM-SHA-256"
	passwordMessage = 'p'
)

var errAuthentication = errors.New("authentication exchange failed")

// authenticate runs the SCRAM-SHA-256 exchange against the caller object of the user's name.
func (c *caller) authenticate(user string) error {
	c.name = user
	catalog := c.entry.options.Catalogs.Catalog()
	if catalog == nil {
		return fault(codeNotReady, "instance has no configuration yet")
	}
	if user == "" {
		return fault(codeAuthorization, "no user name was given")
	}
	declared, known := catalog.Caller(user)
	credentials, err := verifier.Parse(declared.Verifier)
	if !known || err != nil {
		credentials = verifier.Decoy(user, c.entry.options.Keys[0])
	}
	if err := c.prove(credentials); err != nil {
		if errors.Is(err, errAuthentication) {
			return fault(codePassword, "password authentication failed for caller %q", user)
		}
		return err
	}
	if !known {
		return fault(codePassword, "password authentication failed for caller %q", user)
	}
	return nil
}

func (c *caller) prove(credentials scram.StoredCredentials) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return errors.Wrap(err, "scram")
	}
	conversation := server.NewConversation()
	c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := c.initialResponse()
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return errAuthentication
	}
	c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	proof, err := c.password()
	if err != nil {
		return err
	}
	final, err := conversation.Step(string(proof))
	if err != nil || !conversation.Valid() {
		return errAuthentication
	}
	c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

func (c *caller) initialResponse() (string, error) {
	body, err := c.password()
	if err != nil {
		return "", err
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		return "", fault(codeProtocol, "SASL response is malformed")
	}
	if m.AuthMechanism != mechanism {
		return "", fault(codeProtocol, "SASL mechanism %q was not offered", m.AuthMechanism)
	}
	return string(m.Data), nil
}

func (c *caller) password() ([]byte, error) {
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	_, m, err := c.reader.Append(nil)
	if err != nil {
		return nil, err
	}
	if m.Type() != passwordMessage {
		return nil, fault(codeProtocol, "expected a SASL response, got message %q", string(m.Type()))
	}
	return m.Body(), nil
}
