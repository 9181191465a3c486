package pool

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
	"siskincove/message"
)

var errNoRow = errors.New("response has no data row")

// firstRow returns the first data row among the messages, in text form.
func firstRow(payload []byte) (endpoint.Row, error) {
	for len(payload) > 0 {
		m, rest, err := message.Next(payload)
		if err != nil {
			return nil, err
		}
		if m.Type() == message.DataRow {
			return decodeRow(m.Body())
		}
		payload = rest
	}
	return nil, errNoRow
}

const (
	countBytes  = 2
	lengthBytes = 4
)

func decodeRow(body []byte) (endpoint.Row, error) {
	if len(body) < countBytes {
		return nil, message.ErrMalformed
	}
	count := int(binary.BigEndian.Uint16(body))
	body = body[countBytes:]
	row := make(endpoint.Row, 0, count)
	for range count {
		value, rest, err := cutValue(body)
		if err != nil {
			return nil, err
		}
		row = append(row, string(value))
		body = rest
	}
	return row, nil
}

// cutValue splits the first value off a row. NULL becomes an empty value.
func cutValue(body []byte) ([]byte, []byte, error) {
	if len(body) < lengthBytes {
		return nil, nil, message.ErrMalformed
	}
	size := int32(binary.BigEndian.Uint32(body))
	body = body[lengthBytes:]
	if size < 0 {
		return nil, body, nil
	}
	if int(size) > len(body) {
		return nil, nil, message.ErrMalformed
	}
	return body[:size], body[size:], nil
}
