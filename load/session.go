package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"

	"siskincove/session"
	"siskincove/verdict"
)

// reasonConnect is the reason for operations that were not sent because no connection could be opened.
const reasonConnect verdict.Reason = "connect"

const (
	table       = "records"
	queueLength = 4096
)

// worker is a session of a user, which runs its operations one after the other.
type worker struct {
	options Options
	tally   *tally
	number  int
	random  *rand.Rand
	// instance is the index of the current instance in Options.Addresses, route that of the session's routes in Options.Main
	// and Options.History.
	instance int
	route    int
	main     *pgx.Conn
	history  *pgx.Conn
	token    string
	// current is the index in records of the one that the session writes to.
	records  []*record
	current  int
	arrivals chan arrival
}

// arrival is a scheduled operation; if move is set, the session moves to the next instance first.
type arrival struct {
	due  time.Time
	move bool
}

func newWorker(o Options, t *tally, number int) *worker {
	return &worker{
		options:  o,
		tally:    t,
		number:   number,
		random:   rand.New(rand.NewPCG(o.Seed, uint64(number)+1)),
		instance: number % len(o.Addresses),
		route:    number % len(o.Main),
		arrivals: make(chan arrival, queueLength),
	}
}

// run executes the operations that arrive until the channel is closed.
func (w *worker) run(ctx context.Context) {
	for a := range w.arrivals {
		if a.move {
			w.moveToNextInstance()
		}
		w.runOperation(ctx, a.due)
	}
	w.closeConns()
}

func (w *worker) runOperation(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, w.options.Timeout)
	defer cancel()
	entry := w.options.Mix.pick(w.random)
	if err := w.openFor(ctx, entry.operation); err != nil {
		w.tally.recordRefusal(refusal{verdict: verdict.NotRun, reason: reasonConnect})
		w.moveToNextInstance()
		return
	}
	if err := w.execute(ctx, entry.operation); err != nil {
		w.recordRefusal(err)
		return
	}
	w.tally.recordSuccess(entry.name, time.Since(due))
}

// recordRefusal counts a failed operation, and moves to the next instance if the connection can no longer be used.
func (w *worker) recordRefusal(err error) {
	failure := parseError(err)
	w.tally.recordRefusal(failure.refusal)
	if !failure.hasVerdict || failure.reason == verdict.Leaving {
		w.moveToNextInstance()
	}
}

// openFor opens the connection that an operation needs, unless it is open.
func (w *worker) openFor(ctx context.Context, o Operation) error {
	if o == HistoryRead {
		return w.open(ctx, &w.history, w.options.History[w.route])
	}
	return w.open(ctx, &w.main, w.options.Main[w.route])
}

func (w *worker) open(ctx context.Context, conn **pgx.Conn, route string) error {
	if *conn != nil && !(*conn).IsClosed() {
		return nil
	}
	url := URL(w.options.Addresses[w.instance], w.options.Caller, w.options.Password, w.options.Service+"/"+route)
	config, err := pgx.ParseConfig(url)
	if err != nil {
		return err
	}
	if w.options.Token && w.token != "" {
		config.RuntimeParams[session.TokenParameter] = w.token
	}
	opened, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	*conn = opened
	return nil
}

// moveToNextInstance closes the session's connections, so that the next ones are opened on the next instance.
func (w *worker) moveToNextInstance() {
	w.closeConns()
	w.instance = (w.instance + 1) % len(w.options.Addresses)
}

func (w *worker) closeConns() {
	for _, conn := range []*pgx.Conn{w.main, w.history} {
		if conn != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = conn.Close(ctx)
			cancel()
		}
	}
	w.main, w.history = nil, nil
}

func (w *worker) execute(ctx context.Context, o Operation) error {
	switch o {
	case Write:
		return w.write(ctx)
	case Transfer:
		return w.transfer(ctx)
	case OwnRead:
		return w.read(ctx, w.main, true)
	default:
		return w.read(ctx, w.history, false)
	}
}

// currentRecord returns the record that the session writes to, and starts a new one after valuesPerKey values.
func (w *worker) currentRecord() *record {
	const valuesPerKey = 20
	if len(w.records) == 0 || len(w.records[w.current].values) >= valuesPerKey {
		w.records = append(w.records, newRecord(fmt.Sprintf("s%d-w%d-%d", w.options.Seed, w.number, len(w.records))))
		w.current = len(w.records) - 1
	}
	return w.records[w.current]
}

func (w *worker) write(ctx context.Context) error {
	r := w.currentRecord()
	value := r.newValue()
	_, err := w.main.Exec(ctx, "INSERT INTO "+table+" (key, value) VALUES ($1, $2)", r.key, value)
	w.recordOutcome(r, err, value)
	return err
}

func (w *worker) transfer(ctx context.Context) error {
	r := w.currentRecord()
	values := []string{r.newValue(), r.newValue()}
	r.transactions = append(r.transactions, values)
	err := w.writeTransaction(ctx, r, values)
	w.recordOutcome(r, err, values...)
	return err
}

func (w *worker) writeTransaction(ctx context.Context, r *record, values []string) error {
	tx, err := w.main.Begin(ctx)
	if err != nil {
		for _, value := range values {
			r.setOutcome(value, refused)
		}
		return err
	}
	for _, value := range values {
		if _, err := tx.Exec(ctx, "INSERT INTO "+table+" (key, value) VALUES ($1, $2)", r.key, value); err != nil {
			_ = tx.Rollback(ctx)
			return err
		}
	}
	return tx.Commit(ctx)
}

// recordOutcome records the reported outcome of the values, and the session token after a success.
func (w *worker) recordOutcome(r *record, err error, values ...string) {
	result := acknowledged
	if err != nil {
		result = outcomeOf(parseError(err).verdict)
	}
	for _, value := range values {
		r.setOutcome(value, result)
	}
	if err == nil {
		w.token = w.main.PgConn().ParameterStatus(session.TokenParameter)
	}
}

// read reads a record and checks it; a read of own writes must see every acknowledged write.
func (w *worker) read(ctx context.Context, conn *pgx.Conn, own bool) error {
	r := w.currentRecord()
	if !own {
		r = w.records[w.random.IntN(len(w.records))]
	}
	got, err := readValues(ctx, conn, r.key)
	if err != nil {
		return err
	}
	w.tally.addViolations(r.check(got, own))
	return nil
}

func readValues(ctx context.Context, conn *pgx.Conn, key string) ([]string, error) {
	result, err := conn.Query(ctx, "SELECT value FROM "+table+" WHERE key = $1", key)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(result, pgx.RowTo[string])
}

// verify reads every record after the run and checks that all acknowledged writes are present.
func (w *worker) verify(ctx context.Context) error {
	for _, r := range w.records {
		if err := w.open(ctx, &w.main, w.options.Main[w.route]); err != nil {
			return err
		}
		got, err := readValues(ctx, w.main, r.key)
		if err != nil {
			w.moveToNextInstance()
			return err
		}
		w.tally.addViolations(r.check(got, true))
	}
	return nil
}
