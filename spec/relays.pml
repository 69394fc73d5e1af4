/* Routers that follow a control replica or one another: route tables pass from
 * control through relays; routers restart and relays freeze.
 *
 * An event of a stream is modelled as a step that reads the source's state, and a
 * delayed one as a step that delivers an older generation. A subscription is
 * admitted in one step and begins in a later one, so that two routers can
 * subscribe to one another at the same time.
 *
 * Each of these preprocessor names removes one rule; Spin must then find a
 * violation:
 *   NOT_MONOTONIC      a router installs any generation that it receives
 *   SERVE_UNCONFIRMED  a relay serves a new subscription with the table that it has,
 *                      without a confirmation by control
 *   CONFIRM_LATE_READ  a relay reads what it has to wait for from its own table
 *                      rather than from its source
 *   KEEP_SILENT        a router does not leave a silent source
 *   NO_PATHS           neither side compares the path with its own address
 *   NEVER_RELAYED      nothing is removed: Spin must find that a router gets a table
 *                      through two relays
 */
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef FREEZES
#define FREEZES 1
#endif
#ifndef SWITCHES
#define SWITCHES 2
#endif
#define NODES 4       /* node 0 is control, the others are routers */
#define NONE 4

#define BIT(n) (1 << (n))

byte newest;              /* the generation that control has committed */
byte generation[NODES];   /* of the table that a router has, 0 for none */
byte serves[NODES];       /* whether a router serves callers */
byte source[NODES];       /* the node that a router follows */
byte admitted[NODES];     /* the node that has admitted the router's next subscription */
byte required[NODES];     /* the generation that a new subscription waits for */
byte path[NODES];         /* a bit for each node between control and the router */
byte frozen[NODES];
byte changes, restarts, freezes, switches;

/* History for the assertions; no router reads it. */
byte at_start[NODES];     /* the newest generation when the incarnation started */

byte r, s, i, steps, connected, value;

/* Whether a router that follows a source has a reason to leave it, or an event of it
 * is due. */
#ifdef KEEP_SILENT
#define IS_SILENT(n) false
#else
#define IS_SILENT(n) frozen[source[n]]
#endif
#ifdef NO_PATHS
#define IS_LOOP(n) false
#else
#define IS_LOOP(n) ((path[n] & BIT(n)) != 0)
#endif
#define IS_CUT(n) (!frozen[source[n]] && source[n] != 0 && source[source[n]] == NONE)
#define IS_DUE(n) (!frozen[source[n]] && (path[n] != (path[source[n]] | BIT(source[n])) || \
	generation[n] < generation[source[n]]))

/* Whether a router has no step left. */
#define IS_QUIET(n) (frozen[n] || (source[n] != NONE && admitted[n] == NONE && \
	!IS_SILENT(n) && !IS_LOOP(n) && !IS_CUT(n) && !IS_DUE(n)))
#define IS_CURRENT(n) (frozen[n] || generation[n] == newest)

/* connected: whether s is control or leads to control through living relays */
inline find_control(from) {
	steps = 0;
	i = from;
	do
	:: steps < NODES && i != 0 && i != NONE && !frozen[i] -> i = source[i]; steps++
	:: else -> break
	od;
	connected = (i == 0)
}

#ifdef NO_PATHS
#define CAN_SERVE(node, router) true
#else
#define CAN_SERVE(node, router) ((path[node] & BIT(router)) == 0)
#endif

/* Temporaries do not distinguish states. */
inline reset() { r = 0; s = 0; i = 0; steps = 0; connected = 0; value = 0 }

inline select_router() {
	if
	:: r = 1
	:: r = 2
	:: r = 3
	fi
}

inline select_source() {
	if
	:: s = 0
	:: s = 1
	:: s = 2
	:: s = 3
	fi
}

/* A router without a source, or one that prefers another source, asks a node. The
 * node checks its path and, if the router serves nothing yet, asks for confirmation:
 * control answers with its newest generation. */
inline admit() {
	find_control(s);
	if
	:: s != r && s != source[r] && (source[r] == NONE || switches < SWITCHES) && admitted[r] == NONE &&
	   connected && CAN_SERVE(s, r) && !frozen[r] ->
		if
		:: source[r] != NONE -> switches++
		:: else
		fi;
		admitted[r] = s;
#ifdef SERVE_UNCONFIRMED
		required[r] = 0
#else
#ifdef CONFIRM_LATE_READ
		required[r] = (s == 0 -> newest : generation[s])
#else
		required[r] = (serves[r] -> 0 : newest)
#endif
#endif
	:: else
	fi
}

/* The subscription begins once the source has the confirmed generation. */
inline begin() {
	if
	:: admitted[r] != NONE && frozen[admitted[r]] ->
#ifdef KEEP_SILENT
		skip
#else
		admitted[r] = NONE
#endif
	:: admitted[r] != NONE && !frozen[admitted[r]] && generation[admitted[r]] >= required[r] && !frozen[r] ->
		source[r] = admitted[r];
		admitted[r] = NONE;
		path[r] = path[source[r]] | BIT(source[r]);
		value = generation[source[r]];
		receive();
		if
		:: generation[r] > 0 && !serves[r] ->
			serves[r] = 1;
			assert(generation[r] >= at_start[r])  /* serves only what was confirmed */
		:: else
		fi
	:: admitted[r] != NONE && !frozen[admitted[r]] && generation[admitted[r]] < required[r] &&
	   (source[admitted[r]] == NONE) -> admitted[r] = NONE
	:: else
	fi
}

inline receive() {
#ifdef NOT_MONOTONIC
	assert(!serves[r] || value >= generation[r]);  /* an incarnation never goes back */
	generation[r] = value
#else
	if
	:: value > generation[r] -> generation[r] = value
	:: else
	fi
#endif
}

/* A router leaves a source that is silent, has no way to control, or whose path
 * contains the router. */
inline leave() {
	if
	:: source[r] != NONE && !frozen[r] && (IS_SILENT(r) || IS_LOOP(r) || IS_CUT(r)) -> source[r] = NONE
	:: else
	fi
}

/* An event: the path, and the source's generation or a delayed one. */
inline deliver() {
	if
	:: source[r] != NONE && !frozen[r] && !frozen[source[r]] ->
		path[r] = path[source[r]] | BIT(source[r]);
		value = generation[source[r]];
		if
		:: true
		:: value > 0 -> value--
		fi;
		receive()
	:: else
	fi
}

init {
	atomic {
		r = 1;
		do
		:: r < NODES -> source[r] = NONE; admitted[r] = NONE; r++
		:: else -> break
		od;
		newest = 1;
		generation[0] = 1;
		at_start[1] = 1; at_start[2] = 1; at_start[3] = 1
	}
	do
	:: atomic { changes < CHANGES -> changes++; newest++; generation[0] = newest }
	:: atomic { restarts < RESTARTS -> restarts++; select_router();
		if
		:: !frozen[r] ->
			generation[r] = 0; serves[r] = 0; source[r] = NONE; admitted[r] = NONE; path[r] = 0;
			at_start[r] = newest
		:: else
		fi;
		reset() }
	:: atomic { freezes < FREEZES -> freezes++; select_router(); frozen[r] = 1; reset() }
	:: atomic { select_router(); select_source(); admit(); reset() }
	:: atomic { select_router(); begin(); reset() }
	:: atomic { select_router(); deliver(); reset() }
	:: atomic { select_router(); leave(); reset() }
	:: atomic { IS_QUIET(1) && IS_QUIET(2) && IS_QUIET(3) ->
		assert(IS_CURRENT(1) && IS_CURRENT(2) && IS_CURRENT(3));  /* no loop, no lost branch */
#ifdef NEVER_RELAYED
		assert(!(source[3] == 2 && source[2] == 1 && source[1] == 0 && newest > 1));
#endif
		skip }
	od
}
