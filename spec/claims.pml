/*
 * Quorum replication of the claims of one key by two attempts, at a group of
 * three replicas.
 *
 * The network may delay and duplicate messages without limit, so claims,
 * releases and completions are not stored: each may be delivered at any time
 * after its sender has sent it. A replica's grant is a bit in
 * grants[attempt].at[epoch]. The time at which the attempt receives the grant does
 * not matter, because it may dispatch at any time after it has a majority.
 *
 * Epochs start at 0. Each lost disk and each restart of a recovery raises the
 * epoch once.
 *
 * Each of these preprocessor names removes one rule:
 *   NO_RAISE       a recovery does not raise the epoch
 *   RAISE_ONE      a recovery counts its own replica towards the majority, so that
 *                  one other replica raises its epoch and is copied
 *   ONE_COPY       a recovery copies from one replica
 *   FIRST_COPY     a recovery keeps the first copy with a holder, not the union
 *   LATE_DISPATCH  an attempt may dispatch after its release
 *   ANY_EPOCH      grants of different epochs count towards one majority
 *   NO_TOMBSTONE   a release leaves no tombstone
 *   ANY_RELEASE    release acknowledgements of different epochs count towards one
 *                  majority
 * CHECK_FREE asserts that once a majority has acknowledged a release in one epoch,
 * that attempt never again holds the key at a majority. NEVER_AGAIN asserts that
 * no attempt dispatches after another one has begun its release; Spin must refute
 * it, which shows that the model reaches such a state.
 * LOSSES is the number of lost disks, one at a time; RESTARTS is the number of
 * recoveries that start over.
 */

#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

#define REPLICAS 3
#define ATTEMPTS 2
#define EPOCHS   (LOSSES + RESTARTS + 1)

#define BIT(i)      (1 << (i))
#define MAJORITY(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)

typedef Replica {
	bit live;
	byte epoch;
	byte holders;   /* bit per attempt */
	byte released;  /* bit per attempt with a tombstone */
}

typedef Grants {
	byte at[EPOCHS]; /* bit per replica */
}

Replica replica[REPLICAS];
Grants grants[ATTEMPTS];

/* A bit per attempt that has a majority of grants of one epoch, that has
 * dispatched, and that has begun its release. */
byte mayDispatch;
byte dispatched;
byte releasing;

#ifdef CHECK_FREE
/* Acknowledgements of the release of attempt 0 by epoch, a bit per replica, and
 * whether a majority has acknowledged it. */
Grants releaseAcks;
bit isReleased;
#endif

byte losses;
byte restarts;

/* The recovery in progress: at most one disk is lost at a time. */
bit recovering;
byte recoveringReplica;
byte newEpoch;
byte raised;        /* bit per replica */
byte copied;        /* bit per replica */
byte copyHolders;
byte copyReleased;

/* State reduction: clears grants that can no longer affect the outcome. */
inline discardGrants(a) {
	if
	:: (dispatched | releasing) & BIT(a) ->
		for (e : 0 .. EPOCHS - 1) { grants[a].at[e] = 0 }
	:: mayDispatch & BIT(a) ->
		for (e : 0 .. EPOCHS - 1) { grants[a].at[e] = 0 }
	:: else
	fi
}

inline countGrants(a) {
#ifdef ANY_EPOCH
	seen = 0;
	for (e : 0 .. EPOCHS - 1) { seen = seen | grants[a].at[e] }
	if
	:: MAJORITY(seen) -> mayDispatch = mayDispatch | BIT(a)
	:: else
	fi;
	seen = 0;
#else
	for (e : 0 .. EPOCHS - 1) {
		if
		:: MAJORITY(grants[a].at[e]) -> mayDispatch = mayDispatch | BIT(a)
		:: else
		fi
	}
#endif
	discardGrants(a);
	e = 0
}

/* Replica r receives a claim of attempt a and grants it. */
#define CAN_GRANT(a, r) \
	(replica[r].live && !(replica[r].released & BIT(a)) && \
	 (replica[r].holders == 0 || replica[r].holders == BIT(a)))

#define CHANGES_BY_GRANT(a, r) \
	(replica[r].holders == 0 || \
	 (!((dispatched | releasing | mayDispatch) & BIT(a)) && \
	  !(grants[a].at[replica[r].epoch] & BIT(r))))

#define CLAIM(a, r) \
	:: d_step { CAN_GRANT(a, r) && CHANGES_BY_GRANT(a, r) -> \
		replica[r].holders = BIT(a); \
		grants[a].at[replica[r].epoch] = grants[a].at[replica[r].epoch] | BIT(r); \
		countGrants(a); checkFree() }

#ifdef NO_TOMBSTONE
#define ADD_TOMBSTONE(a, r)
#define CAN_RELEASE(a, r) (replica[r].holders & BIT(a))
#else
#define ADD_TOMBSTONE(a, r) replica[r].released = replica[r].released | BIT(a);
#define CAN_RELEASE(a, r) (!(replica[r].released & BIT(a)))
#endif

/* Replica r receives the release of attempt a and acknowledges it. */
#ifdef CHECK_FREE
#define ACK_NOT_COUNTED(a, r) (a == 0 && !isReleased && !(releaseAcks.at[replica[r].epoch] & BIT(r)))
#define COUNT_ACK(a, r) countReleaseAck(a, r);
#else
#define ACK_NOT_COUNTED(a, r) false
#define COUNT_ACK(a, r)
#endif

inline countReleaseAck(a, r) {
	if
	:: a == 0 && !isReleased ->
		releaseAcks.at[replica[r].epoch] = releaseAcks.at[replica[r].epoch] | BIT(r);
		seen = 0;
		for (e : 0 .. EPOCHS - 1) {
#ifdef ANY_RELEASE
			seen = seen | releaseAcks.at[e];
#else
			seen = releaseAcks.at[e];
#endif
			if
			:: MAJORITY(seen) -> isReleased = 1
			:: else
			fi
		}
		if
		:: isReleased -> for (e : 0 .. EPOCHS - 1) { releaseAcks.at[e] = 0 }
		:: else
		fi;
		seen = 0;
		e = 0
	:: else
	fi
}

#define RELEASE(a, r) \
	:: d_step { (releasing & BIT(a)) && replica[r].live && (CAN_RELEASE(a, r) || ACK_NOT_COUNTED(a, r)) -> \
		replica[r].holders = replica[r].holders & ~BIT(a); \
		ADD_TOMBSTONE(a, r) \
		COUNT_ACK(a, r) \
		checkFree() }

/* Replica r receives the completion of attempt a. */
#define COMPLETE(a, r) \
	:: d_step { (dispatched & BIT(a)) && replica[r].live && replica[r].holders != BIT(a) -> \
		replica[r].holders = BIT(a) }

/* A claim carries the epoch that its sender received from replica s to replica r. */
#define ADOPT_EPOCH(r, s) \
	:: d_step { replica[r].live && replica[s].live && replica[s].epoch > replica[r].epoch -> \
		replica[r].epoch = replica[s].epoch; discardOldEpochs() }

/* State reduction: clears the grants of an epoch in which no replica can grant any
 * more. Grants that are a majority are already recorded in mayDispatch. */
inline discardOldEpochs() {
	skip;
#ifndef ANY_EPOCH
	for (e : 0 .. EPOCHS - 1) {
		if
		:: (!replica[0].live || replica[0].epoch > e) &&
		   (!replica[1].live || replica[1].epoch > e) &&
		   (!replica[2].live || replica[2].epoch > e) &&
		   !(recovering && newEpoch == e) ->
			grants[0].at[e] = 0;
			grants[1].at[e] = 0
		:: else
		fi
	}
	e = 0;
#endif
	skip
}

/* An attempt with a majority may answer not_run after its release, so no attempt
 * may have dispatched by then. */
#ifdef LATE_DISPATCH
#define CANCEL_DISPATCH(a)
#define MAY_RELEASE(a) (!((dispatched | releasing) & BIT(a)))
#else
#define CANCEL_DISPATCH(a) mayDispatch = mayDispatch & ~BIT(a);
#define MAY_RELEASE(a) (!((dispatched | releasing) & BIT(a)))
#endif

#define BEGIN_RELEASE(a) \
	:: d_step { MAY_RELEASE(a) -> \
		assert(!(mayDispatch & BIT(a)) || dispatched == 0); \
		releasing = releasing | BIT(a); \
		CANCEL_DISPATCH(a) \
		discardGrants(a); e = 0 }

#ifdef NEVER_AGAIN
#define MAY_RUN_AGAIN false
#else
#define MAY_RUN_AGAIN true
#endif

#define DISPATCH(a) \
	:: d_step { (mayDispatch & BIT(a)) && !(dispatched & BIT(a)) -> \
		assert(dispatched == 0); \
		assert(MAY_RUN_AGAIN || releasing == 0); \
		dispatched = dispatched | BIT(a); \
		mayDispatch = mayDispatch & ~BIT(a); \
		discardGrants(a); e = 0 }

#define HOLDS(r) (replica[r].holders & BIT(0) -> 1 : 0)

inline checkFree() {
#ifdef CHECK_FREE
	assert(!isReleased || HOLDS(0) + HOLDS(1) + HOLDS(2) < 2);
#endif
	skip
}

/* Symmetry reduction: replicas are interchangeable, so replica 0 is the first one
 * to lose its disk. */
#define LOSE(r) \
	:: d_step { losses < LOSSES && !recovering && replica[r].live && (losses > 0 || r == 0) -> \
		losses++; \
		replica[r].live = 0; \
		replica[r].epoch = 0; \
		replica[r].holders = 0; \
		replica[r].released = 0; \
		recovering = 1; \
		recoveringReplica = r; \
		newEpoch = NEXT_EPOCH(r) }

#define MAX(x, y)       ((x) > (y) -> (x) : (y))
#define HIGHEST_OTHER(r) MAX(replica[((r) + 1) % 3].epoch, replica[((r) + 2) % 3].epoch)
#ifdef NO_RAISE
#define NEXT_EPOCH(r) HIGHEST_OTHER(r)
#else
#define NEXT_EPOCH(r) (HIGHEST_OTHER(r) + 1)
#endif

/* The recovering replica crashes and starts its recovery over. */
#define RESTART \
	:: d_step { restarts < RESTARTS && recovering -> \
		restarts++; \
		newEpoch = NEXT_EPOCH(recoveringReplica); \
		raised = 0; copied = 0; copyHolders = 0; copyReleased = 0 }

/* The recovery raises the epoch at replica s. */
#ifdef NO_RAISE
#define RAISE_TO(s) skip
#else
#define RAISE_TO(s) replica[s].epoch = newEpoch
#endif

#define RAISE(s) \
	:: d_step { recovering && s != recoveringReplica && !(raised & BIT(s)) -> \
		RAISE_TO(s); \
		raised = raised | BIT(s); \
		discardOldEpochs() }

#ifdef FIRST_COPY
#define MERGE(s) if :: copyHolders == 0 -> copyHolders = replica[s].holders :: else fi
#else
#define MERGE(s) copyHolders = copyHolders | replica[s].holders
#endif

/* The recovery copies the holders and tombstones of replica s. */
#define COPY(s) \
	:: d_step { recovering && (raised & BIT(s)) && !(copied & BIT(s)) -> \
		MERGE(s); \
		copyReleased = copyReleased | replica[s].released; \
		copied = copied | BIT(s) }

#if defined(RAISE_ONE)
#define MAY_FINISH (copied != 0)
#elif defined(ONE_COPY)
#define MAY_FINISH (copied != 0 && MAJORITY(raised))
#else
#define MAY_FINISH MAJORITY(copied)
#endif

#define FINISH \
	:: d_step { recovering && MAY_FINISH -> \
		replica[recoveringReplica].live = 1; \
		replica[recoveringReplica].epoch = newEpoch; \
		replica[recoveringReplica].holders = copyHolders & ~copyReleased; \
		replica[recoveringReplica].released = copyReleased; \
		recovering = 0; recoveringReplica = 0; newEpoch = 0; raised = 0; copied = 0; \
		copyHolders = 0; copyReleased = 0; \
		discardOldEpochs(); \
		checkFree() }

init {
	byte e;
	byte seen;
	d_step {
		replica[0].live = 1;
		replica[1].live = 1;
		replica[2].live = 1
	}
end:
	do
	CLAIM(0, 0) CLAIM(0, 1) CLAIM(0, 2)
	CLAIM(1, 0) CLAIM(1, 1) CLAIM(1, 2)
	RELEASE(0, 0) RELEASE(0, 1) RELEASE(0, 2)
	RELEASE(1, 0) RELEASE(1, 1) RELEASE(1, 2)
	COMPLETE(0, 0) COMPLETE(0, 1) COMPLETE(0, 2)
	COMPLETE(1, 0) COMPLETE(1, 1) COMPLETE(1, 2)
	BEGIN_RELEASE(0) BEGIN_RELEASE(1)
	DISPATCH(0) DISPATCH(1)
	LOSE(0) LOSE(1) LOSE(2)
	RAISE(0) RAISE(1) RAISE(2)
	COPY(0) COPY(1) COPY(2)
	ADOPT_EPOCH(0, 1) ADOPT_EPOCH(0, 2) ADOPT_EPOCH(1, 0) ADOPT_EPOCH(1, 2) ADOPT_EPOCH(2, 0) ADOPT_EPOCH(2, 1)
	RESTART
	FINISH
	od
}
