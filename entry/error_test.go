package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

type pgError = pgconn.PgError

func asPgError(err error, target **pgError) bool { return errors.As(err, target) }
