/*
 * Leases of one worker that several owners grant in turn.
 *
 * The first owner has started a run, and then loses the worker. Its last polls may still
 * arrive, though their replies are lost. At any time, or never, it loses its link to the
 * gateway of the run's job, which may be made again. Other daemons, which reach the
 * worker, become owners, one after the other, at any time. Each polls the worker. The
 * gateway may reach the first owner and the others at the same time; it moves the attempt
 * to another owner, where it then claims the run, or it never does. The first owner starts
 * the task elsewhere once it takes the run for over, unless the attempt was cancelled
 * there. The two runs must never overlap. That the first owner ends an attempt whose
 * gateway is silent, or has not forwarded it over a new link, is left out: it is not
 * needed here, and searched in attempt_leases.
 *
 * One unit of time is a tenth of a second. A lease lasts for up to one unit longer on a
 * worker with a slow clock. Not modelled: messages of the gateway that take long, an
 * attempt that moves back to the first owner, pauses of a process, and the start of
 * the task elsewhere by a later owner.
 *
 * Code: scheduling.lease_limits: choose_expiry.
 * Code: scheduling.lease_expiry: prove_expired, find_expiry.
 * Code: scheduling.candidates: can_run.
 * Code: scheduling.gateway_links: record_change.
 *
 * Twins:
 * - NAIVE_HOLD: a worker ends a run whose lease has expired.
 * - NAIVE_WAIT: the first owner waits for that, also if the worker is silent.
 * - NAIVE_POLL: a poll does not extend the leases beside an unclaimed run.
 * - NAIVE_START: a worker with an unclaimed run gets no start, which extends them too.
 * - NAIVE_MARGIN: the first owner waits for a slow clock.
 * - NAIVE_CONTACT: the first owner hears from the gateway after the leases have expired.
 * - NAIVE_MOVE: the gateway cancels an attempt at its earlier owner as it moves.
 * - NAIVE_CONFIRM: a contact over a new link does not count until the attempt was
 *   forwarded over it.
 */

#define END 28
#define CUT_AT 2
#define HOLD 10
#define POLLS 4

#ifdef NAIVE_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

#define LOST 3
#ifdef NAIVE_WAIT
#define EXPIRED_AT (CUT_AT + LOST)
#else
#define EXPIRED_AT (granted_until + MARGIN)
#endif

#ifdef NAIVE_CONFIRM
#define IS_CONFIRMED true
#else
#define IS_CONFIRMED is_confirmed
#endif
#ifdef NAIVE_CONTACT
#define IS_OVER (now >= EXPIRED_AT)
#else
#define IS_OVER (now >= EXPIRED_AT && IS_CONFIRMED && heard_at >= EXPIRED_AT)
#endif

#define MAX(a, b) (a > b -> a : b)

byte now = 1;

/* The worker, and how much longer its lease lasts by a slow clock. */
bool is_running = true;
byte leased_until = 11;
byte slow = 0;

/* The first owner. */
byte granted_until = 11;
byte heard_at = 1;
bool is_confirmed = true;
bool has_attempt = true;
bool has_started = false;

/* The gateway, and its link to the first owner. */
bool is_linked = true;
byte changes = 0;
bool has_moved = false;

/* The owner that reaches the worker. */
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

inline expire() {
  if
#ifndef NAIVE_HOLD
  :: now >= leased_until + slow -> is_running = false
#endif
  :: else -> skip
  fi
}

inline change_link() {
  if
  :: changes < 2 ->
     changes++;
     is_linked = !is_linked;
     is_confirmed = false
  :: true -> skip
  fi
}

/* Forwards the attempt over a new link, and sends a frame. */
inline reach_first_owner() {
  if
  :: is_linked ->
     if
     :: has_attempt && !has_moved -> is_confirmed = true
     :: true -> skip
     fi;
     heard_at = now
  :: true -> skip
  fi
}

inline move_attempt() {
  if
  :: has_owner && !has_moved ->
     has_moved = true;
#ifndef NAIVE_MOVE
     if
     :: is_linked -> has_attempt = false
     :: else -> skip
     fi
#endif
  :: true -> skip
  fi
}

inline serve_first() {
  if
  :: now < CUT_AT + POLLS ->
     granted_until = now + HOLD;
     if
     :: leased_until = MAX(leased_until, granted_until)
     :: now >= CUT_AT -> skip    /* The poll is lost. */
     fi
  :: now >= CUT_AT -> skip    /* The worker is lost. */
  fi;
  if
  :: IS_OVER && has_attempt -> has_started = true
  :: else -> skip
  fi
}

inline change_owner() {
  if
  :: has_owner = true;
     is_claimed = false
  :: true -> skip
  fi
}

inline serve_later() {
  if
  :: is_running && MAY_RENEW -> leased_until = MAX(leased_until, now + HOLD)
  :: is_running && MAY_START -> leased_until = MAX(leased_until, now + HOLD)
  :: is_running && !is_claimed -> is_running = false    /* it is stopped */
  :: true -> skip
  fi;
  if
  :: has_moved -> is_claimed = true
  :: true -> skip
  fi
}

init {
  if
  :: slow = 1
  :: skip
  fi;
  do
  :: now < END && is_running && has_attempt ->
     atomic {
       now++;
       expire();
       change_link();
       reach_first_owner();
       change_link();
       change_owner();
       move_attempt();
       if
       :: has_owner -> serve_later()
       :: else -> skip
       fi;
       serve_first();
       assert(!(has_started && is_running))
     }
  :: else -> break    /* No second run can begin any more. */
  od
}
