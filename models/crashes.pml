/*
 * A job is shown as failed only if two workers have crashed under its task, and a
 * task that crashes each worker that starts it takes down few workers, though
 * workers are cut off and the owner that counts the crashes may die.
 *
 * An owner starts the task. The run may crash its worker, and the worker may be cut
 * off and heal, again and again: its connections are reset, refused or even closed
 * in order, and its process lives on, but stops the run once the lease has expired.
 * The owner sees silence (then it counts a lost worker once the lease of the run has
 * expired), closed connections (then it suspects the task), or another process (then
 * a crash is proved). It takes back what it counted as the same process answers. It
 * tells the job's gateway each time. Owners may die at any step, and with them what
 * they know and what they have not yet told. The next owner gets the job with the
 * gateway's counts. It finds a run on a worker that it reaches, and no other.
 *
 * Shown: (a) a failed job has crashed MAX_SUSPICIONS workers; (b) a task crashes at
 * most MAX_SUSPICIONS workers, or MAX_LOST_WORKERS if any of its runs was lost in
 * silence, and one more for each owner that dies, proved or not; (c) until an owner
 * dies, a job ends only for workers that have crashed or have not answered since. Only
 * (c) needs that counts are taken back. What a dead owner has counted is never taken
 * back, so (c) ends with it.
 *
 * Not shown, as the code does not ensure it: NAIVE_RESTART lets a process end, without
 * a crash, after it has stopped the run itself; another process then proves a crash
 * that never was. NAIVE_CONFIRM keeps the run as another process answers, as the code
 * does if its start was not confirmed; the end of that process proves the crash again.
 *
 * Code: scheduling.crashes: record_crash, record_silent_loss, withdraw_crash,
 * list_crashes.
 * Code: scheduling.worker_losses: mark_reached, release_expired.
 *
 * Bounds: 1 task, 2 workers whose processes are replaced, 2 deaths of owners. A report
 * arrives before a lease expires, so before the task starts again. At most one run has
 * a lease (see ownership.pml).
 *
 * Twins: NAIVE_LIMIT starts the task whatever was counted; NAIVE_COUNT does not
 * count a crash; NAIVE_OWNER does not tell the gateway; NAIVE_GATEWAY forgets what
 * it was told when the owner dies; NAIVE_CLAIM does not ask the gateway; NAIVE_ORDER
 * may start the task before its report has arrived; NAIVE_REFUSAL takes a refusal for
 * a proof; NAIVE_UNPROVED fails the job without proofs; NAIVE_TWICE keeps a loss that
 * is proved, and NAIVE_RECORD does not keep that the crash is recorded, so that one
 * proof counts twice; NAIVE_WITHDRAW takes nothing back.
 */
#define WORKERS 2
#define MAX_SUSPICIONS 2
#define MAX_LOST_WORKERS 3
#define MAX_DEATHS 2

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
byte lost, suspicions, proved;
bit over;               /* the owner has ended the job */

bit reporting;          /* a report to the gateway is in transit */
byte told_lost, told_suspicions, told_proved;
bit answered;

byte deaths;
byte crashes;
bit is_silent;          /* a run was lost in silence */

#define is_lost(w) (cut[w] || process[w] == CRASHED || replaced[w])
#define is_pending(w) (loss[w] != NONE && process[w] != CRASHED && !replaced[w])

inline report() {
#ifndef NAIVE_OWNER
	reporting = 1
#else
	skip
#endif
}

inline fail() {
	over = 1;
	assert(crashes >= MAX_SUSPICIONS)
}

inline give_up() {
	if
#ifdef NAIVE_LIMIT
	:: skip
#else
	:: over -> skip
	:: !over && proved >= MAX_SUSPICIONS -> fail()
	:: !over && proved < MAX_SUSPICIONS &&
	   (suspicions >= MAX_SUSPICIONS || lost >= MAX_LOST_WORKERS) ->
#ifdef NAIVE_UNPROVED
		fail()
#else
		over = 1;
#endif
		assert(deaths ||
			lost <= crashes +
			is_pending(0) + is_pending(1))
	:: else -> skip
#endif
	fi
}

/* The process has ended, by closed connections or proved by another process. */
inline record(w, is_proved) {
#ifndef NAIVE_RECORD
	recorded = 1;
#endif
#ifndef NAIVE_COUNT
	lost++; suspicions++; proved = proved + is_proved;
	if
	:: is_proved -> skip
	:: else -> loss[w] = SUSPECTED
	fi;
#endif
	report();
	give_up()
}

inline prove(w) {
	if
	:: loss[w] != NONE && !over ->
		if
		:: loss[w] == SILENT -> suspicions++
		:: else -> skip
		fi;
		proved++;
#ifndef NAIVE_TWICE
		loss[w] = NONE;
#endif
		report();
		give_up()
	:: else -> skip
	fi;
	if
	:: known && leased == w && !recorded && !over -> record(w, 1)
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
#ifndef NAIVE_LIMIT
		suspicions < MAX_SUSPICIONS && lost < MAX_LOST_WORKERS &&
#endif
#ifndef NAIVE_ORDER
		!reporting &&
#endif
		true ->
		process[w] = ACTIVE; leased = w; known = 1; recorded = 0
	   }
	:: atomic { /* closed connections, then refusals */
		up && !over && known && leased == w && !recorded &&
		(cut[w] || process[w] == CRASHED) ->
#ifdef NAIVE_REFUSAL
		record(w, 1)
#else
		record(w, 0)
#endif
	   }
	:: atomic { /* a poll finds another process at the address */
		up && !over && replaced[w] && !cut[w] && process[w] != CRASHED -> prove(w)
	   }
	:: atomic { /* another process answers under the worker's id */
		up && replaced[w] && !cut[w] && process[w] != CRASHED ->
		prove(w);
		replaced[w] = 0; loss[w] = NONE;
#ifdef NAIVE_CONFIRM
		if
		:: leased == w -> recorded = 0
		:: else -> skip
		fi
#else
		forget_run(w)
#endif
	   }
	:: atomic { /* the same process answers */
		up && !is_lost(w) &&
		(loss[w] != NONE || stopped[w] ||
		(leased == w && process[w] == ACTIVE && (recorded || !known))) ->
		if
		:: loss[w] != NONE && !over ->
#ifndef NAIVE_WITHDRAW
			lost--;
			if
			:: loss[w] == SUSPECTED -> suspicions--
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
	:: atomic { /* the lease has expired */
		up && leased == w && process[w] != ACTIVE && is_lost(w) ->
		if
		:: known && !recorded && !over ->
#ifndef NAIVE_COUNT
			lost++; loss[w] = SILENT; is_silent = 1;
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
		process[w] = CRASHED; crashes++;
		assert(crashes <= deaths +
			(is_silent -> MAX_LOST_WORKERS : MAX_SUSPICIONS))
	   }
	:: atomic { /* the lease has expired */
		process[w] == ACTIVE && cut[w] ->
		process[w] = IDLE; stopped[w] = 1
	   }
	:: atomic { /* a process ends for another reason, and is replaced */
		process[w] == IDLE &&
#ifndef NAIVE_RESTART
		!stopped[w] &&
#endif
		true ->
		replaced[w] = 1; stopped[w] = 0
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
		up && deaths < MAX_DEATHS && !answered ->
		deaths++; up = 0; known = 0; recorded = 0; reporting = 0; over = 0;
		lost = 0; suspicions = 0; proved = 0;
		loss[0] = NONE; loss[1] = NONE;
#ifdef NAIVE_GATEWAY
		told_lost = 0; told_suspicions = 0; told_proved = 0
#endif
	   }
	:: atomic { /* the next owner claims and knows no process yet */
		!up ->
		up = 1;
		replaced[0] = 0; replaced[1] = 0;
#ifndef NAIVE_CLAIM
		lost = told_lost; suspicions = told_suspicions; proved = told_proved;
#endif
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
		told_lost = lost; told_suspicions = suspicions; told_proved = proved;
		answered = over; reporting = 0
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
