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

// reasonConnect counts operations for which no connection could be opened, so that nothing was sent.
const reasonConnect verdict.Reason = "connect"

const (
	table       = "records"
	queueLength = 4096
)

// worker is one session of a user; its operations run one after the other.
type worker struct {
	options Options
	tally   *tally
	number  int
	random  *rand.Rand
	at      int
	pair    int
	main    *pgx.Conn
	history *pgx.Conn
	token   string
	records []*record
	current int
	work    chan arrival
}

// arrival is an operation that is due; moves tells that the session changes its instance before it.
type arrival struct {
	due   time.Time
	moves bool
}

func newWorker(o Options, t *tally, number int) *worker {
	return &worker{
		options: o,
		tally:   t,
		number:  number,
		random:  rand.New(rand.NewPCG(o.Seed, uint64(number)+1)),
		at:      number % len(o.Addresses),
		pair:    number % len(o.Main),
		work:    make(chan arrival, queueLength),
	}
}

// run serves the operations that arrive until the channel is closed.
func (w *worker) run(ctx context.Context) {
	for a := range w.work {
		if a.moves {
			w.move()
		}
		w.serve(ctx, a.due)
	}
	w.leave()
}

func (w *worker) serve(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, w.options.Timeout)
	defer cancel()
	s := w.options.Mix.pick(w.random)
	if err := w.ensure(ctx, s.operation); err != nil {
		w.tally.refuse(refusal{verdict: verdict.NotRun, reason: reasonConnect})
		w.move()
		return
	}
	if err := w.operate(ctx, s.operation); err != nil {
		w.refuse(err)
		return
	}
	w.tally.succeed(s.name, time.Since(due))
}

// refuse counts an answer that is no success, and leaves a connection that can't be used any more.
func (w *worker) refuse(err error) {
	t := readError(err)
	w.tally.refuse(t.refusal)
	if !t.known || t.reason == verdict.Leaving {
		w.move()
	}
}

// ensure opens the connection that an operation needs.
func (w *worker) ensure(ctx context.Context, o Operation) error {
	if o == HistoryRead {
		return w.open(ctx, &w.history, w.options.History[w.pair])
	}
	return w.open(ctx, &w.main, w.options.Main[w.pair])
}

func (w *worker) open(ctx context.Context, conn **pgx.Conn, route string) error {
	if *conn != nil && !(*conn).IsClosed() {
		return nil
	}
	url := URL(w.options.Addresses[w.at], w.options.Caller, w.options.Password, w.options.Service+"/"+route)
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

// move closes the session's connections; the next ones are opened at another instance.
func (w *worker) move() {
	w.leave()
	w.at = (w.at + 1) % len(w.options.Addresses)
}

func (w *worker) leave() {
	for _, conn := range []*pgx.Conn{w.main, w.history} {
		if conn != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = conn.Close(ctx)
			cancel()
		}
	}
	w.main, w.history = nil, nil
}

func (w *worker) operate(ctx context.Context, o Operation) error {
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

// record returns the record that the session works on now; it goes on to a new one when that has grown.
func (w *worker) record() *record {
	const valuesPerKey = 20
	if len(w.records) == 0 || len(w.records[w.current].values) >= valuesPerKey {
		w.records = append(w.records, newRecord(fmt.Sprintf("s%d-w%d-%d", w.options.Seed, w.number, len(w.records))))
		w.current = len(w.records) - 1
	}
	return w.records[w.current]
}

func (w *worker) write(ctx context.Context) error {
	r := w.record()
	value := r.next()
	_, err := w.main.Exec(ctx, "INSERT INTO "+table+" (key, value) VALUES ($1, $2)", r.key, value)
	w.conclude(r, err, value)
	return err
}

func (w *worker) transfer(ctx context.Context) error {
	r := w.record()
	values := []string{r.next(), r.next()}
	r.pairs = append(r.pairs, values)
	err := w.transferValues(ctx, r, values)
	w.conclude(r, err, values...)
	return err
}

func (w *worker) transferValues(ctx context.Context, r *record, values []string) error {
	tx, err := w.main.Begin(ctx)
	if err != nil {
		for _, value := range values {
			r.tell(value, refused)
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

// conclude notes what the session was told of the values.
func (w *worker) conclude(r *record, err error, values ...string) {
	o := acknowledged
	if err != nil {
		o = outcomeOf(readError(err).verdict)
	}
	for _, value := range values {
		r.tell(value, o)
	}
	if err == nil {
		w.token = w.main.PgConn().ParameterStatus(session.TokenParameter)
	}
}

// read checks what a record holds now; own reads must see every acknowledged write.
func (w *worker) read(ctx context.Context, conn *pgx.Conn, own bool) error {
	r := w.record()
	if !own {
		r = w.records[w.random.IntN(len(w.records))]
	}
	got, err := rows(ctx, conn, r.key)
	if err != nil {
		return err
	}
	w.tally.report(r.check(got, own))
	return nil
}

func rows(ctx context.Context, conn *pgx.Conn, key string) ([]string, error) {
	found, err := conn.Query(ctx, "SELECT value FROM "+table+" WHERE key = $1", key)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(found, pgx.RowTo[string])
}

// verify reads every record once more, when all is over, and checks it whole.
func (w *worker) verify(ctx context.Context) error {
	for _, r := range w.records {
		if err := w.open(ctx, &w.main, w.options.Main[w.pair]); err != nil {
			return err
		}
		got, err := rows(ctx, w.main, r.key)
		if err != nil {
			w.move()
			return err
		}
		w.tally.report(r.check(got, true))
	}
	return nil
}
