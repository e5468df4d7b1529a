/*
 * Two attempts of one job at owners that do not know of each other.
 *
 * The first attempt has a run in the group of the first owner. At any time, its
 * gateway falls silent: it is cut off, frozen or killed. At any time, the caller's
 * connection breaks. The cancellation reaches the first owner unless the gateway was
 * silent before. After a fixed time the caller submits the job again, and the second
 * owner starts the task at once. The two runs must never overlap.
 *
 * The first owner may be suspended at any time and for any time, again and again; the
 * longest suspension stands for its death. It reads what has arrived after its next tick,
 * and renews the lease of the run before. Orders to stop the run may be lost, all of
 * them.
 *
 * One unit of time is a tenth of a second. A worker stops a run one unit after the
 * order. The caller's connection breaks within a second. Not modelled: an owner that takes over from the first one.
 *
 * Code: scheduling.attempt_leases: Contacts, end_expired.
 * Code: scheduling.lease_limits: choose_expiry.
 *
 * That an attempt ends soon after its gateway has fallen silent is not needed for this;
 * it stops the run before the lease ends, which the worker's other runs share.
 *
 * Twins:
 * - NAIVE_HOLD: a worker ends a run whose lease has expired.
 * - NAIVE_CANCEL: an owner ends an attempt that is cancelled.
 * - NAIVE_LIMIT: the lease ends soon after the last contact with the gateway, also if
 *   the owner is suspended or its orders are lost.
 * - NAIVE_STOPPED: the lease is limited also after the end of the attempt.
 * - NAIVE_HEARD: that limit counts from the last contact if it was before the end.
 * - NAIVE_PAUSE: what is read after a tick counts as heard at the tick before, as it
 *   may have arrived while the owner was suspended.
 */

#define END 26
#define RESUBMISSION 13
#define LAST_LEFT (END - RESUBMISSION)
#define HOLD 10
#define LATE 1
#define NOT_YET 255

#define LEASE 9
#define LIMIT 12

byte now = 3;
bool is_silent = false;
byte left_at = NOT_YET;

/* What has arrived at the first owner and was not read yet. */
bool has_heartbeat = false;
bool has_cancellation = false;

/* The first owner. */
bool serves = true;
byte heard_at = 1;
byte tick_before = 1;
byte last_tick = 2;
byte this_tick = 3;

/* The run of the first attempt. */
bool is_running = true;
byte ends_by = NOT_YET;       /* set when the attempt has ended */
byte leased_until = 13;
byte stopped_at = NOT_YET;

/* Nothing expires on a tick that comes late, unless the tick before was late too. */
#define IS_SKIPPED (this_tick > last_tick + LATE && last_tick <= tick_before + LATE)
#define MIN(a, b) (a < b -> a : b)
#define MAX(a, b) (a > b -> a : b)

#ifdef NAIVE_STOPPED
#define ENDED_LIMIT NOT_YET
#else
#define ENDED_LIMIT ends_by
#endif

#ifdef NAIVE_LIMIT
#define ALLOWED (serves -> now + HOLD : 0)
#else
#define ALLOWED MIN(now + HOLD, (serves -> heard_at + LIMIT : ENDED_LIMIT))
#endif

inline end_attempt() {
  if
  :: serves ->
     serves = false;
#ifdef NAIVE_HEARD
     ends_by = now + LIMIT
#else
     ends_by = MIN(now, heard_at) + LIMIT
#endif
  :: else -> skip
  fi
}

inline stop() {
  if
  :: !serves && stopped_at == NOT_YET -> stopped_at = now + 1
  :: true -> skip             /* the order is lost */
  fi
}

inline tick() {
  tick_before = last_tick;
  last_tick = this_tick;
  this_tick = now;
  if
  :: !IS_SKIPPED && now > heard_at + LEASE -> end_attempt()
  :: else -> skip
  fi;
  leased_until = MAX(leased_until, ALLOWED);
  stop()
}

inline read_messages() {
  if
  :: has_heartbeat ->
     has_heartbeat = false;
#ifdef NAIVE_PAUSE
     heard_at = now
#else
     heard_at = last_tick     /* the tick before this one */
#endif
  :: else -> skip
  fi;
  if
#ifndef NAIVE_CANCEL
  :: has_cancellation -> has_cancellation = false; end_attempt(); stop()
#endif
  :: else -> skip
  fi
}

init {
  do
  :: now < END && is_running &&
     (left_at == NOT_YET || now < left_at + RESUBMISSION) ->
     atomic {
       now++;
       /* The gateway and the caller. */
       if
       :: !is_silent -> has_heartbeat = true
       :: else -> skip
       fi;
       if
       :: !is_silent -> is_silent = true
       :: true -> skip
       fi;
       if
       :: left_at == NOT_YET && now <= LAST_LEFT ->
          left_at = now;
          has_cancellation = !is_silent
       :: true -> skip
       fi;
       /* The first owner, unless it is suspended now. */
       if
       :: true -> tick(); read_messages()
       :: true -> skip
       fi;
       /* The worker. */
       if
#ifndef NAIVE_HOLD
       :: now >= leased_until -> is_running = false
#endif
       :: now >= stopped_at -> is_running = false
       :: else -> skip
       fi;
       /* The second owner. */
       assert(!(left_at != NOT_YET && now == left_at + RESUBMISSION &&
                is_running))
     }
  :: else -> break
  od
}
