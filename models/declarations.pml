/*
 * Versions of the declarations never go backwards, no change is lost or applied
 * twice, and no change is reported as in force before it is, or undone after it
 * was reported.
 *
 * Two operators edit the same row by compare-and-set; replies may be lost after
 * the write took effect. Each daemon keeps its version in memory only, reads it
 * from the platform or from a peer, and may restart. Before a change is
 * reported as "in force", every daemon is queried in two consecutive rounds and
 * must answer both in the same incarnation. A daemon that is cut off takes no
 * step; as it does not answer, "in force" is not reported.
 *
 * Bounds: 2 operators with one change each, 3 daemons, 1 restart.
 *
 * Twins: NAIVE_WRITE writes without a check; NAIVE_AGAIN applies again after a
 * lost reply; NAIVE_ROW searches for a change without a reply in the current
 * row only; NAIVE_INSTALL installs any version that it receives; NAIVE_ROUND
 * queries once; NAIVE_CUT does not wait for a silent daemon.
 */
#define OPERATORS 2
#define DAEMONS 3
#define RESTARTS 1
#define VERSIONS 3           /* versions 0, 1 and 2 */
#define NONE 255

/* The platform's table: `declarations/current` and `audit/<version>`. */
byte version;
byte change_id[VERSIONS] = NONE;  /* by version; NONE if there is none */
byte basis[VERSIONS];        /* by version: the version its author read */

/* Daemons. */
byte installed[DAEMONS];
bit ready[DAEMONS] = 1;      /* has a version; version 0 at first */
byte incarnation[DAEMONS];
byte in_transit[DAEMONS] = NONE;  /* version in transit to the daemon */
byte restarts;

/* Operators. */
byte in_force = 0;           /* highest version reported as in force */

#define serves(d, v) (!ready[d] || installed[d] >= v)
#define check_in_force() \
	assert(serves(0, in_force) && serves(1, in_force) && \
	       serves(2, in_force))

proctype Operator(byte o) {
	byte read_version, applied, d;
	byte seen[DAEMONS];
	bit written;

	/* apply: read, diff, compare-and-set. */
start:
	atomic { read_version = version };
	if
	:: atomic {
#ifdef NAIVE_WRITE
		true ->
#else
		version == read_version ->
#endif
		assert(change_id[0] != o && change_id[1] != o &&
		       change_id[2] != o);
		version = read_version + 1;
		assert(change_id[version] == NONE);
		change_id[version] = o;
		basis[version] = read_version
	   };
	   if
	   :: applied = read_version + 1     /* the reply arrives */
	   :: applied = 0                    /* the reply is lost */
	   fi
	:: atomic { version != read_version -> applied = NONE } /* conflict */
	:: applied = 0                       /* the request is lost */
	fi;
	if
	:: applied == NONE -> applied = 0; goto start  /* read, diff again */
	:: applied == 0 -> /* find_change: search the audit trail */
#ifdef NAIVE_AGAIN
		goto start
#else
		atomic {
			if
#ifdef NAIVE_ROW
			:: change_id[version] == o -> applied = version
#else
			:: change_id[1] == o -> applied = 1
			:: change_id[2] == o -> applied = 2
#endif
			:: else
			fi
		};
		if
		:: applied == 0 -> goto start
		:: else
		fi
#endif
	:: else
	fi;

	/* wait_in_force: two rounds over all daemons. */
	assert(change_id[applied] == o);
	d = 0;
	do
	:: d < DAEMONS ->
		atomic {
#ifdef NAIVE_CUT
			if
			:: d == 0 -> seen[d] = incarnation[d]
			:: else ->
				ready[d] && installed[d] >= applied ->
				seen[d] = incarnation[d]
			fi;
#else
			ready[d] && installed[d] >= applied ->
			seen[d] = incarnation[d];
#endif
			d++
		}
	:: else -> break
	od;
#ifndef NAIVE_ROUND
	d = 0;
	do
	:: d < DAEMONS ->
		atomic {
			if
			:: incarnation[d] == seen[d] -> d++
			:: else -> goto lost
			fi
		}
	:: else -> break
	od;
#endif
	atomic {
		if
		:: applied > in_force -> in_force = applied
		:: else
		fi;
		check_in_force()
	};
	goto done;
lost:
	skip;
done:
	skip
}

inline install(d, v) {
#ifdef NAIVE_INSTALL
	installed[d] = v;
#else
	if
	:: !ready[d] || v > installed[d] -> installed[d] = v
	:: else
	fi;
#endif
	ready[d] = 1;
	check_in_force()
}

proctype Daemon(byte d) {
	byte before;
end:	do
	:: atomic { in_transit[d] == NONE -> in_transit[d] = version }
	:: atomic { in_transit[d] == NONE && ready[(d + 1) % DAEMONS] ->
		in_transit[d] = installed[(d + 1) % DAEMONS] }
	:: atomic { in_transit[d] == NONE && ready[(d + 2) % DAEMONS] ->
		in_transit[d] = installed[(d + 2) % DAEMONS] }
	:: atomic { in_transit[d] != NONE ->
		before = installed[d];
		install(d, in_transit[d]);
		assert(installed[d] >= before);
		before = 0;
		in_transit[d] = NONE }
	:: atomic { in_transit[d] != NONE -> /* the message is lost */
		in_transit[d] = NONE }
	:: atomic { restarts < RESTARTS -> /* restart: its connections break */
		restarts++;
		incarnation[d]++;
		installed[d] = 0;
		ready[d] = 0;
		in_transit[d] = NONE }
	od
}

init {
	atomic {
		run Operator(0);
		run Operator(1);
		run Daemon(0);
		run Daemon(1);
		run Daemon(2)
	}
}
