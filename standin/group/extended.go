package group

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

const binaryFormat = 1

func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		s.closeObject(m)
		return nil
	default:
		return sqlError{code: codeFeature, message: fmt.Sprintf("unsupported message %T", message)}
	}
}

func (s *session) parse(m *pgproto3.Parse) error {
	parsed, err := parseStatement(m.Query)
	if err != nil {
		return err
	}
	s.prepared[m.Name] = parsed
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	prepared, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return sqlError{code: codeUndefinedName, message: fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	params := make([]string, 0, len(m.Parameters))
	for _, p := range m.Parameters {
		params = append(params, string(p))
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = portal{statement: prepared, params: params, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	described, ok := s.prepared[m.Name]
	if m.ObjectType == 'P' {
		var p portal
		p, ok = s.portals[m.Name]
		described = p.statement
	}
	if !ok {
		return sqlError{code: codeUndefinedName, message: fmt.Sprintf("%q does not exist", m.Name)}
	}
	if m.ObjectType == 'S' {
		s.describeParams(described)
	}
	columns := s.columns(described)
	if len(columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(result{columns: columns}.description())
	return nil
}

func (s *session) describeParams(described statement) {
	oids := make([]uint32, described.params)
	for i := range oids {
		oids[i] = textOID
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return sqlError{code: codeUndefinedName, message: fmt.Sprintf("portal %q does not exist", m.Portal)}
	}
	out, err := s.execute(p.statement, p.params)
	if err != nil {
		return err
	}
	s.sendRows(out, p.formats)
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.prepared, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

func (s *session) sendRows(out result, formats []int16) {
	for _, row := range out.rows {
		values := make([][]byte, 0, len(row))
		for i, text := range row {
			values = append(values, encode(text, out.columns[i], formatOf(formats, i)))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	if out.tag == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
}

// formatOf returns the result format of column i: none means text, and a single one applies to all columns.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return 0
	}
}

func encode(text string, c column, format int16) []byte {
	if c.oid != int8OID || format != binaryFormat {
		return []byte(text)
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}
