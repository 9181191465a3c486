package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"siskincove/verifier"
)

const (
	saslMechanism   = "SCRAM-SHA-256"
	passwordMessage = 'p'
)

var errAuthentication = errors.New("authentication exchange failed")

// authenticate runs the SCRAM-SHA-256 exchange with the verifier of the configured caller named user. For an unknown
// user it runs the exchange with a decoy verifier, so that the caller can't tell which names exist.
func (c *caller) authenticate(user string) error {
	c.name = user
	catalog := c.server.options.Catalogs.Catalog()
	if catalog == nil {
		return sqlErrorf(codeNotReady, "instance has no configuration yet")
	}
	if user == "" {
		return sqlErrorf(codeAuthorization, "no user name was given")
	}
	declared, known := catalog.Caller(user)
	credentials, err := verifier.Parse(declared.Verifier)
	if !known || err != nil {
		credentials = verifier.Decoy(user, c.server.options.Keys[0])
	}
	if err := c.runSCRAM(credentials); err != nil {
		if errors.Is(err, errAuthentication) {
			return sqlErrorf(codePassword, "password authentication failed for caller %q", user)
		}
		return err
	}
	if !known {
		return sqlErrorf(codePassword, "password authentication failed for caller %q", user)
	}
	return nil
}

func (c *caller) runSCRAM(credentials scram.StoredCredentials) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return errors.Wrap(err, "scram")
	}
	conversation := server.NewConversation()
	c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}})
	first, err := c.readInitialResponse()
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return errAuthentication
	}
	c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	proof, err := c.readPasswordMessage()
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

func (c *caller) readInitialResponse() (string, error) {
	body, err := c.readPasswordMessage()
	if err != nil {
		return "", err
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		return "", sqlErrorf(codeProtocol, "SASL response is malformed")
	}
	if m.AuthMechanism != saslMechanism {
		return "", sqlErrorf(codeProtocol, "SASL mechanism %q was not offered", m.AuthMechanism)
	}
	return string(m.Data), nil
}

func (c *caller) readPasswordMessage() ([]byte, error) {
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	_, m, err := c.reader.Append(nil)
	if err != nil {
		return nil, err
	}
	if m.Type() != passwordMessage {
		return nil, sqlErrorf(codeProtocol, "expected a SASL response, got message %q", string(m.Type()))
	}
	return m.Body(), nil
}
