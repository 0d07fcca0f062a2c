package eventlog

import "github.com/rs/zerolog"

// Events of the process.
var (
	Started = define(Event{Number: 101, Name: "started", Level: zerolog.InfoLevel,
		Text: "the node started"})
	Listening = define(Event{Number: 102, Name: "listening", Level: zerolog.InfoLevel,
		Text: "the node listens on an address"})
	ListenFailed = define(Event{Number: 103, Name: "listen_failed", Level: zerolog.ErrorLevel,
		Text:   "the node cannot listen on an address and exits",
		Remedy: "free the address, or change the address in the setting of this listener"})
	Stopping = define(Event{Number: 104, Name: "stopping", Level: zerolog.InfoLevel,
		Text: "a graceful shutdown began; the node reports not ready, lets running requests finish and moves its slices to other nodes"})
	Stopped = define(Event{Number: 105, Name: "stopped", Level: zerolog.InfoLevel,
		Text: "the node stopped and runs no more requests"})
	ShutdownTimedOut = define(Event{Number: 106, Name: "shutdown_timed_out", Level: zerolog.ErrorLevel,
		Text:   "the shutdown timeout expired while slices were still owned or requests still running; these requests were answered as not run where that is certain, otherwise with an unknown outcome",
		Remedy: "check that other nodes of the service have capacity; if requests need more time, raise --shutdown-timeout or shutdown_s"})
	QueueFull = define(Event{Number: 107, Name: "queue_full", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "the queue of a worker pool was full and a job was rejected; if the job was a request, it did not run",
		Remedy: "check the metrics of this pool for a slow backend server, node or platform log; if none is slow, raise the workers or the queue of the pool"})
	EventsSuppressed = define(Event{Number: 108, Name: "events_suppressed", Level: zerolog.WarnLevel,
		Text:   "the rate limit of an event suppressed some of its log lines; the fields name the event and the number of lines",
		Remedy: "read the complete counts from the metrics"})
	CloseFailed = define(Event{Number: 109, Name: "close_failed", Level: zerolog.WarnLevel,
		Text:   "closing a socket or an exporter failed during shutdown; the last trace spans may be missing",
		Remedy: "check that the trace output can be written"})
	SettingsReloaded = define(Event{Number: 110, Name: "settings_reloaded", Level: zerolog.InfoLevel,
		Text: "the settings file changed; the settings that do not need a restart are in force"})
	SettingsRefused = define(Event{Number: 111, Name: "settings_refused", Level: zerolog.ErrorLevel,
		Text:   "the changed settings file cannot be read or is invalid; the previous settings stay in force",
		Remedy: "correct the settings file; the node reads it again without a restart"})
	SettingsNeedRestart = define(Event{Number: 112, Name: "settings_need_restart", Level: zerolog.WarnLevel,
		Text:   "the settings file changes settings that a running node cannot apply; their previous values stay in force until a restart",
		Remedy: "restart the node to apply the changed settings"})
)

// Events of the platform log and the replay of its records.
var (
	LogUnreachable = define(Event{Number: 201, Name: "log_unreachable", Level: zerolog.WarnLevel,
		Text:   "the platform log does not answer; owners keep serving, but joins, slice moves and configuration changes wait",
		Remedy: "check that the platform log is running and that this node can reach it"})
	LogReachable = define(Event{Number: 202, Name: "log_reachable", Level: zerolog.InfoLevel,
		Text: "the platform log answers again"})
	AppendUnknown = define(Event{Number: 203, Name: "append_unknown", Level: zerolog.WarnLevel,
		Text: "an append to the platform log got no reply; the node repeats it until it reads the outcome from the log"})
	RecordRejected = define(Event{Number: 204, Name: "record_rejected", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "a log record of this node had no effect, because a conflicting record came first or its base version was outdated"})
	RecordMalformed = define(Event{Number: 205, Name: "record_malformed", Level: zerolog.ErrorLevel, PerSecond: peerRate,
		Text:   "a record of the platform log cannot be decoded; this node skipped it",
		Remedy: "find and stop the writer of the record at this offset; only heatherreel may append to this log stream"})
	RecordKindUnknown = define(Event{Number: 206, Name: "record_kind_unknown", Level: zerolog.WarnLevel,
		PerSecond: peerRate,
		Text:      "a log record has a kind that this version does not know; this node skipped it",
		Remedy:    "upgrade this node to the version of the newest node"})
	BehindRetention = define(Event{Number: 207, Name: "behind_retention", Level: zerolog.WarnLevel,
		Text:   "the platform log has deleted the next record that this node needs; the node restores its state from a checkpoint or from another node",
		Remedy: "if this repeats, raise the retention of the platform log"})
	CheckpointWritten = define(Event{Number: 208, Name: "checkpoint_written", Level: zerolog.InfoLevel,
		Text: "the node appended a checkpoint of its replayed state to the platform log"})
	SnapshotLoaded = define(Event{Number: 209, Name: "snapshot_loaded", Level: zerolog.InfoLevel,
		Text: "the node loaded the replayed state from a checkpoint or from another node"})
)

// Events of leases and membership.
var (
	Joined = define(Event{Number: 301, Name: "joined", Level: zerolog.InfoLevel,
		Text: "the node joined the fleet as a new incarnation"})
	JoinRejected = define(Event{Number: 302, Name: "join_rejected", Level: zerolog.WarnLevel,
		Text:   "the node could not join the fleet and owns no slice; it retries with newly chosen witnesses",
		Remedy: "if this repeats, check that the data centre and region of this node match the configuration"})
	EndedByOthers = define(Event{Number: 303, Name: "ended_by_others", Level: zerolog.WarnLevel,
		Text:   "other nodes, or the configuration, ended this incarnation; the node stopped serving its slices and joins again",
		Remedy: "check this instance for a pause or a network fault at this time"})
	Left = define(Event{Number: 304, Name: "left", Level: zerolog.InfoLevel,
		Text: "the node left the fleet and owns no slice"})
	LeaseGained = define(Event{Number: 305, Name: "lease_gained", Level: zerolog.InfoLevel,
		Text: "a majority of the witnesses, each with a valid first-level lease of its own, renewed the lease; the node may serve its slices"})
	LeaseLost = define(Event{Number: 306, Name: "lease_lost", Level: zerolog.WarnLevel,
		Text:   "the lease expired; the node serves no slice until a majority of its witnesses answers again",
		Remedy: "check the network between this node and its witnesses"})
	WitnessSetChanged = define(Event{Number: 307, Name: "witness_set_changed", Level: zerolog.InfoLevel,
		Text: "a new witness set of this node took effect"})
	ClaimStarted = define(Event{Number: 308, Name: "claim_started", Level: zerolog.WarnLevel,
		Text: "another node stopped renewing its lease; this node started a claim and asks that node's witnesses for promises"})
	ClaimAbandoned = define(Event{Number: 309, Name: "claim_abandoned", Level: zerolog.InfoLevel,
		Text: "a claim ended without effect: no majority of the witnesses promised, or another claimant was first"})
	NodeEnded = define(Event{Number: 310, Name: "node_ended", Level: zerolog.WarnLevel,
		Text:   "a claim of this node ended another node's incarnation; its slices have new owners",
		Remedy: "check the instance of the node in the field peer"})
)

// Events of assignments and moves.
var (
	SlicesAssigned = define(Event{Number: 401, Name: "slices_assigned", Level: zerolog.InfoLevel,
		Text: "a plan of this node assigned unowned slices of a group to owners"})
	SlicesMoved = define(Event{Number: 402, Name: "slices_moved", Level: zerolog.InfoLevel,
		Text: "a plan of this node moved slices of a group from one node to another"})
	SliceReleased = define(Event{Number: 403, Name: "slice_released", Level: zerolog.DebugLevel,
		Text: "this node released a slice to its new owner and runs no more requests for it"})
	SliceSettled = define(Event{Number: 404, Name: "slice_settled", Level: zerolog.DebugLevel,
		Text: "all previous owners of a slice have released it or ended; this node is its only owner and serves it"})
	FailoverPlanned = define(Event{Number: 405, Name: "failover_planned", Level: zerolog.InfoLevel,
		Text: "this node chose new owners for the slices of a lost node"})
	PlanRejected = define(Event{Number: 406, Name: "plan_rejected", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "a plan of this node was rejected, because it started from an outdated version of its group; the next plan starts from the current version"})
	ReleaseUnanswered = define(Event{Number: 407, Name: "release_unanswered", Level: zerolog.WarnLevel,
		PerSecond: peerRate,
		Text:      "another node did not answer a request to release slices or to confirm its configuration; requests for the slices concerned wait",
		Remedy:    "check the node in the field peer and the network to it"})
)

// Events of requests. All are limited, because callers cause them.
var (
	OutcomeUnknown = define(Event{Number: 501, Name: "outcome_unknown", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "a request was answered \"outcome unknown\"; it may or may not have run",
		Remedy: "look up the field reason in docs/metrics.md, and check the backend server or node that it concerns at this time"})
	RequestsRefused = define(Event{Number: 502, Name: "requests_refused", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "a request was refused and did not run",
		Remedy: "look up the field reason in docs/metrics.md; the metric heatherreel_requests_total counts every refusal"})
)

// Events of the backend server of the node.
var (
	BackendAnnounced = define(Event{Number: 601, Name: "backend_announced", Level: zerolog.InfoLevel,
		Text: "the backend server of this node announced itself"})
	BackendSilent = define(Event{Number: 602, Name: "backend_silent", Level: zerolog.WarnLevel,
		Text:   "the backend server stopped sending announcements; its slices move to other nodes",
		Remedy: "check the backend server on this instance"})
	BackendDraining = define(Event{Number: 603, Name: "backend_draining", Level: zerolog.InfoLevel,
		Text: "the backend server announced that it is draining; its slices move to other nodes"})
	BackendRestarted = define(Event{Number: 604, Name: "backend_restarted", Level: zerolog.WarnLevel,
		Text: "the backend server restarted: it announced a new incarnation"})
	BackendRefusedFence = define(Event{Number: 605, Name: "backend_refused_fence", Level: zerolog.WarnLevel,
		PerSecond: bulkRate,
		Text:      "the backend server refused a request, because it knows a later fence than that of the request; the request did not run",
		Remedy:    "if this repeats on a node that holds its lease, check whether two fleets use the same backend server"})
	AnnouncementRefused = define(Event{Number: 606, Name: "announcement_refused", Level: zerolog.WarnLevel,
		PerSecond: bulkRate,
		Text:      "an announcement of the backend server is invalid or names a service that the configuration does not contain; the node ignored it",
		Remedy:    "correct the announcement of the backend server, or publish a configuration that contains its service"})
	BackendLimitLowered = define(Event{Number: 607, Name: "backend_limit_lowered", Level: zerolog.InfoLevel,
		PerSecond: bulkRate,
		Text:      "the backend server became slow or shed load; the node lowered the number of concurrent requests to it",
		Remedy:    "if this repeats, check this instance for a cold cache, a noisy neighbour or an overload"})
	BackendDrainUnanswered = define(Event{Number: 614, Name: "backend_drain_unanswered", Level: zerolog.WarnLevel,
		Text:   "the backend server did not confirm that this node stops; the node goes on stopping and sends it no more requests",
		Remedy: "check the backend server on this instance"})
)

// Events of the configuration.
var (
	ConfigurationInForce = define(Event{Number: 701, Name: "configuration_in_force", Level: zerolog.InfoLevel,
		Text: "a configuration revision took effect on this node"})
	ConfigurationNotDecodable = define(Event{Number: 702, Name: "configuration_not_decodable",
		Level:  zerolog.ErrorLevel,
		Text:   "this node cannot decode a configuration revision; the previous revision stays in force on this node",
		Remedy: "run heatherreelctl validate on the revision; then upgrade the node to the newest version, or publish a corrected revision"})
	ConfigurationMayBeOutdated = define(Event{Number: 703, Name: "configuration_may_be_outdated",
		Level:  zerolog.WarnLevel,
		Text:   "the platform log has records that this node has not read; a newer configuration may be in force on other nodes",
		Remedy: "check the network between this node and the platform log"})
)

// Events of other nodes.
var (
	PeerConnectionFailed = define(Event{Number: 801, Name: "peer_connection_failed", Level: zerolog.WarnLevel,
		PerSecond: peerRate,
		Text:      "a connection to another node failed, became silent or exceeded a deadline, and was closed",
		Remedy:    "check the other node and the network to it"})
	DatagramMalformed = define(Event{Number: 802, Name: "datagram_malformed", Level: zerolog.WarnLevel,
		PerSecond: bulkRate,
		Text:      "a datagram on the lease address cannot be decoded and was dropped",
		Remedy:    "find the sender in the field address; only nodes of this fleet may send to the lease address"})
)

// Events of the platform store and the records that a gateway reads from it.
var (
	StoreLost = define(Event{Number: 211, Name: "store_lost", Level: zerolog.WarnLevel, PerSecond: peerRate,
		Text:   "the platform store does not answer reads of a topic; the node continues with the last records that it read",
		Remedy: "check that the platform store is running and that this node can reach it"})
	StoreRegained = define(Event{Number: 212, Name: "store_regained", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "the platform store answers reads of a topic again"})
	MemberRecordRefused = define(Event{Number: 213, Name: "member_record_refused", Level: zerolog.WarnLevel, PerSecond: peerRate,
		Text:   "the member record of an instance is invalid; this node ignored it",
		Remedy: "find and stop the writer of the record; only heatherreel may write to its topics in the store"})
	RangesRecordRefused = define(Event{Number: 214, Name: "ranges_record_refused", Level: zerolog.ErrorLevel, PerSecond: peerRate,
		Text:   "the key ownership record of a service is invalid; the previous record stays in force on this node",
		Remedy: "find and stop the writer of the record; only heatherreel may write to its topics in the store"})
	AnnouncementFailed = define(Event{Number: 215, Name: "announcement_failed", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "this node could not write its own member record; other nodes may use the previous one until a retry succeeds",
		Remedy: "check that the platform store is running and that this node can reach it"})
	StoreRelayed = define(Event{Number: 216, Name: "store_relayed", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "this node cannot reach the platform store and accesses it through other nodes",
		Remedy: "check that the platform store is running and that this node can reach it"})
	StoreDirect = define(Event{Number: 217, Name: "store_direct", Level: zerolog.InfoLevel, PerSecond: bulkRate,
		Text: "this node reaches the platform store directly again"})
	PredecessorRemoved = define(Event{Number: 218, Name: "predecessor_removed", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "this node removed the member record of an earlier instance with the same address; the keys of that instance get other owners"})
	PredecessorKept = define(Event{Number: 219, Name: "predecessor_kept", Level: zerolog.InfoLevel, PerSecond: bulkRate,
		Text: "this node could not remove the member record of an earlier instance with the same address yet; it retries"})
	StoreCallEnded = define(Event{Number: 220, Name: "store_call_ended", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "a call of the platform store ended without its complete answer; the field ended states how, and received_bytes how much of the answer had arrived and was discarded"})
	TopicFollowed = define(Event{Number: 221, Name: "topic_followed", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "this node now reads a topic of the platform store through the node in the field peer_instance, which reads it from the store"})
	TopicReadDirectly = define(Event{Number: 222, Name: "topic_read_directly", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "this node now reads a topic from the platform store itself: it is one of the nodes of its region that do so, or it can use none of them"})
	FeedFailed = define(Event{Number: 223, Name: "feed_failed", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text:   "the node in the field peer_instance, through which this node reads a topic, did not answer or does not read the topic from the platform store; this node reads the topic from the store and then uses another node for a while",
		Remedy: "if this repeats for one node, check that node and its connection to the platform store"})
	OperatorRecordsRead = define(Event{Number: 224, Name: "operator_records_read", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "a read of the operators' topic returned records; peer_instance is the node through which it was read, empty for the store, and again is 1 after a read that failed or was interrupted"})
)

// Events of the ownership of keys.
var (
	RangesWritten = define(Event{Number: 411, Name: "ranges_written", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "this node wrote a change of the key ownership of its service"})
	RangesNotWritten = define(Event{Number: 412, Name: "ranges_not_written", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "this node could not write a change of the key ownership, or does not know yet whether the write took effect",
		Remedy: "check that the platform store is running and that this node can reach it"})
	GrantWithheld = define(Event{Number: 413, Name: "grant_withheld", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "this node has not read the key ownership for too long and renews no grant; its backend server serves no keys after the grant expires",
		Remedy: "check that the platform store is running and that this node can reach it"})
	OwnerSuspected = define(Event{Number: 414, Name: "owner_suspected", Level: zerolog.WarnLevel, PerSecond: peerRate,
		Text:   "an instance that owns keys does not answer probes; its keys get other owners unless it refutes the suspicion in time",
		Remedy: "check the instance in the field peer_instance and the network to it"})
	KeysClaimed = define(Event{Number: 415, Name: "keys_claimed", Level: zerolog.WarnLevel, PerSecond: peerRate,
		Text:   "an instance did not refute the suspicion against it in time, or its member record was removed; its keys get other owners",
		Remedy: "check the instance in the field from_instance"})
	KeysOffloaded = define(Event{Number: 416, Name: "keys_offloaded", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "the backend server of this node is busier than that of another instance; a range of its keys moves there"})
	KeysVacated = define(Event{Number: 417, Name: "keys_vacated", Level: zerolog.WarnLevel, PerSecond: peerRate,
		Text:   "the backend server of this node ended or stopped sending heartbeats; its keys get other owners",
		Remedy: "check the backend server on this instance"})
	KeyCallFailed = define(Event{Number: 418, Name: "key_call_failed", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "a call that grants or releases keys was not sent, got no answer, or was refused since the backend server has seen a higher fence; the node calls again, and keys that the call may have granted move only after that grant has expired",
		Remedy: "if this repeats, check the backend server on this instance"})
	KeysReleased = define(Event{Number: 419, Name: "keys_released", Level: zerolog.InfoLevel, PerSecond: bulkRate,
		Text: "the backend server of this node has released keys that move to another instance"})
	RangesSettled = define(Event{Number: 420, Name: "ranges_settled", Level: zerolog.InfoLevel,
		Text: "this process wrote a record after its start, so that no write of the process before it can change the key ownership any more; it may grant keys now"})
)

// decisionRate limits each event that records what was decided on a request, in events per second. Under overload,
// hundreds of requests per second are refused, and writing a line takes about 10 microseconds.
const decisionRate = 40

// Events of routed requests. All are limited, because callers cause them.
var (
	RequestServed = define(Event{Number: 511, Name: "request_served", Level: zerolog.InfoLevel, PerSecond: decisionRate,
		Text: "a routed request was answered by a backend server"})
	RequestFailed = define(Event{Number: 512, Name: "request_failed", Level: zerolog.WarnLevel, PerSecond: decisionRate,
		Text:   "a routed request got no answer from a backend server; the field outcome tells whether it may have run",
		Remedy: "search for the request id in the log of the instance in the field chosen"})
	RequestNotAdmitted = define(Event{Number: 513, Name: "request_not_admitted", Level: zerolog.InfoLevel, PerSecond: decisionRate,
		Text: "this node did not admit a request to its backend server; the request did not run"})
	ExchangeFailed = define(Event{Number: 514, Name: "exchange_failed", Level: zerolog.WarnLevel, PerSecond: decisionRate,
		Text:   "the backend server gave no usable answer to a request; the field outcome tells whether the request may have run",
		Remedy: "check the backend server on this instance"})
	NodeCallFailed = define(Event{Number: 515, Name: "node_call_failed", Level: zerolog.WarnLevel, PerSecond: decisionRate,
		Text:   "a call to another node for a request failed; the field peer_state states whether that node answers on a new connection",
		Remedy: "check the instance in the field peer_instance and the network to it"})
	NodeSilent = define(Event{Number: 517, Name: "node_silent", Level: zerolog.InfoLevel, PerSecond: decisionRate,
		Text: "a node is silent during a call for a request; its answer is awaited, and the request is sent again as well if the retry budget and the state of other nodes allow that"})
)

// Events of tenants.
var (
	ConfigurationStale = define(Event{Number: 520, Name: "configuration_stale", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "the node cannot prove any more that its configuration is recent enough to decide on an API key; it refuses requests that need a key until it has read the operators' records again",
		Remedy: "check the platform's store and the path from this node to it"})
	ConfigurationProved = define(Event{Number: 521, Name: "configuration_proved", Level: zerolog.InfoLevel, PerSecond: bulkRate,
		Text: "the node has read the operators' records again and decides on API keys"})
	LoanCallFailed = define(Event{Number: 525, Name: "loan_call_failed", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "a call for loans of tenants' quotas failed; only the even shares of these tenants apply at this node meanwhile",
		Remedy: "check the instance in the field peer_instance and the network to it"})
)

// Events of overload.
var (
	CallsRecognized = define(Event{Number: 555, Name: "calls_recognized", Level: zerolog.InfoLevel, PerSecond: bulkRate,
		Text: "requests of the route arrive only while the backend server of this node executes others; they are treated as calls from now on"})
	ServerShedding = define(Event{Number: 556, Name: "server_shedding", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "the backend server of this node sheds every request; it gets only probes until it runs one",
		Remedy: "check the backend server on this instance"})
	CapacityMeasured = define(Event{Number: 557, Name: "capacity_measured", Level: zerolog.InfoLevel, PerSecond: bulkRate,
		Text: "the concurrency up to which the backend server of this node is measured to keep its speed changed"})
)

// Events of clients that take too much. They are limited, because clients cause them.
var (
	ClientShed = define(Event{Number: 540, Name: "client_shed", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "a connection or request of a client was refused or given up, because of the limit in the field kind; what was refused did not run",
		Remedy: "find the clients that open many connections or send or read slowly; if they are genuine, raise the setting of the limit"})
)

// Events of rollbacks of the platform's store.
var (
	StoreEraChanged = define(Event{Number: 530, Name: "store_era_changed", Level: zerolog.WarnLevel, PerSecond: peerRate,
		Text:   "the platform store was restored from an older copy and answers with the era in the field era; this node reads all topics again, writes its own record again, and grants no keys until the leases of the earlier era have expired",
		Remedy: "check that the configuration and the evacuations in the store are the intended ones, and write them again if they are older"})
	StoreAnswerOutdated = define(Event{Number: 531, Name: "store_answer_outdated", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "an answer of the platform store has a lower era than an earlier answer, or none; this node counts it as failed",
		Remedy: "check that no process of the platform store runs on data from before the rollback"})
	WriteOfEarlierEra = define(Event{Number: 532, Name: "write_of_earlier_era", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "the platform store was restored from an older copy during a write of this node; the write is not repeated, and its result is read back"})
	EvacuationDropped = define(Event{Number: 533, Name: "evacuation_dropped", Level: zerolog.WarnLevel, PerSecond: peerRate,
		Text:   "the platform store has not shown the evacuation of the data centre in the field data_centre_named for 10 s since it was restored from an older copy; the evacuation has ended",
		Remedy: "write the evacuation again if it is still wanted"})
	RangesEraBegun = define(Event{Number: 534, Name: "ranges_era_begun", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "this node wrote the first key ownership of its service after the platform store was restored from an older copy, with fences of the new era"})
)

// Events of the load of the machine of the backend server.
var (
	WorkFigureMissing = define(Event{Number: 516, Name: "work_figure_missing", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "the backend server did not report how long its work takes at present; the node uses the last reported figure until that is too old",
		Remedy: "check the backend server on this instance"})
)

// Events of heartbeats.
var (
	ServerStateChanged = define(Event{Number: 611, Name: "server_state_changed", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "the backend server of this node started, changed its state or ended"})
	HeartbeatRefused = define(Event{Number: 612, Name: "heartbeat_refused", Level: zerolog.WarnLevel, PerSecond: bulkRate,
		Text:   "a heartbeat was refused, because it names another service or address than those of the backend server of this node, or does not report keys although the service has them",
		Remedy: "find its sender; a backend server must send heartbeats to the node on its own instance"})
	HeartbeatLate = define(Event{Number: 613, Name: "heartbeat_late", Level: zerolog.InfoLevel, PerSecond: bulkRate,
		Text: "a heartbeat from an earlier run of the backend server, or one that arrived after a later one, was ignored"})
)

// Events of routes.
var (
	RoutesInForce = define(Event{Number: 711, Name: "routes_in_force", Level: zerolog.InfoLevel,
		Text: "a configuration of routes took effect on this node"})
	OperatorRecordRefused = define(Event{Number: 712, Name: "operator_record_refused", Level: zerolog.ErrorLevel, PerSecond: peerRate,
		Text:   "a record published by operators is invalid; the previous configuration of routes and the evacuations stay in force",
		Remedy: "publish a corrected record"})
	EvacuationChanged = define(Event{Number: 713, Name: "evacuation_changed", Level: zerolog.InfoLevel, PerSecond: peerRate,
		Text: "the evacuation of the data centre in the field data_centre_named began or ended"})
)
