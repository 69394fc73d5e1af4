/* Snapshots of the configuration's state machine. Two replicas apply the log of
 * committed commands, write snapshots, compact their logs and crash. A replica
 * sends its snapshot to the other one when its log no longer holds the entries
 * that the other one lacks. A command is a request ID; a repeated request ID is
 * not applied again.
 *
 * Each of these preprocessor names removes one rule; Spin must then find a
 * violation:
 *   NO_REQUESTS   a snapshot omits the IDs of applied requests
 *   NO_REVISION   a snapshot omits the revision
 *   LATE_STATE    a snapshot's state is newer than its index
 *   CUT_FIRST     the log is compacted before the snapshot is durable
 */
#ifndef COMMANDS
#define COMMANDS 4
#endif
#ifndef REQUESTS
#define REQUESTS 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define REPLICAS 2

/* The committed log, and the expected state after each of its commands. */
byte committed;
byte command[COMMANDS + 1];
byte expected_revision[COMMANDS + 1];
byte expected_requests[COMMANDS + 1]; /* bit per applied request */

/* A replica's volatile state. */
byte applied[REPLICAS];
byte revision[REPLICAS];
byte requests[REPLICAS];

/* A replica's durable state: the latest snapshot, a snapshot being written, and
 * the log above the index to which it is compacted. */
byte snap_index[REPLICAS];
byte snap_revision[REPLICAS];
byte snap_requests[REPLICAS];
byte next_index[REPLICAS];
byte next_revision[REPLICAS];
byte next_requests[REPLICAS];
byte compacted[REPLICAS];

/* The revision that a router has applied, from either replica. */
byte router_revision;
byte crashes;

#define BIT(n) (1 << (n))

inline check_state(r) {
	assert(revision[r] == expected_revision[applied[r]]);
	assert(requests[r] == expected_requests[applied[r]])
}

inline commit(id) {
	d_step {
		committed++;
		command[committed] = id;
		expected_requests[committed] = expected_requests[committed - 1] | BIT(id);
		expected_revision[committed] = expected_revision[committed - 1] + (expected_requests[committed] != expected_requests[committed - 1] -> 1 : 0)
	}
}

inline apply(r) {
	d_step {
		applied[r]++;
		if
		:: !(requests[r] & BIT(command[applied[r]])) ->
			requests[r] = requests[r] | BIT(command[applied[r]]);
			revision[r]++
		:: else
		fi;
		check_state(r)
	}
}

#ifdef NO_REQUESTS
#define SNAPSHOT_REQUESTS(r) 0
#else
#define SNAPSHOT_REQUESTS(r) requests[r]
#endif
#ifdef NO_REVISION
#define SNAPSHOT_REVISION(r) 0
#else
#define SNAPSHOT_REVISION(r) revision[r]
#endif
#ifdef LATE_STATE
#define SNAPSHOT_INDEX(r) (applied[r] - 1)
#else
#define SNAPSHOT_INDEX(r) applied[r]
#endif

inline write_snapshot(r) {
	d_step {
		next_index[r] = SNAPSHOT_INDEX(r);
		next_revision[r] = SNAPSHOT_REVISION(r);
		next_requests[r] = SNAPSHOT_REQUESTS(r);
#ifdef CUT_FIRST
		compacted[r] = next_index[r];
#endif
		skip
	}
}

inline sync_snapshot(r) {
	d_step {
		snap_index[r] = next_index[r];
		snap_revision[r] = next_revision[r];
		snap_requests[r] = next_requests[r];
		next_index[r] = 0;
		next_revision[r] = 0;
		next_requests[r] = 0
	}
}

/* The replica restarts from its snapshot; the log must hold all later entries. */
inline crash(r) {
	d_step {
		crashes++;
		next_index[r] = 0;
		next_revision[r] = 0;
		next_requests[r] = 0;
		applied[r] = snap_index[r];
		revision[r] = snap_revision[r];
		requests[r] = snap_requests[r];
		assert(compacted[r] <= snap_index[r]);
		check_state(r)
	}
}

/* A replica installs the other one's snapshot if it lacks entries that the other
 * one has compacted. */
inline install(from, to) {
	d_step {
		next_index[to] = 0;
		next_revision[to] = 0;
		next_requests[to] = 0;
		snap_index[to] = snap_index[from];
		snap_revision[to] = snap_revision[from];
		snap_requests[to] = snap_requests[from];
		compacted[to] = snap_index[to];
		applied[to] = snap_index[to];
		revision[to] = snap_revision[to];
		requests[to] = snap_requests[to];
		check_state(to)
	}
}

/* A router applies only higher revisions, and only committed ones. */
inline update_router(r) {
	d_step {
		assert(revision[r] <= expected_revision[committed]);
		router_revision = revision[r]
	}
}

#define STEPS(r, other) \
	:: applied[r] < committed -> apply(r) \
	:: applied[r] > snap_index[r] && applied[r] > next_index[r] -> write_snapshot(r) \
	:: next_index[r] > snap_index[r] -> sync_snapshot(r) \
	:: snap_index[r] > compacted[r] -> compacted[r] = snap_index[r] \
	:: compacted[other] > applied[r] && snap_index[other] > applied[r] -> install(other, r) \
	:: revision[r] > router_revision -> update_router(r) \
	:: crashes < CRASHES -> crash(r)

init {
end:
	do
	:: committed < COMMANDS -> commit(0)
	:: committed < COMMANDS -> commit(1)
	:: committed < COMMANDS && REQUESTS > 2 -> commit(2)
	STEPS(0, 1)
	STEPS(1, 0)
	od
}
