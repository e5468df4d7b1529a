/*
 * A task that crashes each worker that starts it takes down few workers, though
 * the owner that counts the crashes may die.
 *
 * An owner starts the task, and learns of the crash of its worker once the lease
 * of the run has expired. It counts the crash and tells the job's gateway. Owners
 * may die at any step, and with them what they know and what they have not yet
 * told. The next owner gets the job with the gateway's count. It finds a run that
 * is active, but not one whose worker has crashed meanwhile.
 *
 * Code: scheduling.crashes: record_crash, list_crashes.
 *
 * Bounds: 1 task, 2 deaths of owners. A report arrives before a lease expires,
 * so before the task starts again.
 *
 * Twins: NAIVE_LIMIT starts the task whatever was counted; NAIVE_COUNT does not
 * count a crash; NAIVE_OWNER does not tell the gateway; NAIVE_GATEWAY forgets what
 * it was told when the owner dies; NAIVE_CLAIM does not ask the gateway; NAIVE_ORDER
 * may start the task before its report has arrived.
 */
#define MAX_SUSPICIONS 2
#define MAX_DEATHS 2

#define NONE 0
#define ACTIVE 1
#define CRASHED 2

byte task = NONE;       /* state of the run on its worker */
bit known;              /* the owner knows of the run */
bit up = 1;
bit reporting;          /* a report to the gateway is in transit */
byte counted;           /* by the owner */
byte told;              /* the gateway's count */
byte deaths;
byte crashes;

proctype Owner() {
end:	do
	:: atomic { /* start */
		up && task == NONE &&
#ifndef NAIVE_LIMIT
		counted < MAX_SUSPICIONS &&
#endif
#ifndef NAIVE_ORDER
		!reporting &&
#endif
		true ->
		task = ACTIVE; known = 1
	   }
	:: atomic { /* the lease has expired */
		up && task == CRASHED && known ->
		task = NONE; known = 0;
#ifndef NAIVE_COUNT
		counted++;
#endif
#ifndef NAIVE_OWNER
		reporting = 1
#endif
	   }
	:: atomic { /* an unknown run is over once its lease has expired */
		up && task == CRASHED && !known -> task = NONE
	   }
	:: atomic { /* death */
		up && deaths < MAX_DEATHS ->
#ifdef NAIVE_GATEWAY
		told = 0;
#endif
		deaths++; up = 0; known = 0; reporting = 0
	   }
	:: atomic { /* the next owner claims and polls the workers */
		!up ->
#ifdef NAIVE_CLAIM
		up = 1; counted = 0;
#else
		up = 1; counted = told;
#endif
		if
		:: task == ACTIVE -> known = 1
		:: else -> skip
		fi
	   }
	od
}

proctype Gateway() {
end:	do
	:: atomic { reporting -> told = counted; reporting = 0 }
	od
}

proctype Worker() {
end:	do
	:: atomic {
		task == ACTIVE ->
		task = CRASHED; crashes++;
		assert(crashes <= MAX_SUSPICIONS + deaths)
	   }
	od
}

init {
	atomic { run Owner(); run Gateway(); run Worker() }
}
