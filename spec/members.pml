/* Replacement of a replica in the configuration's Raft group: replica 3 joins as
 * a learner, replica 2 loses its vote, by its removal or as a learner, and
 * replica 3 becomes a voter, in either order. Elections and replication are
 * those of config.pml. A replica uses the newest membership in its log, committed
 * or not. Replica 2 may be lost or only partitioned: any replica may stop taking
 * steps at any time.
 *
 * Once replica 3 has had the time to replace replica 2, replica 2 ends, and one of
 * the others loses its disk: the remaining two have to be a majority.
 *
 * Each of these preprocessor names removes one rule; Spin must then find a
 * violation:
 *   TWO_AT_ONCE      a leader proposes a membership change while another one is
 *                    not committed
 *   SWAP_IN_ONE      one entry removes the old voter and adds the new one
 *   NOT_CAUGHT_UP    a learner becomes a voter before it has all committed entries
 *   LATE_TAKEOVER    replica 3 waits for the end of replica 2 before it takes its vote
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
/* Highest index of a data entry; entries above it change the membership. */
#ifndef DATA_ENTRIES
#define DATA_ENTRIES (ENTRIES - 1)
#endif
#define REPLICAS 4
#define NONE 7

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* Kinds of entries. */
#define DATA 0
#define REMOVE 1
#define PROMOTE 2

/* Voter sets, a bit per replica: at first, without replica 2, with replica 3 besides,
 * and with replica 3 in place of replica 2. */
#define INITIAL 7
#define REMOVED 3
#define GROWN 15
#define REPLACED 11

#define AT(r, n) ((r) * ENTRIES + (n) - 1)
#define TERM_AT(r, n) (entry[AT(r, n)] >> 2)
#define KIND_AT(r, n) (entry[AT(r, n)] & 3)

byte term[REPLICAS];
byte vote[REPLICAS];
byte role[REPLICAS];
byte votes[REPLICAS];             /* of a candidate: bit per replica that voted for it */
byte length[REPLICAS];
byte entry[REPLICAS * ENTRIES];   /* term and kind of each entry */
byte match[REPLICAS * REPLICAS];  /* of a leader: match index of each replica */
byte commit[REPLICAS];            /* commit index of a leader */

/* History for the assertions; no replica reads it. */
byte committed[ENTRIES + 1];          /* each committed entry */
byte committed_in_term[ENTRIES + 1];  /* the term in which it was committed */
byte highest_committed;
byte committed_at_promotion;          /* commit index when replica 3 became a voter */
byte committed_kinds;                 /* bit per kind of the committed entries */

hidden byte i, set, members;

#define BIT(r) (1 << (r))
#define HAS(s, r) (((s) >> (r)) & 1)
#define COUNT(s) (HAS(s, 0) + HAS(s, 1) + HAS(s, 2) + HAS(s, 3))
#define IS_MAJORITY(s, v) (2 * COUNT((s) & (v)) > COUNT(v))

#define KIND_OR_DATA(r, n) (length[r] >= (n) -> KIND_AT(r, n) : DATA)
#if ENTRIES == 3
#define HAS_KIND(r, k) (KIND_OR_DATA(r, 1) == (k) || KIND_OR_DATA(r, 2) == (k) || KIND_OR_DATA(r, 3) == (k))
#else
#define HAS_KIND(r, k) (KIND_OR_DATA(r, 1) == (k) || KIND_OR_DATA(r, 2) == (k) || KIND_OR_DATA(r, 3) == (k) || KIND_OR_DATA(r, 4) == (k))
#endif
#ifdef SWAP_IN_ONE
#define VOTERS(r) (HAS_KIND(r, PROMOTE) -> REPLACED : INITIAL)
#else
#define VOTERS(r) (HAS_KIND(r, PROMOTE) -> (HAS_KIND(r, REMOVE) -> REPLACED : GROWN) : (HAS_KIND(r, REMOVE) -> REMOVED : INITIAL))
#endif
#define LAST_TERM(r) (length[r] == 0 -> 0 : TERM_AT(r, length[r]))
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))

inline step_down(r) {
	role[r] = FOLLOWER;
	votes[r] = 0;
	commit[r] = 0;
	match[r * REPLICAS] = 0;
	match[r * REPLICAS + 1] = 0;
	match[r * REPLICAS + 2] = 0;
	match[r * REPLICAS + 3] = 0
}

inline adopt_term(r, t) {
	if
	:: term[r] < t -> term[r] = t; vote[r] = NONE; step_down(r)
	:: else
	fi
}

inline campaign(r) {
	d_step {
		step_down(r);
		term[r]++;
		vote[r] = r;
		role[r] = CANDIDATE;
		votes[r] = BIT(r)
	}
}

inline request_vote(c, v) {
	d_step {
		adopt_term(v, term[c]);
		if
		:: term[v] == term[c] && (vote[v] == NONE || vote[v] == c) && UP_TO_DATE(c, v) -> vote[v] = c; votes[c] = votes[c] | BIT(v)
		:: else
		fi
	}
}

inline become_leader(c) {
	d_step {
		role[c] = LEADER;
		votes[c] = 0;
		match[c * REPLICAS + c] = length[c];
		/* Leader completeness: the leader has all entries committed in earlier terms. */
		i = 1;
		do
		:: i <= highest_committed ->
			assert(committed_in_term[i] >= term[c] || (length[c] >= i && entry[AT(c, i)] == committed[i]));
			i++
		:: else -> break
		od;
		i = 0
	}
}

inline propose(l, kind) {
	d_step {
		length[l]++;
		entry[AT(l, length[l])] = (term[l] << 2) + kind;
		match[l * REPLICAS + l] = length[l];
		if
		:: kind == PROMOTE -> committed_at_promotion = commit[l]
		:: else
		fi
	}
}

/* The leader sends entry n; the follower checks the previous entry. */
inline replicate(l, f, n) {
	d_step {
		adopt_term(f, term[l]);
		if
		:: term[f] == term[l] && length[f] >= n - 1 && (n == 1 || entry[AT(f, n - 1)] == entry[AT(l, n - 1)]) ->
			if
			:: role[f] == CANDIDATE -> step_down(f)
			:: else
			fi;
			if
			:: length[f] >= n && entry[AT(f, n)] != entry[AT(l, n)] ->
				do
				:: length[f] >= n -> entry[AT(f, length[f])] = 0; length[f]--
				:: else -> break
				od
			:: else
			fi;
			if
			:: length[f] < n -> length[f] = n; entry[AT(f, n)] = entry[AT(l, n)]
			:: else
			fi;
			if
			:: match[l * REPLICAS + f] < n -> match[l * REPLICAS + f] = n
			:: else
			fi
		:: else
		fi
	}
}

#define HOLDERS(l, n) ((match[(l) * REPLICAS] >= n -> 1 : 0) + (match[(l) * REPLICAS + 1] >= n -> 2 : 0) + (match[(l) * REPLICAS + 2] >= n -> 4 : 0) + (match[(l) * REPLICAS + 3] >= n -> 8 : 0))

#define COMMITTED_VOTERS (HAS(committed_kinds, PROMOTE) -> (HAS(committed_kinds, REMOVE) -> REPLACED : GROWN) : (HAS(committed_kinds, REMOVE) -> REMOVED : INITIAL))

/* Replica 3 takes over as soon as it has caught up, which is done when its time has passed. */
#ifdef LATE_TAKEOVER
#define HAD_TIME (highest_committed > 0 && length[3] >= highest_committed)
#else
#define HAD_TIME (HAS(committed_kinds, PROMOTE) && HAS(committed_kinds, REMOVE))
#endif

inline commit_up_to(l, n) {
	d_step {
		commit[l] = n;
		i = 1;
		do
		:: i <= n ->
			/* State-machine safety: no index is committed with two different entries. */
			assert(i > highest_committed || committed[i] == entry[AT(l, i)]);
			if
			:: i > highest_committed ->
				committed[i] = entry[AT(l, i)];
				committed_in_term[i] = term[l];
				committed_kinds = committed_kinds | BIT(KIND_AT(l, i))
			:: else
			fi;
			/* The replacement is reported as done: replica 3 has all entries that were
			 * committed before it became a voter. */
			assert(KIND_AT(l, i) != PROMOTE || length[3] >= committed_at_promotion);
			i++
		:: else -> break
		od;
		i = 0;
		if
		:: n > highest_committed -> highest_committed = n
		:: else
		fi;
		assert(!HAD_TIME || (IS_MAJORITY(BIT(1) | BIT(3), COMMITTED_VOTERS) && IS_MAJORITY(BIT(0) | BIT(3), COMMITTED_VOTERS)))
	}
}

/* A leader may change the membership once it has committed an entry of its term. */
#define COMMITTED_IN_TERM(l) (commit[l] > 0 && TERM_AT(l, commit[l]) == term[l])

#ifdef TWO_AT_ONCE
#define NO_PENDING(l) true
#else
#define NO_PENDING(l) (commit[l] == length[l] || (KIND_AT(l, length[l]) == DATA && (commit[l] + 1 >= length[l] || KIND_AT(l, length[l] - 1) == DATA)))
#endif

#ifdef NOT_CAUGHT_UP
#define CAUGHT_UP(l) true
#else
#define CAUGHT_UP(l) (match[(l) * REPLICAS + 3] >= commit[l])
#endif

#ifdef SWAP_IN_ONE
#define MAY_REMOVE(l) false
#define MAY_PROMOTE(l) (!HAS_KIND(l, PROMOTE))
#else
#define MAY_REMOVE(l) (!HAS_KIND(l, REMOVE))
#define MAY_PROMOTE(l) (!HAS_KIND(l, PROMOTE))
#endif

#define REPLICATE_TO(l, f) \
	:: role[l] == LEADER && term[f] <= term[l] && match[l * REPLICAS + f] < length[l] -> replicate(l, f, 1) \
	:: role[l] == LEADER && length[l] >= 2 && term[f] <= term[l] && match[l * REPLICAS + f] < length[l] -> replicate(l, f, 2) \
	:: role[l] == LEADER && length[l] >= 3 && term[f] <= term[l] && match[l * REPLICAS + f] < length[l] -> replicate(l, f, 3)

#define REQUEST_VOTE(c, v) \
	:: role[c] == CANDIDATE && HAS(VOTERS(c), v) && !HAS(votes[c], v) && term[v] <= term[c] -> request_vote(c, v)

#define COMMIT(l, n) \
	:: role[l] == LEADER && length[l] >= n && commit[l] < n && TERM_AT(l, n) == term[l] && IS_MAJORITY(HOLDERS(l, n), VOTERS(l)) -> commit_up_to(l, n)

/* Symmetry reduction: replicas 0 and 1 are interchangeable, so replica 1 never
 * starts the first election. */
#define MAY_CAMPAIGN(r) (role[r] != LEADER && term[r] < TERMS && HAS(VOTERS(r), r) && (r != 1 || term[0] + term[2] > 0))

#define STEPS(r, x, y, z) \
	:: MAY_CAMPAIGN(r) -> campaign(r) \
	:: role[r] == CANDIDATE && IS_MAJORITY(votes[r], VOTERS(r)) -> become_leader(r) \
	REQUEST_VOTE(r, x) REQUEST_VOTE(r, y) REQUEST_VOTE(r, z) \
	:: role[r] == LEADER && length[r] < DATA_ENTRIES -> propose(r, DATA) \
	:: role[r] == LEADER && length[r] < ENTRIES && COMMITTED_IN_TERM(r) && NO_PENDING(r) && CAUGHT_UP(r) && MAY_REMOVE(r) -> propose(r, REMOVE) \
	:: role[r] == LEADER && length[r] < ENTRIES && COMMITTED_IN_TERM(r) && NO_PENDING(r) && CAUGHT_UP(r) && MAY_PROMOTE(r) -> propose(r, PROMOTE) \
	REPLICATE_TO(r, x) REPLICATE_TO(r, y) REPLICATE_TO(r, z) \
	COMMIT(r, 1) COMMIT(r, 2) COMMIT(r, 3)

init {
	d_step {
		vote[0] = NONE; vote[1] = NONE; vote[2] = NONE; vote[3] = NONE
	}
end:
	do
	STEPS(0, 1, 2, 3)
	STEPS(1, 0, 2, 3)
	STEPS(2, 0, 1, 3)
	STEPS(3, 0, 1, 2)
	od
}
