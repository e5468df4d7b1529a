/*
 * A task that crashes each worker that starts it takes down few workers, also when
 * its caller submits the job again, and a job is given up only for processes that have
 * ended or have not answered since, though workers are cut off and the owner that
 * counts the crashes may die.
 *
 * An owner starts the task. The run may crash its worker, and the worker may be cut
 * off and heal, again and again: its connections are reset, refused or even closed
 * in order, and its process lives on, but stops the run once the lease has expired.
 * The owner sees silence (then it counts a lost worker once the lease of the run has
 * expired), closed connections (then it suspects the task, too), or another process
 * (then it suspects the task if it has not yet, and if its start was confirmed). It
 * takes back what it counted as the same process answers, also after it has given the
 * job up. It tells the job's gateway each time, until the gateway has answered. The
 * caller may then submit the job again; the owner has kept the counts, the gateway has
 * not. Owners may die at any step, and with them what they know and what they have not
 * yet told. The next owner gets the job with the gateway's counts. It finds a run on a
 * worker that it reaches, and no other. A process may also end without a crash after
 * its worker was lost under the task.
 *
 * Shown: (a) a task crashes at most MAX_SUSPICIONS workers, or MAX_LOST_WORKERS if any
 * of its runs was lost without a suspicion at once, and one more for each owner that
 * dies; (b) if its job is submitted again after it was given up, at most as many under
 * each owner, as the crash of a run that goes on after its job was given up counts,
 * too; (c) until an owner dies, a job is given up, or given up again, only if as many
 * processes have ended or have not answered since as workers were counted as lost. So
 * a job that was given up starts again once everything was taken back. What a dead
 * owner has counted is never taken back, so (c) ends with it.
 *
 * Code: scheduling.crashes: record_crash, record_silent_loss, settle_loss,
 * prove_loss, list_crashes.
 * Code: scheduling.lost_runs: list_lost.
 * Code: scheduling.crash_outcomes: give_up, is_given_up.
 * Code: scheduling.job_ends: keep_crashes.
 * Code: scheduling.worker_losses: mark_reached, release_expired.
 *
 * Bounds: 1 task, 2 workers whose processes are replaced, 1 death of an owner, 1 start
 * after the job was given up. A report arrives before a lease expires, so before the
 * task starts again. At most one run has a lease (see ownership.pml). The counts of a
 * job that was given up are not yet forgotten as it is submitted again. What is known
 * of the queue, which gives up jobs earlier, is left out.
 *
 * Twins: NAIVE_LIMIT never gives the job up; NAIVE_COUNT does not count a crash;
 * NAIVE_OWNER does not tell the gateway; NAIVE_GATEWAY forgets what it was told when
 * the owner dies; NAIVE_CLAIM does not ask the gateway; NAIVE_ORDER may start the task
 * before its report has arrived; NAIVE_REFUSAL counts a refusal as a crash that nothing
 * takes back; NAIVE_WITHDRAW takes nothing back; NAIVE_TWICE counts a crash again as
 * another process answers; NAIVE_KEPT forgets the counts as the job ends;
 * NAIVE_ENDED does not count what happens to a run after its job was given up.
 */
#define WORKERS 2
#define MAX_SUSPICIONS 2
#define MAX_LOST_WORKERS 3
#define MAX_COUNT 4
#define MAX_DEATHS 1
#define MAX_RESTARTS 1

/* The process of a worker. */
#define IDLE 0
#define ACTIVE 1
#define CRASHED 2

/* What the owner has counted for a lost worker. */
#define NONE 0
#define SILENT 1
#define SUSPECTED 2

byte process[WORKERS];
bit cut[WORKERS];
bit stopped[WORKERS];   /* it has stopped the run itself, and not yet answered */
bit replaced[WORKERS];  /* another process is there than the owner knows */
byte leased = WORKERS;  /* the worker on which a run has a lease, if any */

bit up = 1;
bit known;              /* the owner knows of the run with the lease */
bit recorded;           /* the crash of its worker is recorded */
byte loss[WORKERS];
byte lost, suspicions;
bit over;               /* the owner has given the job up */

bit reporting;          /* a report to the gateway is in transit */
byte told_lost, told_suspicions;
bit answered;

byte deaths;
byte restarts;          /* starts of the job after it was given up */
bit is_again;           /* it was submitted again */
byte crashes;
byte ends;              /* processes that have ended after they started the task */
bit is_unsuspected;     /* a loss was counted, but not suspected */

#define is_lost(w) (cut[w] || process[w] == CRASHED || replaced[w])
#define is_pending(w) (loss[w] != NONE && process[w] != CRASHED && !replaced[w])
#define is_limit (suspicions >= MAX_SUSPICIONS || lost >= MAX_LOST_WORKERS)
#ifdef NAIVE_ENDED
#define IS_COUNTED (!over)
#else
#define IS_COUNTED true
#endif
#define LIMIT (is_unsuspected -> MAX_LOST_WORKERS : MAX_SUSPICIONS)

/* Counts beyond the limits make no difference. */
inline add_loss() {
	if
	:: lost < MAX_COUNT -> lost++
	:: else -> skip
	fi
}

inline add_suspicion() {
	if
	:: suspicions < MAX_COUNT -> suspicions++
	:: else -> skip
	fi
}

inline report() {
#ifndef NAIVE_OWNER
	reporting = 1
#else
	skip
#endif
}

inline give_up() {
	if
#ifdef NAIVE_LIMIT
	:: skip
#else
	:: !over && is_limit ->
		over = 1;
		assert(deaths || lost <= ends + is_pending(0) + is_pending(1))
	:: else -> skip
#endif
	fi
}

/* The process has ended, by closed connections or proved by another process. */
inline record(w, is_kept) {
	recorded = 1;
#ifndef NAIVE_COUNT
	add_loss();
	if
	:: add_suspicion()
	:: !is_kept -> is_unsuspected = 1 /* its start was not confirmed */
	fi;
	if
	:: is_kept -> loss[w] = SUSPECTED
	:: else -> skip
	fi;
#endif
	report();
	give_up()
}

inline prove(w) {
	if
#ifdef NAIVE_TWICE
	:: loss[w] == SUSPECTED ->
		add_loss(); add_suspicion(); loss[w] = NONE;
		report();
		give_up()
#endif
	:: loss[w] == SILENT ->
		loss[w] = NONE;
		if
		:: add_suspicion();
			report();
			if
			:: leased == WORKERS -> give_up()
			:: leased < WORKERS && is_lost(leased) -> give_up()
			:: else -> skip
			fi
		:: skip /* its start was not confirmed, or the worker drains */
		fi
	:: else -> loss[w] = NONE
	fi;
	if
	:: known && leased == w && !recorded && IS_COUNTED -> record(w, 0)
	:: else -> skip
	fi
}

inline forget_run(w) {
	if
	:: leased == w -> leased = WORKERS; known = 0; recorded = 0
	:: else -> skip
	fi
}

/* What the owner learns of one worker. */
proctype Session(byte w) {
end:	do
	:: atomic { /* start */
		up && !over && !answered && leased == WORKERS &&
		process[w] == IDLE && !is_lost(w) && !stopped[w] && loss[w] == NONE &&
#ifndef NAIVE_ORDER
		!reporting &&
#endif
		true ->
		process[w] = ACTIVE; leased = w; known = 1; recorded = 0
	   }
	:: atomic { /* closed connections, then refusals */
		up && IS_COUNTED && known && leased == w && !recorded &&
		(cut[w] || process[w] == CRASHED) ->
#ifdef NAIVE_REFUSAL
		record(w, 0)
#else
		record(w, 1)
#endif
	   }
	:: atomic { /* a poll finds another process at the address */
		up && replaced[w] && !cut[w] && process[w] != CRASHED &&
		(loss[w] != NONE ||
		(known && leased == w && !recorded && IS_COUNTED)) ->
		prove(w)
	   }
	:: atomic { /* another process answers under the worker's id */
		up && replaced[w] && !cut[w] && process[w] != CRASHED ->
		prove(w);
		replaced[w] = 0;
		forget_run(w)
	   }
	:: atomic { /* the same process answers */
		up && !is_lost(w) &&
		(loss[w] != NONE || stopped[w] ||
		(leased == w && process[w] == ACTIVE && (recorded || !known))) ->
		if
		:: loss[w] != NONE ->
#ifndef NAIVE_WITHDRAW
			if
			:: lost > 0 -> lost--
			:: else -> skip
			fi;
			if
			:: loss[w] == SUSPECTED && suspicions > 0 -> suspicions--
			:: else -> skip
			fi;
#endif
			report()
		:: else -> skip
		fi;
		loss[w] = NONE; stopped[w] = 0;
		if
		:: leased == w && process[w] == ACTIVE -> known = 1; recorded = 0
		:: else -> forget_run(w)
		fi
	   }
	:: atomic { /* the run of a job that was given up is stopped */
		up && over && leased == w && process[w] == ACTIVE && !is_lost(w) ->
		process[w] = IDLE;
		forget_run(w)
	   }
	:: atomic { /* the lease has expired */
		up && leased == w && process[w] != ACTIVE && is_lost(w) ->
		if
		:: known && !recorded && IS_COUNTED ->
#ifndef NAIVE_COUNT
			add_loss(); loss[w] = SILENT; is_unsuspected = 1;
#endif
			report();
			give_up()
		:: else -> skip
		fi;
		forget_run(w)
	   }
	od
}

proctype Worker(byte w) {
end:	do
	:: atomic {
		process[w] == ACTIVE ->
		process[w] = CRASHED; crashes++; ends++;
		assert(crashes <= (is_again ->
			LIMIT * (deaths + 1) : LIMIT + deaths))
	   }
	:: atomic { /* the lease has expired */
		process[w] == ACTIVE && cut[w] ->
		process[w] = IDLE; stopped[w] = 1
	   }
	:: atomic { /* a process ends for another reason, and is replaced */
		process[w] == IDLE && !replaced[w] &&
		(stopped[w] || loss[w] != NONE) ->
		ends++; replaced[w] = 1; stopped[w] = 0
	   }
	:: atomic { /* another process takes its place */
		process[w] == CRASHED -> process[w] = IDLE; replaced[w] = 1
	   }
	:: cut[w] = !cut[w]
	od
}

proctype Owner() {
end:	do
	:: atomic { /* death */
		up && deaths < MAX_DEATHS ->
		deaths++; up = 0; known = 0; recorded = 0; reporting = 0; over = 0;
		lost = 0; suspicions = 0;
		loss[0] = NONE; loss[1] = NONE;
#ifdef NAIVE_GATEWAY
		told_lost = 0; told_suspicions = 0
#endif
	   }
	:: atomic { /* the next owner claims and knows no process yet */
		!up ->
		up = 1;
		replaced[0] = 0; replaced[1] = 0;
#ifndef NAIVE_CLAIM
		lost = told_lost; suspicions = told_suspicions;
#endif
		over = answered;
		if
		:: leased < WORKERS && process[leased] == ACTIVE && !cut[leased] ->
			known = 1
		:: leased < WORKERS && process[leased] != ACTIVE -> /* expires */
			leased = WORKERS
		:: else -> skip
		fi
	   }
	od
}

proctype Gateway() {
end:	do
	:: atomic {
		reporting ->
		reporting = 0;
		if
		:: answered -> skip
		:: over -> answered = 1; told_lost = 0; told_suspicions = 0
		:: else -> told_lost = lost; told_suspicions = suspicions
		fi
	   }
	:: atomic { /* the caller submits the job again */
		answered && up && restarts < MAX_RESTARTS ->
		is_again = 1;
#ifdef NAIVE_KEPT
		lost = 0; suspicions = 0;
#endif
		if
		:: over && is_limit -> /* given up again */
			assert(deaths ||
				lost <= ends + is_pending(0) + is_pending(1))
		:: else -> over = 0; answered = 0; restarts++
		fi
	   }
	od
}

init {
	atomic {
		run Session(0); run Session(1);
		run Worker(0); run Worker(1);
		run Owner(); run Gateway()
	}
}
