/*
 * Replacement of one member of a ledger group of three replicas while two attempts
 * claim one key. The initial member list is list 0 with replicas 0, 1, 2. Two
 * operators propose different lists: operator 0 proposes list 1 with 0, 1, 3,
 * operator 1 proposes list 2 with 0, 2, 3. Replica 3 is empty at first.
 *
 * A membership change is a ballot whose number is an epoch. A majority of the old
 * members promises the ballot by raising its epoch. A majority then accepts the
 * list, and each replica that accepts it grants no more claims under the old list.
 * The list is committed once a majority has accepted it. Old members install a
 * committed list and keep their holders. The new member copies the union of the
 * holders from a majority of its list; each replica raises its epoch before it is
 * copied.
 *
 * An attempt counts the grants of one list and one epoch. It holds the key once
 * they are a majority, and it may dispatch at any time afterwards, so a majority
 * for both attempts is a violation. Delayed and duplicated messages need no queue:
 * a grant is a bit per replica that ever granted under that list in that epoch.
 *
 * Each of these preprocessor names removes one rule:
 *   NO_VIEW        replicas do not compare lists: grants are counted by epoch only
 *   NO_SEAL        a replica that has accepted a list continues to grant
 *   EARLY          the new replica grants before it has copied
 *   ONE_COPY       the new replica copies from one member
 *   ONE_ACCEPTS    a list is committed once one member has accepted it
 *   NO_PROMISE     operators propose without promises
 *   IGNORE_PENDING an operator proposes its own list despite a pending one
 *   NO_RAISE       neither ballots nor copies raise the epoch
 *   OLD_LIST       a replica that lost its disk recovers into the old list from a
 *                  member that has accepted a new one
 * OPERATORS is the number of operators, STARTS the number of ballots of each, and
 * LOSSES the number of lost disks, one at a time.
 * NEVER_CHANGED asserts that no replica installs another list, NEVER_DONE that
 * the new replica never becomes a member. Spin must refute both, which shows that
 * the model reaches these states.
 */

#ifndef LOSSES
#define LOSSES 0
#endif
#ifndef OPERATORS
#define OPERATORS 1
#endif
#ifndef STARTS
#define STARTS 1
#endif
#ifndef RECOVERIES
#define RECOVERIES (1 + LOSSES)
#endif

#define REPLICAS 4
#define EPOCHS   (1 + OPERATORS * STARTS + RECOVERIES)
#define NEW_REPLICA 3

#define BIT(i)       (1 << (i))
#define MEMBERS(l)   ((l) == 0 -> 7 : ((l) == 1 -> 11 : 13))
#define COUNT(m)     (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define MAJORITY(l, m) (COUNT((m) & MEMBERS(l)) >= 2)
#define IN(r, l)     (MEMBERS(l) & BIT(r))

typedef Replica {
	bit live;
	byte list;
	byte epoch;
	byte pending;  /* ballot of the accepted list; 0 for none */
	byte holders;  /* bit per attempt */
}

typedef Grants {
	byte at[3 * EPOCHS]; /* by list and epoch: a bit per replica */
}

Replica replica[REPLICAS];
Grants grants[2];
byte hasMajority;    /* bit per attempt with a majority of grants */
bit claimed;         /* symmetry reduction: attempt 0 claims first */

byte epochs;           /* the highest epoch assigned so far */
byte proposed[EPOCHS]; /* list of a ballot */
byte accepted[EPOCHS]; /* bit per replica that has accepted a ballot */

typedef Operator {
	byte phase;    /* 0 idle, 1 collects promises, 2 collects acceptances */
	byte ballot;
	byte promised; /* bit per replica */
	byte seen;     /* highest pending ballot of the replicas that promised */
	byte starts;
}
Operator op[2];

byte losses;
byte recoveries;

/* The recovery in progress, of the new replica or after a lost disk. */
bit recovering;
byte recoveringReplica;
byte recoveryList;
byte recoveryEpoch;
byte raised;
byte copied;
byte copyHolders;

#ifdef NO_VIEW
#define GRANT_INDEX(l, e) (e)
#else
#define GRANT_INDEX(l, e) (3 * (e) + (l))
#endif

#ifdef ONE_ACCEPTS
#define CHOSEN(b) (accepted[b] & 7)
#else
#define CHOSEN(b) MAJORITY(0, accepted[b])
#endif

/* Replica r can still grant under list l in epoch e. */
#define CAN_STILL_GRANT(r, l, e) (IN(r, l) && \
	((replica[r].live && replica[r].epoch <= e && \
	  (replica[r].list == l || replica[r].list == 0) && !(l == 0 && replica[r].pending != 0)) || \
	 (recovering && recoveringReplica == r && recoveryEpoch <= e)) -> BIT(r) : 0)

/* State reduction: clears grants that can no longer become a majority. */
inline discardDeadGrants() {
	skip;
#if !defined(NO_VIEW) && !defined(NO_SEAL) && !defined(NO_RAISE)
	for (e : 0 .. EPOCHS - 1) {
		for (l : 0 .. 2) {
			possible = CAN_STILL_GRANT(0, l, e) | CAN_STILL_GRANT(1, l, e) | CAN_STILL_GRANT(2, l, e) | CAN_STILL_GRANT(3, l, e);
			if
			:: !MAJORITY(l, grants[0].at[GRANT_INDEX(l, e)] | possible) -> grants[0].at[GRANT_INDEX(l, e)] = 0
			:: else
			fi;
			if
			:: !MAJORITY(l, grants[1].at[GRANT_INDEX(l, e)] | possible) -> grants[1].at[GRANT_INDEX(l, e)] = 0
			:: else
			fi
		}
	}
	possible = 0;
	e = 0;
	l = 0;
#endif
	skip
}

inline countGrants(a) {
	for (e : 0 .. EPOCHS - 1) {
		for (l : 0 .. 2) {
			if
			:: MAJORITY(l, grants[a].at[GRANT_INDEX(l, e)]) -> hasMajority = hasMajority | BIT(a)
			:: else
			fi
		}
	}
	if
	:: hasMajority & BIT(a) ->
		for (e : 0 .. 3 * EPOCHS - 1) { grants[a].at[e] = 0 }
	:: else
	fi;
	e = 0;
	l = 0;
	assert(hasMajority != 3)
}

#ifdef NO_SEAL
#define MAY_GRANT(r) (replica[r].live)
#else
#define MAY_GRANT(r) (replica[r].live && replica[r].pending == 0)
#endif

#define CURRENT_GRANTS(a, r) grants[a].at[GRANT_INDEX(replica[r].list, replica[r].epoch)]

#define CLAIM(a, r) \
	:: d_step { MAY_GRANT(r) && IN(r, replica[r].list) && (a == 0 || claimed) && \
		(replica[r].holders == 0 || replica[r].holders == BIT(a)) && \
		(replica[r].holders == 0 || (!(hasMajority & BIT(a)) && !(CURRENT_GRANTS(a, r) & BIT(r)))) -> \
		replica[r].holders = BIT(a); \
		claimed = 1; \
		if \
		:: !(hasMajority & BIT(a)) -> CURRENT_GRANTS(a, r) = CURRENT_GRANTS(a, r) | BIT(r) \
		:: else \
		fi; \
		countGrants(a); \
		discardDeadGrants() }

/* A claim carries the epoch that its sender received from replica s to replica r. */
#define ADOPT_EPOCH(r, s) \
	:: d_step { MAY_GRANT(r) && replica[s].live && replica[s].epoch > replica[r].epoch -> \
		replica[r].epoch = replica[s].epoch; \
		discardDeadGrants() }

#define MAX(x, y) ((x) > (y) -> (x) : (y))
#ifdef NO_RAISE
#define RAISE_TO(r, e) skip
#define MAY_RAISE(r, e) true
#else
#define RAISE_TO(r, e) replica[r].epoch = e
#define MAY_RAISE(r, e) (replica[r].epoch <= e)
#endif

#define START(k) \
	:: d_step { k < OPERATORS && op[k].starts < STARTS && epochs < EPOCHS - 1 -> \
		op[k].starts++; \
		epochs++; \
		op[k].ballot = epochs; \
		op[k].promised = 0; \
		op[k].seen = 0; \
		op[k].phase = 1 }

#define PROMISE(k, r) \
	:: d_step { op[k].phase == 1 && replica[r].live && replica[r].list == 0 && \
		!(op[k].promised & BIT(r)) && MAY_RAISE(r, op[k].ballot) -> \
		RAISE_TO(r, op[k].ballot); \
		op[k].promised = op[k].promised | BIT(r); \
		op[k].seen = MAX(op[k].seen, replica[r].pending); \
		discardDeadGrants() }

#if defined(NO_PROMISE)
#define MAY_PROPOSE(k) true
#elif defined(IGNORE_PENDING)
#define MAY_PROPOSE(k) MAJORITY(0, op[k].promised)
#else
#define MAY_PROPOSE(k) (MAJORITY(0, op[k].promised) && (op[k].seen == 0 || proposed[op[k].seen] == k + 1))
#endif

#define PROPOSE(k) \
	:: d_step { op[k].phase == 1 && MAY_PROPOSE(k) -> \
		op[k].phase = 2; \
		op[k].promised = 0; \
		op[k].seen = 0; \
		proposed[op[k].ballot] = k + 1 }

#define ACCEPT(k, r) \
	:: d_step { op[k].phase == 2 && replica[r].live && replica[r].list == 0 && \
		!(accepted[op[k].ballot] & BIT(r)) && MAY_RAISE(r, op[k].ballot) -> \
		RAISE_TO(r, op[k].ballot); \
		replica[r].pending = op[k].ballot; \
		accepted[op[k].ballot] = accepted[op[k].ballot] | BIT(r); \
		discardDeadGrants() }

#ifdef NEVER_CHANGED
#define CHECK_CHANGED assert(false);
#else
#define CHECK_CHANGED
#endif

/* An old member installs the committed list of a ballot. */
#define ADOPT_LIST(r, b) \
	:: d_step { b < EPOCHS && replica[r].live && replica[r].list == 0 && proposed[b] != 0 && \
		CHOSEN(b) && IN(r, proposed[b]) -> \
		CHECK_CHANGED \
		replica[r].list = proposed[b]; \
		replica[r].pending = 0; \
		if \
		:: MAY_RAISE(r, b) -> RAISE_TO(r, b) \
		:: else \
		fi; \
		discardDeadGrants() }

#define LOSE(r) \
	:: d_step { losses < LOSSES && !recovering && replica[r].live -> \
		losses++; \
		replica[r].live = 0; \
		replica[r].list = 0; \
		replica[r].epoch = 0; \
		replica[r].pending = 0; \
		replica[r].holders = 0; \
		discardDeadGrants() }

/* An empty replica starts a recovery into the committed list of a ballot, or into
 * the initial list if it was a member of that one. */
#define MAY_RECOVER(r, b) \
	(b < EPOCHS && !replica[r].live && !recovering && recoveries < RECOVERIES && epochs < EPOCHS - 1 && \
	 ((b == 0 && r != NEW_REPLICA) || (b > 0 && proposed[b] != 0 && CHOSEN(b) && IN(r, proposed[b]))))

#define RECOVER(r, b) \
	:: d_step { MAY_RECOVER(r, b) -> \
		recoveries++; \
		epochs++; \
		recovering = 1; \
		recoveringReplica = r; \
		recoveryList = proposed[b]; \
		recoveryEpoch = epochs }

/* Replica s grants claims only under the list of the recovery. */
#ifdef OLD_LIST
#define HAS_RECOVERY_LIST(s) (replica[s].list == recoveryList || proposed[replica[s].pending] == recoveryList)
#else
#define HAS_RECOVERY_LIST(s) ((replica[s].pending == 0 && replica[s].list == recoveryList) || \
	(replica[s].pending != 0 && proposed[replica[s].pending] == recoveryList))
#endif
#define IS_SOURCE(s) (recovering && s != recoveringReplica && replica[s].live && IN(s, recoveryList) && HAS_RECOVERY_LIST(s))

#define RAISE(s) \
	:: d_step { IS_SOURCE(s) && !(raised & BIT(s)) && MAY_RAISE(s, recoveryEpoch) -> \
		RAISE_TO(s, recoveryEpoch); \
		raised = raised | BIT(s); \
		discardDeadGrants() }

#define COPY(s) \
	:: d_step { IS_SOURCE(s) && (raised & BIT(s)) && !(copied & BIT(s)) -> \
		copied = copied | BIT(s); \
		copyHolders = copyHolders | replica[s].holders }

#if defined(EARLY)
#define MAY_FINISH true
#elif defined(ONE_COPY)
#define MAY_FINISH (copied != 0)
#else
#define MAY_FINISH MAJORITY(recoveryList, copied)
#endif

#ifdef NO_RAISE
#define FINAL_EPOCH 0
#else
#define FINAL_EPOCH recoveryEpoch
#endif

#ifdef NEVER_DONE
#define CHECK_DONE assert(recoveringReplica != NEW_REPLICA);
#else
#define CHECK_DONE
#endif

#define FINISH \
	:: d_step { recovering && MAY_FINISH -> \
		CHECK_DONE \
		replica[recoveringReplica].live = 1; \
		replica[recoveringReplica].list = recoveryList; \
		replica[recoveringReplica].epoch = FINAL_EPOCH; \
		replica[recoveringReplica].pending = 0; \
		replica[recoveringReplica].holders = copyHolders; \
		recovering = 0; recoveringReplica = 0; recoveryList = 0; recoveryEpoch = 0; \
		raised = 0; copied = 0; copyHolders = 0; \
		discardDeadGrants() }

/* The recovery cannot continue and starts over. */
#define ABANDON \
	:: d_step { recovering && recoveries < RECOVERIES -> \
		recovering = 0; recoveringReplica = 0; recoveryList = 0; recoveryEpoch = 0; \
		raised = 0; copied = 0; copyHolders = 0; \
		discardDeadGrants() }

#define BALLOTS(macro, i) macro(i, 1) macro(i, 2) macro(i, 3) macro(i, 4)

init {
	byte e;
	byte l;
	byte possible;
	d_step {
		replica[0].live = 1;
		replica[1].live = 1;
		replica[2].live = 1
	}
end:
	do
	CLAIM(0, 0) CLAIM(0, 1) CLAIM(0, 2) CLAIM(0, 3)
	CLAIM(1, 0) CLAIM(1, 1) CLAIM(1, 2) CLAIM(1, 3)
	ADOPT_EPOCH(0, 1) ADOPT_EPOCH(0, 2) ADOPT_EPOCH(0, 3) ADOPT_EPOCH(1, 0) ADOPT_EPOCH(1, 2) ADOPT_EPOCH(1, 3)
	ADOPT_EPOCH(2, 0) ADOPT_EPOCH(2, 1) ADOPT_EPOCH(2, 3) ADOPT_EPOCH(3, 0) ADOPT_EPOCH(3, 1) ADOPT_EPOCH(3, 2)
	START(0) START(1) PROPOSE(0) PROPOSE(1)
	PROMISE(0, 0) PROMISE(0, 1) PROMISE(0, 2) PROMISE(1, 0) PROMISE(1, 1) PROMISE(1, 2)
	ACCEPT(0, 0) ACCEPT(0, 1) ACCEPT(0, 2) ACCEPT(1, 0) ACCEPT(1, 1) ACCEPT(1, 2)
	BALLOTS(ADOPT_LIST, 0) BALLOTS(ADOPT_LIST, 1) BALLOTS(ADOPT_LIST, 2)
	LOSE(0) LOSE(1) LOSE(2) LOSE(3)
	RECOVER(0, 0) RECOVER(1, 0) RECOVER(2, 0)
	BALLOTS(RECOVER, 0) BALLOTS(RECOVER, 1) BALLOTS(RECOVER, 2) BALLOTS(RECOVER, 3)
	RAISE(0) RAISE(1) RAISE(2) RAISE(3)
	COPY(0) COPY(1) COPY(2) COPY(3)
	ABANDON
	FINISH
	od
}
