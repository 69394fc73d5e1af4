/* Snapshots of the configuration's state machine: the log of decided commands is
 * applied by two replicas that write snapshots, cut their logs, crash, and send
 * a snapshot to one another where the log no longer holds what is missing. A
 * command is a request ID, which may come again and then changes nothing.
 *
 * Each of these names removes one rule and must be refuted:
 *   NO_REQUESTS   a snapshot forgets the requests that were applied
 *   NO_REVISION   a snapshot forgets the revision
 *   LATE_STATE    a snapshot's state is newer than the index that it names
 *   CUT_FIRST     the log is cut before the snapshot is durable
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

/* The decided log, and the state after each of its commands. */
byte decided;
byte command[COMMANDS + 1];
byte right_revision[COMMANDS + 1];
byte right_requests[COMMANDS + 1]; /* bit set of the requests applied */

/* What a replica holds in memory. */
byte applied[REPLICAS];
byte revision[REPLICAS];
byte requests[REPLICAS];

/* What it has on disk: a snapshot, one being written, and the log above cut. */
byte snap_index[REPLICAS];
byte snap_revision[REPLICAS];
byte snap_requests[REPLICAS];
byte next_index[REPLICAS];
byte next_revision[REPLICAS];
byte next_requests[REPLICAS];
byte cut[REPLICAS];

/* The revision that a router applies, from whichever replica. */
byte router;
byte crashes;

#define BIT(n) (1 << (n))

inline check(r) {
	assert(revision[r] == right_revision[applied[r]]);
	assert(requests[r] == right_requests[applied[r]])
}

inline decide(id) {
	d_step {
		decided++;
		command[decided] = id;
		right_requests[decided] = right_requests[decided - 1] | BIT(id);
		right_revision[decided] = right_revision[decided - 1] + (right_requests[decided] != right_requests[decided - 1] -> 1 : 0)
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
		check(r)
	}
}

#ifdef NO_REQUESTS
#define KEPT_REQUESTS(r) 0
#else
#define KEPT_REQUESTS(r) requests[r]
#endif
#ifdef NO_REVISION
#define KEPT_REVISION(r) 0
#else
#define KEPT_REVISION(r) revision[r]
#endif
#ifdef LATE_STATE
#define KEPT_INDEX(r) (applied[r] - 1)
#else
#define KEPT_INDEX(r) applied[r]
#endif

inline write_snapshot(r) {
	d_step {
		next_index[r] = KEPT_INDEX(r);
		next_revision[r] = KEPT_REVISION(r);
		next_requests[r] = KEPT_REQUESTS(r);
#ifdef CUT_FIRST
		cut[r] = next_index[r];
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

/* The replica goes on from its snapshot; the log above it has to be there. */
inline crash(r) {
	d_step {
		crashes++;
		next_index[r] = 0;
		next_revision[r] = 0;
		next_requests[r] = 0;
		applied[r] = snap_index[r];
		revision[r] = snap_revision[r];
		requests[r] = snap_requests[r];
		assert(cut[r] <= snap_index[r]);
		check(r)
	}
}

/* A replica that lacks what the other one has cut off gets its snapshot. */
inline install(from, to) {
	d_step {
		next_index[to] = 0;
		next_revision[to] = 0;
		next_requests[to] = 0;
		snap_index[to] = snap_index[from];
		snap_revision[to] = snap_revision[from];
		snap_requests[to] = snap_requests[from];
		cut[to] = snap_index[to];
		applied[to] = snap_index[to];
		revision[to] = snap_revision[to];
		requests[to] = snap_requests[to];
		check(to)
	}
}

/* A router takes only a higher revision, and one that is decided. */
inline follow(r) {
	d_step {
		assert(revision[r] <= right_revision[decided]);
		router = revision[r]
	}
}

#define STEPS(r, other) \
	:: applied[r] < decided -> apply(r) \
	:: applied[r] > snap_index[r] && applied[r] > next_index[r] -> write_snapshot(r) \
	:: next_index[r] > snap_index[r] -> sync_snapshot(r) \
	:: snap_index[r] > cut[r] -> cut[r] = snap_index[r] \
	:: cut[other] > applied[r] && snap_index[other] > applied[r] -> install(other, r) \
	:: revision[r] > router -> follow(r) \
	:: crashes < CRASHES -> crash(r)

init {
end:
	do
	:: decided < COMMANDS -> decide(0)
	:: decided < COMMANDS -> decide(1)
	:: decided < COMMANDS && REQUESTS > 2 -> decide(2)
	STEPS(0, 1)
	STEPS(1, 0)
	od
}
