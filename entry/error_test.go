package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

type pgproto3Error = pgconn.PgError

func asError(err error, into **pgproto3Error) bool { return errors.As(err, into) }
