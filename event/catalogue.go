package event

import "github.com/apex/log"

// Daemon events, 100 to 199.
var (
	Started             = define(100, log.InfoLevel, "daemon", "started", "The instance runs; it serves callers once event 302 or, with the platform's protocol, event 313 has been logged.")
	Stopping            = define(101, log.InfoLevel, "daemon", "stopping", "A signal asked the instance to shut down; it finishes the requests in flight.")
	Stopped             = define(102, log.InfoLevel, "daemon", "stopped", "The instance shut down with no request in flight.")
	ForcedStop          = define(103, log.WarnLevel, "daemon", "forced stop", "The drain limit expired or a second signal arrived; the field inflight gives the number of requests or, with the platform's protocol, sessions that were cut off.")
	CertificateLoaded   = define(105, log.InfoLevel, "certificate", "certificate reloaded", "A new certificate was read from its file and is presented from now on.")
	CertificateFailed   = define(106, log.ErrorLevel, "certificate", "certificate reload failed", "A certificate, key or authority file is missing, invalid or expired; the last valid one stays in use. Correct the file.")
	TrafficCounted      = define(114, log.InfoLevel, "daemon", "traffic counted", "What the instance exchanged since its start on the connections that it opened; flows lists for each purpose and distance (domain, region, far) the number of frames, rows or connections and the bytes.")
	LinesDropped        = define(110, log.WarnLevel, "daemon", "log lines dropped", "More lines were written than the limit allows, or the output blocked; the field count gives the number of dropped lines.")
	SettingsReloaded    = define(108, log.InfoLevel, "daemon", "settings reloaded", "The settings file was read and is valid: the keys listed under taken are in effect, those under waiting need a restart.")
	SettingsFailed      = define(109, log.ErrorLevel, "daemon", "settings invalid", "The changed settings file can't be read or has errors; the instance continues with its current settings, but a restart would fail. Correct the file.")
	DependencyLost      = define(111, log.WarnLevel, "daemon", "dependency lost", "The dependency in the field name has stopped answering; error gives the cause.")
	DependencyRecovered = define(112, log.InfoLevel, "daemon", "dependency recovered", "The dependency in the field name answers again; after gives the length of the outage.")
	PanicContained      = define(113, log.ErrorLevel, "daemon", "panic contained", "A goroutine that serves one caller or peer failed by a programming error; only that connection ended. Report the cause and the stack; further ones of the same task are counted by siskincove_panics_total and logged once a minute.")
	Ready               = define(104, log.InfoLevel, "daemon", "ready", "The readiness endpoint now reports success.")
)

// Caller and request events, 200 to 299.
var (
	CallerConnected       = define(200, log.DebugLevel, "entry", "caller connected", "A caller was authenticated.")
	CallerRefused         = define(201, log.WarnLevel, "entry", "caller refused", "Startup or authentication failed; the field reason gives the cause.")
	CallerDisconnected    = define(202, log.DebugLevel, "entry", "caller disconnected", "A caller's connection ended.")
	RequestRefused        = define(203, log.WarnLevel, "entry", "request refused", "The proxy answered a request with an error of its own; verdict and reason are what the caller was told.")
	RequestRetried        = define(204, log.InfoLevel, "entry", "request retried", "A request that had not run was sent again, to the same or another endpoint.")
	ProtocolViolated      = define(205, log.WarnLevel, "entry", "protocol violation", "A caller sent a message that the protocol does not allow; its connection was closed.")
	RequestServed         = define(207, log.InfoLevel, "dispatch", "request served", "A statement was answered; tries counts the endpoints asked, after is the log position that the endpoint had to have reached; late is set if the answer came after the target latency of the route.")
	StatementFailed       = define(208, log.WarnLevel, "dispatch", "statement failed at an endpoint", "An endpoint did not serve a statement; why gives the reason and the next line with the same request shows what followed.")
	TransactionRolledBack = define(209, log.WarnLevel, "dispatch", "transaction rolled back", "A transaction was rolled back before its commit was sent; why gives the reason.")
	SessionWithdrawn      = define(215, log.InfoLevel, "caller", "session ended", "The key of the session's caller was withdrawn; an open transaction was rolled back and nothing of the session is kept.")
	SessionsClosing       = define(210, log.InfoLevel, "caller", "closing sessions", "The instance is shutting down and closes idle sessions; count gives the number of sessions still open.")
	TokenRejected         = define(206, log.WarnLevel, "entry", "token rejected", "A caller's session token was not issued by this deployment or not for this caller; a barrier is used instead.")
)

// Routing events, 300 to 399.
var (
	EndpointChosen      = define(300, log.InfoLevel, "route", "endpoint chosen", "A request was sent to this endpoint; why gives the routing rule.")
	NoEndpointAvailable = define(301, log.WarnLevel, "route", "no endpoint available", "No endpoint could serve the request at that moment.")
	RevisionApplied     = define(302, log.InfoLevel, "config", "revision applied", "The instance serves this revision from now on.")
	RevisionReadFailed  = define(303, log.WarnLevel, "config", "revision not read", "The head or the objects could not be read; the instance keeps the current revision and retries.")
	RevisionFromPeer    = define(304, log.InfoLevel, "config", "revision read from a peer", "The store did not answer, or a peer had a newer revision first.")
	BarrierTaken        = define(305, log.DebugLevel, "session", "barrier taken", "A session without a token reads at or past this position.")
	BarrierFailed       = define(306, log.WarnLevel, "session", "barrier not taken", "No majority of the group's endpoints answered; the session's reads are refused for now.")
)

// Directory events, 310 to 329.
var (
	PrimaryChanged       = define(310, log.InfoLevel, "database", "primary changed", "This instance now treats another endpoint, or none, as the primary; why is proof, peer (a peer's proof), hint (a peer's report without an exact time), claim or denial.")
	EndpointsChanged     = define(311, log.InfoLevel, "directory", "endpoints changed", "The registered endpoints of this version are in use; from tells whether the store or a peer supplied them.")
	EntryUnreadable      = define(312, log.WarnLevel, "directory", "entry not readable", "Another writer left an entry among those of the endpoints, or an endpoint overwrote its own, with fields missing, of another type or out of range; error names the field. The entry is not used: it is no endpoint, and an endpoint that was registered under its name counts as no longer listed. The other entries stay in use. Each value is logged once, at most 20 in a minute; dropped counts the lines left out since the last one, and siskincove_entries_refused_total all.")
	ConfigurationApplied = define(313, log.InfoLevel, "directory", "configuration applied", "The operator's configuration of this version is in use; from tells whether the store or a peer supplied it.")
	EndpointMissing      = define(314, log.InfoLevel, "directory", "endpoint missing", "A registered endpoint is no longer listed; while it answers, it stays in use for a few seconds.")
	EndpointRemoved      = define(315, log.InfoLevel, "directory", "endpoint removed", "An endpoint left, or stayed missing, and is no longer used.")
	DirectoryReceived    = define(317, log.InfoLevel, "directory", "directory received", "A peer supplied a newer configuration or endpoints; bytes and took are the size and duration of the transfer.")
	DirectoryFailed      = define(318, log.WarnLevel, "directory", "directory not received", "A peer announced a newer configuration or endpoints but did not supply them; took is how long it was waited for. The next heartbeat of any peer that has them leads to another request. If the pieces of a value gave another one, it is asked for whole at once.")
	ProofLost            = define(325, log.WarnLevel, "freshness", "no proof of the newest configuration", "Statements whose callers present keys are refused, as their keys may have been withdrawn: neither the store nor a peer has confirmed recently enough that the configuration of this version is the newest. age is that of the last proof; isolated is set if peers do not answer either, so that others may have a proof; idle sessions are then asked to reconnect.")
	ProofRegained        = define(326, log.InfoLevel, "freshness", "newest configuration proven again", "Statements with keys are served again; age is the time since the configuration was known to be the newest.")
	StoreRestored        = define(316, log.WarnLevel, "directory", "store restored from a copy", "The store lost what was written in its last seconds; era counts the restores. The instance registers itself again if its row is missing.")
	WorkspaceRefused     = define(321, log.ErrorLevel, "directory", "workspace refused", "A workspace of the operator's configuration is malformed and was left out, or a key is listed by two workspaces and belongs to neither; cause tells which. The rest of the configuration is in use. Correct the configuration.")
)

// Events of reading the store, 330 to 339.
var (
	StoreCallFailed  = define(330, log.WarnLevel, "directory", "call to the store failed", "A read of the store that name tells failed or was given up after the time took; held is how long the store was allowed to wait for changes, silence the time since it last answered such a read, 0s if it has not.")
	ReadingBegun     = define(331, log.InfoLevel, "directory", "reading of the store begun", "This instance reads what name tells from the store for its failure domain from now on; why is rank or request (of an instance that the store does not answer).")
	ReadingRequested = define(333, log.WarnLevel, "directory", "other instance asked to read the store", "The store does not answer this instance's reads of what name tells, so the instance in the field instance is asked to make them for the failure domain; without one, none of those asked is answered either.")
	ReadThroughPeer  = define(334, log.WarnLevel, "directory", "endpoints read through another instance", "The store does not answer this instance, so a due succession relies on the endpoints that the instance in the field instance has read for it; took is how long that took, error why the store could not be read.")
	ReadingEnded     = define(332, log.InfoLevel, "directory", "reading of the store ended", "Another instance of the failure domain reads what name tells from the store from now on; took is how long this one did.")
)

// Endpoint events, 400 to 499.
var (
	EndpointOwned        = define(400, log.InfoLevel, "pool", "endpoint owned", "This instance now opens the connections to the endpoint.")
	EndpointReleased     = define(401, log.InfoLevel, "pool", "endpoint released", "This instance no longer owns the endpoint; its transactions there have ended and its connections are closed.")
	ConnectionOpened     = define(402, log.DebugLevel, "pool", "connection opened", "A connection to the endpoint was opened.")
	ConnectionFailed     = define(403, log.WarnLevel, "pool", "connection failed", "The endpoint refused a connection or did not answer in time.")
	ConnectionDropped    = define(404, log.InfoLevel, "pool", "connection dropped", "A connection was closed rather than reused because its state was uncertain.")
	RoleChanged          = define(405, log.InfoLevel, "pool", "role changed", "The endpoint reports another role or term.")
	EndpointUnresponsive = define(406, log.WarnLevel, "pool", "endpoint unresponsive", "The endpoint stopped answering status requests.")
	CommitUnconfirmed    = define(407, log.WarnLevel, "pool", "commit not confirmed", "A majority did not confirm a commit in time; the caller was told that it may have run.")
	EndpointDraining     = define(408, log.InfoLevel, "pool", "endpoint leaving", "The endpoint is marked as leaving and gets no new work.")
	ConnectionsAllocated = define(411, log.InfoLevel, "connection", "connections allocated", "This instance may have at most limit connections to the endpoint; with borrows set, limit bounds the connections borrowed from the holders.")
	HolderUnreachable    = define(412, log.WarnLevel, "connection", "holder not reached", "An instance that lends connections to the endpoint did not answer; the next holder is tried, and finally the endpoint itself.")
	LoanRefused          = define(413, log.InfoLevel, "connection", "loan refused", "This holder had no free connection for a borrower's statement in time, or has none at all; the borrower informs its caller.")
	EndpointFull         = define(414, log.InfoLevel, "connection", "endpoint at capacity", "The endpoint refused a statement or did not start it in time; window is the number of statements that this instance may have in flight there now.")
	ConnectionEvicted    = define(418, log.InfoLevel, "connection", "connection evicted", "The pool was at its limit of connections to the endpoint and closed an idle one of a workspace, unused for the time idle, to open one for another; evictions counts those since the last such line of this pool. Lines with a short idle mean that workspaces compete for too few connections.")
	ProxyStatementFailed = define(420, log.WarnLevel, "connection", "proxy statement failed", "The endpoint failed a statement that this instance sent for itself, such as SET, RESET, PREPARE or ROLLBACK, or did not know a prepared statement (kind execute). request is the caller's statement beside it; unsent is the number of statements after it that were therefore not sent.")
	PoolNotStarted       = define(415, log.ErrorLevel, "pool", "pool not started", "This instance owns the endpoint but can't connect to it, for example because TLS is required and no authority is set; error gives the cause.")
	DetourTaken          = define(410, log.InfoLevel, "connection", "endpoint reached through a peer", "The endpoint can't be reached directly; a connection to it was made through another instance.")
	OwnerRefused         = define(409, log.InfoLevel, "pool", "request refused by the owner", "The owner refused a request before it ran; reason gives the cause.")
)

// Failover events, 500 to 599.
var (
	PrimaryLost        = define(500, log.WarnLevel, "failover", "primary lost", "The coordinator has no working primary for the database and starts a ballot; why gives the evidence.")
	BallotStarted      = define(501, log.InfoLevel, "failover", "ballot started", "A majority of the endpoints is asked to promise the term.")
	BallotPromoting    = define(502, log.InfoLevel, "failover", "endpoint promoted", "The endpoint with the highest log position among the majority that promised the term becomes primary.")
	BallotDone         = define(503, log.InfoLevel, "failover", "ballot done", "The new primary accepts writes and the other endpoints follow it.")
	BallotFailed       = define(504, log.WarnLevel, "failover", "ballot failed", "The ballot ended without a primary; it is retried under a higher term.")
	TermReserved       = define(505, log.InfoLevel, "failover", "term reserved", "A unique term was reserved in the store ahead of need.")
	TermMissing        = define(506, log.WarnLevel, "failover", "no term reserved", "The store does not answer and no reserved term is high enough; failover waits or is left to the next coordinator.")
	FollowerRedirected = define(507, log.InfoLevel, "failover", "endpoint told to follow", "An endpoint that followed no primary was told to follow the current one.")
)

// Succession events, 520 to 559.
var (
	PrimarySuspected   = define(520, log.WarnLevel, "succession", "primary suspected", "The coordinator queries every endpoint of the group; why gives the evidence.")
	SuccessionStarted  = define(521, log.WarnLevel, "succession", "succession started", "The primary is considered lost and the replicas stop receiving from it, so that no further commit can be acknowledged. counted gives the endpoints whose logs count and where they end, omitted those without an answer, departed those no longer registered; acceptloss is set once no endpoint has been found for long that has every acknowledged commit; endpointsage is the age of the last read of the endpoints, and unread why the latest one failed.")
	PromotionRequested = define(522, log.WarnLevel, "succession", "promotion requested", "The platform is asked to promote the endpoint whose log holds every acknowledged commit; logs gives the ends of the held logs, end where the log of a demoted primary ended, and acknowledged the highest position that instances are known to have passed on as acknowledged.")
	PromotionRefused   = define(523, log.WarnLevel, "succession", "promotion refused", "The platform refused the request, which has no effect; another attempt starts with a higher fencing token.")
	PromotionUnknown   = define(524, log.WarnLevel, "succession", "promotion result unknown", "The request may still take effect; it is repeated unchanged until the endpoint leads or the platform refuses it.")
	SuccessionDone     = define(525, log.InfoLevel, "succession", "succession done", "The promoted endpoint leads; took gives the time since the succession started, watched what each other endpoint answered last and how often its hold had ended or it led.")
	SuccessionStopped  = define(526, log.WarnLevel, "succession", "succession stopped", "The succession ended without a promotion and its holds are released; why gives the reason.")
	HoldReleased       = define(527, log.InfoLevel, "succession", "hold released", "A replica that was held unnecessarily resumes receiving.")
	FenceReserved      = define(528, log.InfoLevel, "succession", "fencing token reserved", "A unique fencing token was reserved in the store ahead of need.")
	DepartureSettled   = define(530, log.InfoLevel, "succession", "departure settled", "Every commit on the endpoints that left is also on a registered replica.")
	SuccessionBlocked  = define(531, log.WarnLevel, "succession", "succession blocked", "The primary should be replaced but can't be; why gives the obstacle, evidence what speaks against the primary and since for how long.")
	FenceMissing       = define(529, log.WarnLevel, "succession", "no fencing token", "No fencing token is reserved and the store supplies none; another coordinator has to act.")
	PromotionsInvalid  = define(532, log.InfoLevel, "succession", "promotions invalidated", "The platform accepted a request for the endpoint that leads already, under a new token, and refuses those of abandoned successions from then on; holds gives the holds that are released once no promotion accepted before can take effect.")
	InvalidationEnded  = define(533, log.InfoLevel, "succession", "invalidation ended", "outcome tells whether it has settled, so that the holds are released, or the primary has changed, so that another one may follow; since gives the time since its acceptance.")
	MembersStored      = define(540, log.InfoLevel, "succession", "members stored", "The list of the endpoints that may hold acknowledged commits was written to the store, where coordinators find it after a restart.")
	MembersFailed      = define(541, log.WarnLevel, "succession", "members not stored", "The list of the endpoints that may hold acknowledged commits could not be read, written or decoded; it is tried again.")
	MembersDeparted    = define(542, log.WarnLevel, "succession", "listed endpoints departed", "Endpoints that may hold acknowledged commits are listed in the store but not registered; they count as departed.")
	HoldEnded          = define(550, log.WarnLevel, "succession", "hold ended during a promotion", "A replica that was held for an outstanding promotion is no longer held; logs gives the ends of the held logs at the request, log its own end now, since the time since the request, age that of the answer, and found what was seen.")
	OldPrimaryLeads    = define(551, log.WarnLevel, "succession", "former primary leads during a promotion", "The primary to be replaced answers as primary while the promotion of another endpoint is outstanding; fields as for 550.")
)

// Membership events, 600 to 699.
var (
	MemberAlive      = define(600, log.InfoLevel, "member", "instance alive", "An instance answers heartbeats.")
	MemberDead       = define(601, log.WarnLevel, "member", "instance dead", "An instance has missed its heartbeats; its endpoints are reassigned.")
	MemberLeaving    = define(602, log.InfoLevel, "member", "instance leaving", "An instance announced that it is shutting down; its endpoints are reassigned.")
	RosterFailed     = define(603, log.WarnLevel, "member", "list of instances not read", "The list of instances in the store, or an entry of it, could not be read or changed; heartbeats continue among the known instances.")
	PeerRefused      = define(604, log.WarnLevel, "peer", "peer refused", "A connection between instances failed or was refused.")
	HeartbeatLate    = define(606, log.WarnLevel, "member", "heartbeat answered late", "This instance took longer to answer a peer's heartbeat than the peer waits, so that the peer may take it for dead; took is the time.")
	PlacementChanged = define(605, log.InfoLevel, "member", "placement changed", "Another instance owns the endpoint from now on.")
)

// Allotment events, 620 to 629.
var (
	AccountOpened = define(620, log.InfoLevel, "allotment", "account opened", "This instance keeps an account of the workspace from now on: it grants rate operations per second, and up to capacity at once.")
	AccountClosed = define(621, log.InfoLevel, "allotment", "account closed", "Another instance ranks higher for the account of the workspace; this one grants no more of its operations.")
	AccountSilent = define(622, log.WarnLevel, "allotment", "account silent", "The instance at this address, which keeps an account of the workspace, did not answer; for a second operations are drawn from the others.")
)
