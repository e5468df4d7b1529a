/*
 * Leases of one worker that several owners grant in turn.
 *
 * The first owner has started a run. At any time, a partition cuts the worker off from it,
 * and, if the gateway of the run's job is inside, that one too. Daemons inside become
 * owners, one after the other, at any time. Each polls the worker; the gateway inside
 * claims the run there, or nobody does. The first owner starts the task elsewhere once
 * the leases that it has granted have expired, unless the attempt of the job has ended
 * there. The two runs must never overlap.
 *
 * One unit of time is a tenth of a second. A lease lasts for up to one unit longer on a
 * worker with a slow clock. Not modelled: a gateway that reaches both owners, and a first
 * owner that loses the worker before it loses the gateway.
 *
 * Code: scheduling.lease_limits: choose_expiry.
 * Code: scheduling.candidates: can_run.
 * Code: scheduling.attempt_leases: end_expired.
 *
 * Twins:
 * - NAIVE_HOLD: a worker ends a run whose lease has expired.
 * - NAIVE_WAIT: the first owner waits for that, also if the worker is silent.
 * - NAIVE_POLL: a poll does not extend the leases beside an unclaimed run.
 * - NAIVE_START: a worker with an unclaimed run gets no start, which extends them too.
 * - NAIVE_ATTEMPT: the first owner ends an attempt whose gateway is silent.
 * - NAIVE_MARGIN: the first owner waits for a slow clock.
 */

#define END 28
#define LAST_CUT 6
#define HOLD 10
#define ATTEMPT 9
#define NOT_YET 255

#ifdef NAIVE_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

#define LOST 3
#ifdef NAIVE_WAIT
#define IS_OVER (cut_at != NOT_YET && now >= cut_at + LOST)
#else
#define IS_OVER (now >= granted_until + MARGIN)
#endif

#define MAX(a, b) (a > b -> a : b)

byte now = 1;
byte cut_at = NOT_YET;
bool is_gateway_inside = false;

/* The worker, and how much longer its lease lasts by a slow clock. */
bool is_running = true;
byte leased_until = 11;
byte slow = 0;

/* The first owner. */
byte granted_until = 11;
byte heard_at = 1;
bool has_attempt = true;
bool has_started = false;

/* The owner inside. */
bool has_owner = false;
bool is_claimed = false;

#ifdef NAIVE_POLL
#define MAY_RENEW true
#else
#define MAY_RENEW is_claimed
#endif
#ifdef NAIVE_START
#define MAY_START true
#else
#define MAY_START is_claimed
#endif

inline serve_outside() {
  if
  :: cut_at == NOT_YET ->
     granted_until = now + HOLD;
     leased_until = MAX(leased_until, granted_until)
  :: else -> skip
  fi;
  if
  :: cut_at == NOT_YET || !is_gateway_inside -> heard_at = now
  :: else -> skip
  fi;
#ifndef NAIVE_ATTEMPT
  if
  :: now >= heard_at + ATTEMPT -> has_attempt = false
  :: else -> skip
  fi;
#endif
  if
  :: IS_OVER && has_attempt -> has_started = true
  :: else -> skip
  fi
}

inline change_owner() {
  if
  :: cut_at != NOT_YET ->
     has_owner = true;
     is_claimed = false
  :: true -> skip
  fi
}

inline serve_inside() {
  if
  :: is_running && MAY_RENEW -> leased_until = MAX(leased_until, now + HOLD)
  :: is_running && MAY_START -> leased_until = MAX(leased_until, now + HOLD)
  :: is_running && !is_claimed -> is_running = false    /* it is stopped */
  :: true -> skip
  fi;
  if
  :: is_gateway_inside -> is_claimed = true
  :: true -> skip
  fi
}

init {
  if
  :: is_gateway_inside = true
  :: skip
  fi;
  if
  :: slow = 1
  :: skip
  fi;
  do
  :: now < END ->
     atomic {
       now++;
       if
       :: cut_at == NOT_YET && now <= LAST_CUT -> cut_at = now
       :: true -> skip
       fi;
       change_owner();
       if
       :: has_owner -> serve_inside()
       :: else -> skip
       fi;
       if
#ifndef NAIVE_HOLD
       :: now >= leased_until + slow -> is_running = false
#endif
       :: else -> skip
       fi;
       serve_outside();
       assert(!(has_started && is_running))
     }
  :: else -> break
  od
}
