/*
 * Ownership of a group of workers: claim, hand-over, fencing and adoption.
 *
 * Two daemons may claim the group at any time, each with a higher epoch than
 * all before, even while the other one is still the owner. Orders to workers
 * are delayed without limit and may arrive after later ones. The only task of
 * the only job must never run on two workers at the same time.
 *
 * Bounds: 2 daemons, 2 workers, 3 claims, 2 orders under way to each worker.
 *
 * Code: cluster.ownership, scheduling.recovery, scheduling.runs.knows_all_runs.
 *
 * Twins:
 * - NAIVE_FENCE: a worker rejects orders with a lower epoch than it has seen.
 * - NAIVE_POLL: a new owner starts the task only once it has polled all workers.
 * - NAIVE_ADOPT: it adopts the run that a poll shows.
 * - NAIVE_SEEN: a worker remembers the epoch of a poll.
 * - NAIVE_CLAIM: a claim has a higher epoch than all before.
 * - NAIVE_REBUILD: a daemon that claims again polls all workers again, as the
 *   other one may have started the task meanwhile.
 */

#define DAEMONS 2
#define WORKERS 2
#define CLAIMS 3
#define UNDER_WAY 2

#ifdef NAIVE_POLL
#define KNOWS_ALL_RUNS true
#else
#define KNOWS_ALL_RUNS (synced[0] && synced[1])
#endif

byte claims = 0;
byte highest_epoch = 0;
byte seen_epoch[WORKERS];
bool running[WORKERS];

chan starts[WORKERS] = [UNDER_WAY] of { byte };

proctype Worker(byte w) {
  byte epoch;
end:
  do
  :: starts[w] ? epoch ->
     atomic {
       if
#ifndef NAIVE_FENCE
       :: epoch < seen_epoch[w] -> skip
#endif
       :: else ->
          if
          :: epoch > seen_epoch[w] -> seen_epoch[w] = epoch
          :: else -> skip
          fi;
          running[w] = true;
          assert(!(running[0] && running[1]))
       fi
     }
  od
}

proctype Daemon(byte d) {
  byte epoch = 0;      /* 0 while this daemon is not the owner */
  bool synced[WORKERS];
  bool has_run = false;
  byte w;
  do
  /* Claim the group, for the first time or again. */
  :: atomic {
       claims < CLAIMS ->
       claims++;
#ifdef NAIVE_CLAIM
       highest_epoch = 1;
#else
       highest_epoch++;
#endif
#ifdef NAIVE_REBUILD
       if
       :: epoch == 0 -> synced[0] = false; synced[1] = false; has_run = false
       :: else -> skip
       fi;
#else
       synced[0] = false; synced[1] = false; has_run = false;
#endif
       epoch = highest_epoch
     }
  /* Poll a worker: it follows the epoch and reports its runs. */
  :: atomic {
       epoch > 0 ->
       if
       :: w = 0
       :: w = 1
       fi;
       if
       :: epoch < seen_epoch[w] -> epoch = 0   /* fenced: resign */
       :: else ->
#ifndef NAIVE_SEEN
          seen_epoch[w] = epoch;
#endif
          synced[w] = true;
#ifndef NAIVE_ADOPT
          has_run = has_run || running[w]
#endif
       fi
     }
  /* Start the task unless some worker runs it. */
  :: atomic {
       epoch > 0 && !has_run && KNOWS_ALL_RUNS ->
       if
       :: nfull(starts[0]) -> starts[0] ! epoch
       :: nfull(starts[1]) -> starts[1] ! epoch
       fi;
       has_run = true
     }
  :: timeout -> break
  od
}

init {
  atomic {
    byte i;
    for (i : 0 .. WORKERS - 1) { run Worker(i) }
    for (i : 0 .. DAEMONS - 1) { run Daemon(i) }
  }
}
