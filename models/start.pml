/*
 * At most one start of a non-idempotent request.
 *
 * Two daemons request the leases of a shard's three workers. Each may die at any
 * step, or be paused, as nothing forces it to act. A lease is live in its
 * holder's view only while it is live at the worker, because the holder counts it
 * from the time it sent the request. Requests and replies may be lost or late
 * and, except for starts, repeated. A caller submits one request with a stamp any
 * number of times to any daemon, and with a new stamp and key after the reply
 * "not run".
 *
 * Code: membership.ownership: owns, record_granted, may_start, choose_requests,
 * record_lease_lost, get_lease_epoch.
 *
 * Bounds: 2 daemons, one ownership each; 3 workers; 1 worker restart; the
 * request is submitted under 2 keys at most.
 *
 * Twins: NAIVE_KEY accepts keys of an older epoch; NAIVE_WORKER does not
 * check the lease at the worker; NAIVE_RETRY repeats a start that was not
 * answered; NAIVE_FENCE replies "not run" without the leases of all workers;
 * NAIVE_RESTART trusts that a restarted worker has started nothing;
 * NAIVE_ARRIVAL counts leases from the arrival of the grant; NAIVE_EPOCH lets two
 * daemons choose the same epoch.
 */
#define DAEMONS 2
#define WORKERS 3
#define QUORUM 2
#define NOBODY 2

typedef Lease {
	bit granted[WORKERS];    /* the grant is in transit or has arrived */
	bit live[WORKERS]        /* lease_until > now, by the daemon's clock */
}

/* Workers. */
byte holder[WORKERS] = NOBODY;
bit lease_live[WORKERS];
byte max_epoch[WORKERS];
bit seen[WORKERS];
bit restarted[WORKERS];
byte restarts;

/* Daemons. */
byte epoch[DAEMONS];
bit up[DAEMONS] = 1;
Lease lease[DAEMONS];
byte keys[DAEMONS];          /* bit mask of the keys recorded */
bit pending[DAEMONS];        /* a task is waiting to be started */
byte chosen[DAEMONS];        /* worker + 1: checked, not yet sent */
byte sent[DAEMONS];          /* worker + 1: the start is in transit */
bit refused[DAEMONS];        /* "not run" is in transit */
bit unanswered[DAEMONS];     /* a start was sent, no reply has arrived */

/* The caller. */
byte stamp;                  /* epoch of the stamp; 0 if none */
byte key;                    /* 0 or 1 */

byte starts;

#define count_live(d) (lease[d].live[0] + lease[d].live[1] + lease[d].live[2])
#define owns(d) (up[d] && count_live(d) >= QUORUM)

#ifdef NAIVE_ARRIVAL
#define is_in_time(d, w) true
#define may_end(w) true
#else
#define is_in_time(d, w) (holder[w] == d && lease_live[w])
#define may_end(w) (!lease[holder[w]].live[w])
#endif

inline lease_worker(d, w) {
	/* The worker grants the lease; the request may be old. */
	atomic {
		(holder[w] != d || !lease_live[w]) &&
		(holder[w] == d || !lease_live[w]) &&
		(epoch[d] > max_epoch[w] ||
		 (holder[w] == d && epoch[d] == max_epoch[w])) ->
		holder[w] = d;
		lease_live[w] = 1;
		max_epoch[w] = epoch[d];
		lease[d].granted[w] = 1
	}
}

inline record_granted(d, w) {
	atomic {
		up[d] && lease[d].granted[w] && !lease[d].live[w] &&
		is_in_time(d, w) -> lease[d].live[w] = 1;
		assert(restarts || owns(0) + owns(1) <= 1)
	}
}

inline expire_lease(d, w) {
	atomic { lease[d].live[w] -> lease[d].live[w] = 0 }
}

inline choose_start(d, w) {
	/* may_start: the lease is checked; the daemon may pause before sending. */
	atomic {
		owns(d) && pending[d] && lease[d].live[w] ->
		pending[d] = 0;
		chosen[d] = w + 1
	}
}

inline settle(d) {
	/* Answer "not run" for a request of an older epoch. */
	atomic {
		owns(d) && stamp && stamp < epoch[d] && key == 0 &&
#ifndef NAIVE_FENCE
		count_live(d) == WORKERS &&
#endif
#ifndef NAIVE_RESTART
		!restarted[0] && !restarted[1] && !restarted[2] &&
#endif
		!seen[0] && !seen[1] && !seen[2] ->
		stamp = 0;
		key = 1
	}
}

proctype Daemon(byte d) {
	do
	:: lease_worker(d, 0)
	:: lease_worker(d, 1)
	:: lease_worker(d, 2)
	:: record_granted(d, 0)
	:: record_granted(d, 1)
	:: record_granted(d, 2)
	:: expire_lease(d, 0)
	:: expire_lease(d, 1)
	:: expire_lease(d, 2)
	:: atomic { owns(d) && !stamp -> stamp = epoch[d] }
	:: atomic { /* submit */
		owns(d) && stamp && !(keys[d] & (1 << key)) &&
#ifdef NAIVE_KEY
		stamp <= epoch[d] &&
#else
		stamp == epoch[d] &&
#endif
		!pending[d] && !chosen[d] && !sent[d] ->
		keys[d] = keys[d] | (1 << key);
		pending[d] = 1
	   }
	:: choose_start(d, 0)
	:: choose_start(d, 1)
	:: choose_start(d, 2)
	:: atomic { up[d] && chosen[d] ->
		sent[d] = chosen[d]; chosen[d] = 0; unanswered[d] = 1 }
	:: atomic { up[d] && refused[d] -> /* retried only if "not run" */
		refused[d] = 0; unanswered[d] = 0; pending[d] = 1 }
#ifdef NAIVE_RETRY
	:: atomic { up[d] && unanswered[d] && !refused[d] && !sent[d] ->
		unanswered[d] = 0; pending[d] = 1 }
#endif
	:: settle(d)
	:: atomic { up[d] -> /* it dies; the start it sent is still in transit */
		up[d] = 0; pending[d] = 0; chosen[d] = 0; refused[d] = 0;
		unanswered[d] = 0; keys[d] = 0;
		lease[d].live[0] = 0; lease[d].live[1] = 0; lease[d].live[2] = 0 }
	od
}

inline start(w, d) {
	/* A start arrives. */
	atomic {
		sent[d] == w + 1 ->
		sent[d] = 0;
		if
#ifdef NAIVE_WORKER
		:: true ->
#else
		:: holder[w] == d && lease_live[w] ->
#endif
			starts++;
			seen[w] = 1;
			assert(starts <= 1)
		:: else -> refused[d] = up[d]
		fi
	}
}

proctype Worker(byte w) {
	do
	:: start(w, 0)
	:: start(w, 1)
	:: atomic { /* the lease ends here after it has ended at its holder */
		lease_live[w] && may_end(w) -> lease_live[w] = 0 }
	:: atomic { restarts < 1 -> /* restart: its connections break */
		restarts++; restarted[w] = 1; seen[w] = 0;
		holder[w] = NOBODY; lease_live[w] = 0; max_epoch[w] = 0;
		if :: sent[0] == w + 1 -> sent[0] = 0 :: else fi;
		if :: sent[1] == w + 1 -> sent[1] = 0 :: else fi;
		if :: chosen[0] == w + 1 -> chosen[0] = 0 :: else fi;
		if :: chosen[1] == w + 1 -> chosen[1] = 0 :: else fi }
	od
}

proctype Network() {
	do
	:: atomic { sent[0] -> sent[0] = 0 }
	:: atomic { sent[1] -> sent[1] = 0 }
	:: atomic { refused[0] -> refused[0] = 0 }
	:: atomic { refused[1] -> refused[1] = 0 }
	od
}

init {
	atomic {
#ifdef NAIVE_EPOCH
		epoch[0] = 1; epoch[1] = 1;
#else
		epoch[0] = 1; epoch[1] = 2;
#endif
		run Daemon(0); run Daemon(1);
		run Worker(0); run Worker(1); run Worker(2);
		run Network()
	}
}
