package message

// StatementName returns the name of the prepared statement to which a Parse, Bind, Describe or Close message refers.
// named is false for other message types, and for Describe and Close of a portal.
func StatementName(r Raw) (name string, named bool, err error) {
	body := r.Body()
	switch r.Type() {
	case Parse:
		name, _, err = CString(body)
		return name, err == nil, err
	case Bind:
		return secondCString(body)
	case Describe, Close:
		if len(body) == 0 {
			return "", false, ErrMalformed
		}
		if body[0] != ObjectStatement {
			return "", false, nil
		}
		name, _, err = CString(body[1:])
		return name, err == nil, err
	default:
		return "", false, nil
	}
}

func secondCString(body []byte) (string, bool, error) {
	_, rest, err := CString(body)
	if err != nil {
		return "", false, err
	}
	name, _, err := CString(rest)
	return name, err == nil, err
}

// WithStatementName returns a copy of a Parse, Bind, Describe or Close message that refers to the prepared statement
// name instead.
func WithStatementName(r Raw, name string) (Raw, error) {
	body := r.Body()
	var out []byte
	switch r.Type() {
	case Bind:
		portal, rest, err := CString(body)
		if err != nil {
			return nil, err
		}
		out = appendCString(out, portal)
		body = rest
	case Describe, Close:
		if len(body) == 0 {
			return nil, ErrMalformed
		}
		out = append(out, body[0])
		body = body[1:]
	}
	_, rest, err := CString(body)
	if err != nil {
		return nil, err
	}
	out = append(appendCString(out, name), rest...)
	return New(r.Type(), out), nil
}

// ParseQuery returns the SQL text of a Parse message.
func ParseQuery(r Raw) (string, error) {
	_, rest, err := CString(r.Body())
	if err != nil {
		return "", err
	}
	query, _, err := CString(rest)
	return query, err
}

// ErrorCode returns the SQLSTATE of an ErrorResponse, or "" if it has none.
func ErrorCode(r Raw) string {
	body := r.Body()
	for len(body) > 1 {
		field := body[0]
		value, rest, err := CString(body[1:])
		if err != nil {
			return ""
		}
		if field == 'C' {
			return value
		}
		body = rest
	}
	return ""
}
