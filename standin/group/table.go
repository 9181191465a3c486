package group

// rowKey identifies the rows that share a key in a table; keys are not unique.
type rowKey struct {
	table string
	key   string
}

// store holds the applied rows of a member.
type store struct {
	rows map[rowKey][]string
}

func newStore() *store { return &store{rows: make(map[rowKey][]string)} }

func (s *store) apply(r record) {
	for _, c := range r.changes {
		key := rowKey{table: c.table, key: c.key}
		if c.update {
			s.update(key, c.value)
			continue
		}
		s.rows[key] = append(s.rows[key], c.value)
	}
}

func (s *store) update(key rowKey, value string) {
	rows := s.rows[key]
	for i := range rows {
		rows[i] = value
	}
}

func (s *store) values(table, key string) []string {
	rows := s.rows[rowKey{table: table, key: key}]
	return append([]string(nil), rows...)
}
