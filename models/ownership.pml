/*
 * Ownership of a group of workers: claim, hand-over, fencing and adoption.
 *
 * Two daemons may claim the group at any time, each with a higher epoch than
 * all before, even while the other one is still the owner. Orders to workers
 * are delayed without limit and may arrive after later ones. The only task of
 * the only job must never run on two workers at the same time.
 *
 * A worker's row may expire although the worker runs on, so that an owner which
 * reads the list later does not know the worker. A daemon may be restarted; it
 * then learns from a heartbeat of the other one, delayed without limit, whether
 * a row has expired. The wait until all leases have expired is not modelled: an
 * owner that does not know whether the list is complete starts nothing.
 *
 * Bounds: 2 daemons, 2 workers, 3 claims, 2 orders under way to each worker, 1
 * expired row, 1 restart.
 *
 * Code: cluster.ownership, scheduling.recovery, scheduling.runs.knows_all_runs.
 * Code: fleet.worker_lists: ListHistory.
 *
 * Twins:
 * - NAIVE_FENCE: a worker rejects orders with a lower epoch than it has seen.
 * - NAIVE_POLL: a new owner starts the task only once it has polled all workers.
 * - NAIVE_ADOPT: it adopts the run that a poll shows.
 * - NAIVE_SEEN: a worker remembers the epoch of a poll.
 * - NAIVE_CLAIM: a claim has a higher epoch than all before.
 * - NAIVE_REBUILD: a daemon that claims again polls all workers again, as the
 *   other one may have started the task meanwhile.
 * - NAIVE_LIST: a worker that is not listed runs nothing only if it is known that
 *   no row has expired.
 * - NAIVE_OVERLAP: a restarted daemon believes a heartbeat only if its sender has
 *   read a version of the list that is not older than the first one read here.
 */

#define DAEMONS 2
#define WORKERS 2
#define CLAIMS 3
#define UNDER_WAY 2
#define EXPIRIES 1
#define RESTARTS 1

#ifdef NAIVE_POLL
#define HAS_POLLED true
#else
#define HAS_POLLED ((!list[0] || synced[0]) && (!list[1] || synced[1]))
#endif

#ifdef NAIVE_LIST
#define IS_LIST_COMPLETE true
#else
#define IS_LIST_COMPLETE (knows_list && !has_expired)
#endif

#ifdef NAIVE_OVERLAP
#define OVERLAPS true
#else
#define OVERLAPS (told_version[1 - d] >= first_read)
#endif

#define KNOWS_ALL_RUNS (has_read && HAS_POLLED && IS_LIST_COMPLETE)

byte claims = 0;
byte highest_epoch = 0;
byte seen_epoch[WORKERS];
bool running[WORKERS];

/* The workers' rows in the store, and its version. */
bool listed[WORKERS] = true;
byte version = 1;
byte expiries = 0;
byte restarts = 0;

/* The last heartbeat of each daemon. */
bool told_known[DAEMONS];
bool told_expired[DAEMONS];
byte told_version[DAEMONS];

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
  bool has_read = false;     /* the list has been read since the claim */
  bool list[WORKERS] = true;
  bool knows_list = true;    /* which rows expired is known */
  bool has_expired = false;
  byte first_read = 1;       /* version of the first read of this process */
  byte last_read = 1;
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
       has_read = false;
       epoch = highest_epoch
     }
  /* Read the list of workers. */
  :: atomic {
       last_read != version || (epoch > 0 && !has_read) ->
       has_expired = has_expired ||
           (list[0] && !listed[0]) || (list[1] && !listed[1]);
       list[0] = listed[0];
       list[1] = listed[1];
       if
       :: first_read == 0 -> first_read = version
       :: else -> skip
       fi;
       last_read = version;
       has_read = true
     }
  /* Tell the other daemon. */
  :: atomic {
       knows_list && (!told_known[d] || told_expired[d] != has_expired ||
           told_version[d] != last_read) ->
       told_known[d] = true;
       told_expired[d] = has_expired;
       told_version[d] = last_read
     }
  /* Inherit what the other daemon has told. */
  :: atomic {
       !knows_list && first_read > 0 && told_known[1 - d] && OVERLAPS ->
       knows_list = true;
       has_expired = has_expired || told_expired[1 - d]
     }
  /* Restart. */
  :: atomic {
       restarts < RESTARTS ->
       restarts++;
       epoch = 0; has_run = false; has_read = false;
       synced[0] = false; synced[1] = false;
       list[0] = false; list[1] = false;
       knows_list = false; has_expired = false;
       first_read = 0; last_read = 0;
       told_known[d] = false; told_version[d] = 0; told_expired[d] = false
     }
  /* Poll a worker: it follows the epoch and reports its runs. */
  :: atomic {
       epoch > 0 && (list[0] || list[1]) ->
       if
       :: list[0] -> w = 0
       :: list[1] -> w = 1
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
       epoch > 0 && !has_run && KNOWS_ALL_RUNS && list[0] && nfull(starts[0]) ->
       starts[0] ! epoch;
       has_run = true
     }
  :: atomic {
       epoch > 0 && !has_run && KNOWS_ALL_RUNS && list[1] && nfull(starts[1]) ->
       starts[1] ! epoch;
       has_run = true
     }
  :: timeout -> break
  od
}

/* A worker loses its access to the store and runs on. */
proctype Store() {
  atomic {
    expiries < EXPIRIES ->
    if
    :: listed[0] = false
    :: listed[1] = false
    fi;
    expiries++;
    version++
  }
}

init {
  atomic {
    byte i;
    for (i : 0 .. WORKERS - 1) { run Worker(i) }
    for (i : 0 .. DAEMONS - 1) { run Daemon(i) }
    run Store()
  }
}
