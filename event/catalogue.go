package event

import "github.com/apex/log"

// Daemon events, 100 to 199.
var (
	Started             = define(100, log.InfoLevel, "daemon", "started", "The instance runs; it serves once event 302 was logged.")
	Stopping            = define(101, log.InfoLevel, "daemon", "stopping", "A signal asked the instance to leave; requests in flight are finished.")
	Stopped             = define(102, log.InfoLevel, "daemon", "stopped", "The instance ended with nothing in flight.")
	ForcedStop          = define(103, log.WarnLevel, "daemon", "stopped by force", "The drain limit passed or a second signal came; the field inflight tells how many requests were cut off.")
	CertificateLoaded   = define(105, log.InfoLevel, "certificate", "certificate taken over", "A new certificate was found in its file and is shown from now on.")
	CertificateFailed   = define(106, log.ErrorLevel, "certificate", "certificate not taken over", "A certificate, key or authority file is missing, wrong or expired; the last good one is kept. Mend the file.")
	LinesDropped        = define(110, log.WarnLevel, "daemon", "log lines left out", "More lines were written than the bound allows, or the output did not take them; the field count tells how many are missing.")
	SettingsReloaded    = define(108, log.InfoLevel, "daemon", "settings read again", "The settings file was read and is valid: the keys under taken are in force, those under waiting take a start.")
	SettingsFailed      = define(109, log.ErrorLevel, "daemon", "settings not valid", "The changed settings file can't be read or has errors; the instance goes on, but its next start would fail. Mend the file.")
	DependencyLost      = define(111, log.WarnLevel, "daemon", "dependency lost", "The field name tells what does not answer any more; error tells why.")
	DependencyRecovered = define(112, log.InfoLevel, "daemon", "dependency regained", "The field name tells what answers again; after tells for how long it did not.")
	Ready               = define(104, log.InfoLevel, "daemon", "ready", "The instance answers its readiness address with success.")
)

// Caller events, 200 to 299.
var (
	CallerConnected       = define(200, log.DebugLevel, "entry", "caller connected", "A caller was authenticated.")
	CallerRefused         = define(201, log.WarnLevel, "entry", "caller refused", "Startup or authentication failed; the field reason says why.")
	CallerDisconnected    = define(202, log.DebugLevel, "entry", "caller disconnected", "A caller's connection ended.")
	RequestRefused        = define(203, log.WarnLevel, "entry", "request refused", "A request was answered with an error of ours; verdict and reason say what the caller was told.")
	RequestRetried        = define(204, log.InfoLevel, "entry", "request retried", "A request that did not run was sent to another endpoint or again.")
	ProtocolViolated      = define(205, log.WarnLevel, "entry", "protocol violated", "A caller sent a message that the protocol does not allow; its connection was closed.")
	RequestServed         = define(207, log.InfoLevel, "dispatch", "request served", "A statement was answered; tries counts the endpoints asked, after is the position that the endpoint had to have.")
	StatementFailed       = define(208, log.WarnLevel, "dispatch", "statement failed at an endpoint", "An endpoint did not serve a statement; why gives the reason and the next line with this request tells what followed.")
	TransactionRolledBack = define(209, log.WarnLevel, "dispatch", "transaction lost", "A transaction was rolled back before its commit was sent; why gives the reason.")
	SessionsClosing       = define(210, log.InfoLevel, "caller", "sessions ending", "The instance leaves and closes the sessions that wait for their callers; count tells how many are left.")
	TokenRejected         = define(206, log.WarnLevel, "entry", "token rejected", "A caller's session token was not made by this deployment or not for this caller; a barrier is used instead.")
)

// Routing events, 300 to 399.
var (
	EndpointChosen      = define(300, log.InfoLevel, "route", "endpoint chosen", "A request was sent to this endpoint; why gives the rule.")
	NoEndpointAvailable = define(301, log.WarnLevel, "route", "no endpoint", "No endpoint could serve the request at this moment.")
	RevisionApplied     = define(302, log.InfoLevel, "config", "revision in force", "The instance serves by this revision from now on.")
	RevisionReadFailed  = define(303, log.WarnLevel, "config", "revision not read", "The head or the objects could not be read; the instance keeps what it has and tries again.")
	RevisionFromPeer    = define(304, log.InfoLevel, "config", "revision read from a peer", "The platform did not answer, or a peer knew a newer revision first.")
	BarrierTaken        = define(305, log.DebugLevel, "session", "barrier taken", "A session without a token reads at or past this position.")
	BarrierFailed       = define(306, log.WarnLevel, "session", "barrier not taken", "No majority of the group's endpoints answered; the session's reads are refused for now.")
)

// Directory events, 310 to 329.
var (
	PrimaryChanged       = define(310, log.InfoLevel, "database", "primary changed", "This instance takes another endpoint for the primary from now on, or none; why tells whether by proof, claim, denial or a peer.")
	EndpointsChanged     = define(311, log.InfoLevel, "directory", "endpoints changed", "The registered endpoints of this version are in force; from tells whether the store or a peer gave them.")
	EntryUnreadable      = define(312, log.WarnLevel, "directory", "entry not readable", "A registered entry has missing or unknown fields and names no endpoint; the others hold.")
	ConfigurationApplied = define(313, log.InfoLevel, "directory", "configuration in force", "The operator's configuration of this version is in force; from tells whether the store or a peer gave it.")
	EndpointMissing      = define(314, log.InfoLevel, "directory", "endpoint missing", "A registered endpoint is no longer listed; it is used while it answers, for a few seconds.")
	EndpointRemoved      = define(315, log.InfoLevel, "directory", "endpoint gone", "An endpoint left, or stayed missing, and is no longer used.")
)

// Endpoint events, 400 to 499.
var (
	EndpointOwned        = define(400, log.InfoLevel, "pool", "endpoint owned", "This instance now opens the connections to the endpoint.")
	EndpointReleased     = define(401, log.InfoLevel, "pool", "endpoint released", "Another instance owns the endpoint now; transactions in flight are finished here.")
	ConnectionOpened     = define(402, log.DebugLevel, "pool", "connection opened", "A connection to the endpoint was opened.")
	ConnectionFailed     = define(403, log.WarnLevel, "pool", "connection failed", "The endpoint refused a connection or did not answer in time.")
	ConnectionDropped    = define(404, log.InfoLevel, "pool", "connection dropped", "A connection was closed instead of reused because its state was not certain.")
	RoleChanged          = define(405, log.InfoLevel, "pool", "role changed", "The endpoint reports another role or term.")
	EndpointUnresponsive = define(406, log.WarnLevel, "pool", "endpoint silent", "The endpoint stopped answering status questions.")
	CommitUnconfirmed    = define(407, log.WarnLevel, "pool", "commit not confirmed", "A commit was not confirmed by a majority in time; the caller was told that it may have run.")
	EndpointDraining     = define(408, log.InfoLevel, "pool", "endpoint leaving", "The endpoint is declared leaving and gets no new work.")
	ConnectionsAllocated = define(411, log.InfoLevel, "connection", "connections placed", "This instance has at most limit connections to the endpoint; where borrows is set, those that wait for one of the holders' are counted.")
	HolderUnreachable    = define(412, log.WarnLevel, "connection", "holder not reached", "An instance that lends connections to the endpoint did not answer; another one is asked, and after all the endpoint itself.")
	LoanRefused          = define(413, log.InfoLevel, "connection", "loan refused", "A borrower's statement found no connection of this holder in time, or this instance holds none; the borrower tells its caller.")
	EndpointFull         = define(414, log.InfoLevel, "connection", "endpoint full", "The endpoint had no place for a statement, or did not get to it in time; window is how many statements of this instance may be under way there now.")
	DetourTaken          = define(410, log.InfoLevel, "connection", "detour taken", "The endpoint can't be reached directly; a connection was made by way of another instance.")
	OwnerRefused         = define(409, log.InfoLevel, "pool", "request refused by the owner", "The owner refused a request before it ran; reason says why.")
)

// Failover events, 500 to 599.
var (
	PrimaryLost        = define(500, log.WarnLevel, "failover", "primary lost", "The coordinator has no working primary for the database and starts a ballot; why gives the evidence.")
	BallotStarted      = define(501, log.InfoLevel, "failover", "ballot started", "A majority of the endpoints is asked to promise the term.")
	BallotPromoting    = define(502, log.InfoLevel, "failover", "endpoint promoted", "The endpoint with the highest log among a promised majority becomes primary.")
	BallotDone         = define(503, log.InfoLevel, "failover", "ballot done", "The new primary accepts writes and the others follow it.")
	BallotFailed       = define(504, log.WarnLevel, "failover", "ballot failed", "The ballot ended without a primary; it is tried again under a higher term.")
	TermReserved       = define(505, log.InfoLevel, "failover", "term reserved", "A unique term was taken from the platform's table, ahead of need.")
	TermMissing        = define(506, log.WarnLevel, "failover", "no term reserved", "The platform's table does not answer and no reserved term is high enough; failover waits or is left to the next coordinator.")
	FollowerRedirected = define(507, log.InfoLevel, "failover", "endpoint told to follow", "An endpoint that followed nobody was pointed at the primary.")
)

// Succession events, 520 to 539.
var (
	PrimarySuspected   = define(520, log.WarnLevel, "succession", "primary in doubt", "The coordinator asks every endpoint of the group; why gives the evidence and since its age.")
	SuccessionStarted  = define(521, log.WarnLevel, "succession", "succession started", "The primary is taken to be lost and the replicas are held, so that no commit can be acknowledged any more.")
	PromotionRequested = define(522, log.WarnLevel, "succession", "promotion ordered", "The platform is told to promote the endpoint whose log holds every acknowledged commit.")
	PromotionRefused   = define(523, log.WarnLevel, "succession", "promotion refused", "The platform refused the order, which has no effect; another attempt starts with a higher fencing token.")
	PromotionUnknown   = define(524, log.WarnLevel, "succession", "promotion without an answer", "The order may take effect later; the same one is repeated until the endpoint leads or the platform refuses it.")
	SuccessionDone     = define(525, log.InfoLevel, "succession", "succession done", "The promoted endpoint leads; took tells the time since the succession started.")
	SuccessionStopped  = define(526, log.WarnLevel, "succession", "succession stopped", "The succession ended without a promotion and its holds are released; why gives the reason.")
	HoldReleased       = define(527, log.InfoLevel, "succession", "hold released", "A replica that was held without need receives again.")
	FenceReserved      = define(528, log.InfoLevel, "succession", "fencing token reserved", "A fencing token that no other instance has was taken from the store, ahead of need.")
	DepartureSettled   = define(530, log.InfoLevel, "succession", "departure settled", "Endpoints that left have no commit that no registered replica has.")
	SuccessionBlocked  = define(531, log.WarnLevel, "succession", "succession hindered", "The primary should be replaced and is not; why says what is in the way, evidence what speaks against the primary.")
	FenceMissing       = define(529, log.WarnLevel, "succession", "no fencing token", "No fencing token is reserved and the store does not give one; another coordinator has to act.")
)

// Membership events, 600 to 699.
var (
	MemberAlive      = define(600, log.InfoLevel, "member", "instance alive", "An instance answers heartbeats.")
	MemberDead       = define(601, log.WarnLevel, "member", "instance dead", "An instance has missed its heartbeats; its endpoints move to others.")
	MemberLeaving    = define(602, log.InfoLevel, "member", "instance leaving", "An instance announced that it leaves; its endpoints move to others.")
	RosterFailed     = define(603, log.WarnLevel, "member", "list of instances not read", "The platform's list did not answer; heartbeats go on with what is known.")
	PeerRefused      = define(604, log.WarnLevel, "peer", "peer refused", "A connection between instances failed or was refused.")
	PlacementChanged = define(605, log.InfoLevel, "member", "placement changed", "The owner of an endpoint is another instance from now on.")
)
