/*
 * The tasks running under a plan never exceed its allowance in total.
 *
 * Each shard owns a base of the allowance and lends idle units one at a time.
 * Requests, grants and returns may be lost, late, repeated and reordered; during
 * a partition nothing is delivered. Owners may die while their runs continue. A
 * loan is `live` from the borrower's request until its term ends by the
 * borrower's clock; the lender's clock ends it later, as it counts from the grant
 * and adds a margin.
 *
 * Code: plans.escrow: owns_base, count_own_free, take, hold.
 * Code: plans.loans: choose_requests, grant, accept, choose_returns, record_return.
 * Code: plans.takeover: begin_takeover, record_worker_reply, list_held_from,
 * record_claim_reply.
 *
 * Bounds: 2 shards with a base of 1 or 2 units, 2 loans, 2 deaths in all.
 *
 * Twins: NAIVE_TAKEOVER uses own units at once as a new owner; NAIVE_CLAIM answers
 * a claim without knowing its own predecessor's runs; NAIVE_EPOCH accepts grants
 * of an older owner after a claim; NAIVE_OUTLAST starts runs that outlast the
 * loan; NAIVE_ARRIVAL counts the term from the arrival of the grant;
 * NAIVE_RETURN gives back units in use.
 */
#define SHARDS 2
#define LOANS 2
#define ALLOWANCE 3
#define DEATHS 2
#define other(s) (1 - s)
#define NO_REPLY 7

/* Shards: the ledger of the current owner, and the actual state. */
byte base[SHARDS];
byte epoch[SHARDS] = 1;
byte taken[SHARDS];          /* own units in use, according to the ledger */
byte survivors[SHARDS];      /* units of a predecessor's runs, as reported */
byte claimed_units[SHARDS];  /* units of runs elsewhere, from the claim reply */
bit awaited[SHARDS];         /* the other shard has not answered the claim */
bit awaits_worker[SHARDS];   /* the shard's workers have not answered */
byte claimed[SHARDS];        /* newest known owner epoch of the other shard */
byte held_reply[SHARDS];     /* units in a claim reply in transit to it */
bit held_loans[LOANS];       /* loans in the claim reply in transit */
byte old_runs[SHARDS];       /* runs on own units that dead owners started */
byte deaths;

/* Loans. */
typedef Loan {
	bit requested;       /* the request may be delivered at any time */
	byte borrower;
	byte borrower_epoch;
	byte granted_epoch;  /* the grant may be delivered at any time */
	bit pending;         /* the borrower waits for the grant */
	bit borrowed;        /* the borrower may use it */
	bit live;            /* its term has not ended */
	bit runs;            /* a task runs on it */
	bit lent;            /* the lender's ledger lists it */
	bit returned         /* the return may be delivered at any time */
}
Loan loan[LOANS];

#define lender(i) other(loan[i].borrower)
#define lent_by(i, s) (loan[i].requested && lender(i) == s && loan[i].lent)
#define count_lent(s) (lent_by(0, s) + lent_by(1, s))
#define is_owner(i) (loan[i].borrower_epoch == epoch[loan[i].borrower])
#define old_run(i, s) \
	(loan[i].runs && loan[i].borrower == s && !is_owner(i))
#define count_old_runs(s) (old_runs[s] + old_run(0, s) + old_run(1, s))
#define count_running() \
	(taken[0] + taken[1] + old_runs[0] + old_runs[1] + \
	 loan[0].runs + loan[1].runs)

#ifdef NAIVE_TAKEOVER
#define owns_base(s) true
#else
#define owns_base(s) (!awaited[s] && !awaits_worker[s])
#endif

#define count_own_free(s) (base[s] - taken[s] - survivors[s] - \
	claimed_units[s] - count_lent(s))
#define has_free(s) (owns_base(s) && count_own_free(s) > 0)

/* Loans granted by a dead owner of s that may still be used. */
#define may_be_used(i, s) (loan[i].live && lender(i) == s && \
	loan[i].granted_epoch && loan[i].granted_epoch < epoch[s])

#ifdef NAIVE_EPOCH
#define is_not_stale(i) true
#else
#define is_not_stale(i) (loan[i].granted_epoch >= claimed[loan[i].borrower])
#endif

#ifdef NAIVE_ARRIVAL
#define is_in_time(i) true
#else
#define is_in_time(i) loan[i].live
#endif

#ifdef NAIVE_RETURN
#define is_idle(i) true
#else
#define is_idle(i) !loan[i].runs
#endif

#ifdef NAIVE_OUTLAST
#define is_covered(i) true
#else
#define is_covered(i) !loan[i].runs
#endif

proctype Shard(byte s) {
	byte k;
	do
	:: atomic { has_free(s) -> /* take a unit and start a task */
		taken[s]++;
		assert(count_running() <= ALLOWANCE) }
	:: atomic { taken[s] -> taken[s]-- }
	:: atomic { old_runs[s] -> old_runs[s]-- }
	:: atomic { survivors[s] && count_old_runs(s) == 0 -> survivors[s] = 0 }
	:: atomic { claimed_units[s] && count_old_runs(other(s)) == 0 ->
		claimed_units[s] = 0 }
	:: atomic { deaths < DEATHS -> /* the owner dies and another takes over */
		deaths++;
		epoch[s]++;
		old_runs[s] = old_runs[s] + taken[s];
		taken[s] = 0;
		survivors[s] = 0;
		claimed_units[s] = 0;
		claimed[s] = 0;
		awaited[s] = 1;
		awaits_worker[s] = 1;
		held_reply[s] = NO_REPLY;
		for (k : 0 .. LOANS - 1) {
			if
			:: loan[k].requested && loan[k].borrower == s ->
				loan[k].pending = 0;
				loan[k].borrowed = 0
			:: else
			fi;
			if
			:: loan[k].requested && lender(k) == s ->
				loan[k].lent = 0;
				held_loans[k] = 0
			:: else
			fi
		}
		k = 0 }
	:: atomic { awaits_worker[s] -> /* record_worker_reply */
		awaits_worker[s] = 0;
		survivors[s] = count_old_runs(s) }
	:: atomic { /* list_held_from: s answers the other shard's claim */
		awaited[other(s)] && held_reply[other(s)] == NO_REPLY ->
		claimed[s] = epoch[other(s)];
		if
#ifndef NAIVE_CLAIM
		:: awaits_worker[s] -> skip
#endif
		:: else ->
			held_reply[other(s)] = survivors[s];
			for (k : 0 .. LOANS - 1) {
				held_loans[k] = held_loans[k] ||
				(loan[k].requested && loan[k].borrower == s &&
				 loan[k].borrowed)
			}
			k = 0
		fi }
	:: atomic { /* record_claim_reply */
		awaited[s] && held_reply[s] != NO_REPLY ->
		awaited[s] = 0;
		claimed_units[s] = held_reply[s];
		held_reply[s] = 0;
		for (k : 0 .. LOANS - 1) {
			if
			:: held_loans[k] && loan[k].borrower == other(s) ->
				loan[k].lent = loan[k].live;
				held_loans[k] = 0
			:: else
			fi
		}
		k = 0 }
	:: atomic { /* a term and a margin have passed since the takeover */
		(awaited[s] || awaits_worker[s]) &&
		!may_be_used(0, s) && !may_be_used(1, s) &&
		count_old_runs(s) == 0 ->
		awaited[s] = 0;
		awaits_worker[s] = 0 }
	od
}

proctype Borrowing(byte i) {
	do
	:: atomic { !loan[i].requested -> /* choose_requests */
		loan[i].requested = 1;
		if :: loan[i].borrower = 0 :: loan[i].borrower = 1 fi;
		loan[i].borrower_epoch = epoch[loan[i].borrower];
		loan[i].pending = 1;
		loan[i].live = 1 }
	:: atomic { /* grant, also for a repeated request */
		loan[i].requested && !loan[i].lent && !loan[i].returned &&
		has_free(lender(i)) ->
		loan[i].lent = 1;
		loan[i].granted_epoch = epoch[lender(i)] }
	:: atomic { /* accept */
		loan[i].pending && loan[i].granted_epoch && is_owner(i) &&
		is_not_stale(i) &&
		is_in_time(i) ->
		loan[i].pending = 0;
		loan[i].borrowed = 1;
		loan[i].live = 1 }
	:: atomic { /* take the loan and start a task */
		loan[i].borrowed && loan[i].live && !loan[i].runs ->
		loan[i].runs = 1;
		assert(count_running() <= ALLOWANCE) }
	:: atomic { loan[i].runs -> loan[i].runs = 0 }
	:: atomic { /* choose_returns */
		loan[i].borrowed &&
		is_idle(i) ->
		loan[i].borrowed = 0;
		loan[i].returned = 1 }
	:: atomic { /* record_return, also for a repeated return */
		loan[i].returned && loan[i].lent -> loan[i].lent = 0 }
	:: atomic { /* the term ends; no run outlasts it */
		loan[i].live &&
		is_covered(i) ->
		loan[i].live = 0;
		loan[i].borrowed = 0 }
	:: atomic { /* the term ends at the lender */
		loan[i].lent && !loan[i].live -> loan[i].lent = 0 }
	od
}

init {
	atomic {
		base[0] = 2;
		base[1] = 1;
		run Shard(0);
		run Shard(1);
		run Borrowing(0);
		run Borrowing(1)
	}
}
