/*
 * Proof that traffic under a former configuration has stopped (docs/design.md,
 * 4.4): one slice, one holder, three witnesses with a quorum of two, versions 1
 * and 2, discrete time. A reporter collects statements one by one and claims
 * that version 2 is "complete".
 *
 * G1  After the claim no work is sent under version 1.
 * G2  At the claim no work under version 1 is running.
 *
 * A witness grants only requests whose version is not below its own. The
 * reporter collects statements of version 2 from a quorum and then again from
 * the same runs of these witnesses, which proves that all of them had the
 * version in force at one moment. The second statement names the holder if its
 * promise, or its work after the promise, may not have ended. The claim then
 * waits until the holder reports version 2 without older work, or until that
 * time has passed.
 *
 * Witnesses restart with empty memory. They rejoin with the highest version of
 * both others, which must not be restarting themselves. The holder may crash
 * once while its work continues; its next run may begin under version 1. Times
 * are represented as the time left; a late or lost message is a step that is
 * taken late or never. Exclusion between holders is covered by ownership.pml.
 * One abstraction is stronger than the implementation: a restarted witness
 * receives all answers in one step (docs/notes/model-checking.md).
 */
// FAULT no_version_check a witness grants to requests of an older version
// FAULT no_wait the claim does not wait for the holder that was named
// FAULT report_while_fresh a restarted witness names no holder
// FAULT rejoin_alone a restarted witness takes the version of a single answer
// FAULT other_incarnation the report of a new run counts for the crashed one
// FAULT minority one witness is enough for the claim
// FAULT single_round statements of different moments are put together

#define LEASE 1
#define WORK 2
/* How long work may continue after the lease, given that the last send is at
   least one tick before its expiry. */
#define OVERRUN (WORK - 1)
#define WITNESSES 3
#define QUORUM 2
#ifdef FAULT_minority
#define REPORTS 1
#else
#define REPORTS 2
#endif

/* The holder. */
byte version = 1;
byte lease;
byte round;          /* time left of the lease that the round requests */
byte roundVersion;
byte granted;        /* bit set of the witnesses counted in the round */
byte oldWork;        /* time left of work sent under version 1 */
byte leftWork;       /* the same for the run that crashed */
bool crashed;

/* Witnesses. */
byte inForce[WITNESSES] = 1;
bool fresh[WITNESSES];
byte quiet[WITNESSES]; /* above OVERRUN nothing is granted */
byte busy[WITNESSES];  /* time left of the promise, OVERRUN included */

/* The reporter. */
byte reported;       /* bit set of the witnesses that reported version 2 */
byte confirmed;      /* bit set of those that reported it again */
byte named;          /* time left that the claim waits for the holder */
bool reportedClean;  /* the holder reported version 2 and no older work */
bool complete;

byte w;

#define COUNT(aSet) ((aSet & 1) + ((aSet >> 1) & 1) + ((aSet >> 2) & 1))
#define DOWN(aTime) if :: aTime > 0 -> aTime-- :: else fi

inline Tick() {
  DOWN(lease);
  DOWN(round);
  DOWN(oldWork);
  DOWN(leftWork);
  DOWN(named);
  do
  :: w < WITNESSES -> DOWN(quiet[w]); DOWN(busy[w]); w++
  :: else -> break
  od;
  w = 0
}

#ifdef FAULT_no_version_check
#define VERSION_FITS(W) true
#else
#define VERSION_FITS(W) (inForce[W] <= roundVersion)
#endif
#define GRANTS(W) \
  round > 0 && !(granted & (1 << W)) && !fresh[W] && quiet[W] <= OVERRUN && \
  VERSION_FITS(W)

inline Grant(W) {
  busy[W] = LEASE + OVERRUN;
  granted = granted | (1 << W);
  if
  :: COUNT(granted) >= QUORUM ->
     lease = round;
     round = 0;
     roundVersion = 0;
     granted = 0
  :: else
  fi
}

inline Restart(W) {
  fresh[W] = 1;
  inForce[W] = 0;
  quiet[W] = LEASE + OVERRUN;
  busy[W] = 0;
#ifndef FAULT_single_round
  /* A later run can't confirm the report of this one. */
  reported = reported & (7 - (1 << W))
#endif
}

#define A(W) ((W + 1) % WITNESSES)
#define B(W) ((W + 2) % WITNESSES)
#ifdef FAULT_rejoin_alone
#define REJOINS(W) fresh[W] && !fresh[A(W)]
#define HEARD(W) inForce[A(W)]
#else
#define REJOINS(W) fresh[W] && !fresh[A(W)] && !fresh[B(W)]
#define HEARD(W) \
  (inForce[A(W)] > inForce[B(W)] -> inForce[A(W)] : inForce[B(W)])
#endif

inline Name(W) {
  if
  :: busy[W] > named -> named = busy[W]
  :: else
  fi
}

#ifdef FAULT_report_while_fresh
#define REPORTS_NOW(W) !complete && inForce[W] == 2 && !fresh[W]
#else
#define REPORTS_NOW(W) \
  !complete && inForce[W] == 2 && !fresh[W] && quiet[W] == 0
#endif

#ifdef FAULT_single_round
#define STATEMENTS reported
#else
#define STATEMENTS confirmed
#endif

#ifdef FAULT_no_wait
#define CLEAR true
#else
#ifdef FAULT_other_incarnation
#define CLEAR (named == 0 || reportedClean)
#else
#define CLEAR (named == 0 || (reportedClean && !crashed))
#endif
#endif

#define WITNESS(W) \
  :: d_step { GRANTS(W) -> Grant(W) } \
  :: d_step { GRANTS(W) -> busy[W] = LEASE + OVERRUN } /* reply lost */ \
  :: d_step { inForce[W] < 2 && !fresh[W] -> inForce[W] = 2 } \
  :: d_step { !fresh[W] -> Restart(W) } \
  :: d_step { REJOINS(W) -> inForce[W] = HEARD(W); fresh[W] = 0 } \
  :: d_step { \
       REPORTS_NOW(W) && !(reported & (1 << W)) -> \
       reported = reported | (1 << W); \
       confirmed = 0; \
       Name(W) \
     } \
  :: d_step { \
       REPORTS_NOW(W) && COUNT(reported) >= REPORTS && \
       (reported & (1 << W)) && !(confirmed & (1 << W)) -> \
       confirmed = confirmed | (1 << W); \
       Name(W) \
     }

init {
end:
  do
  :: d_step { Tick() }
  :: d_step { version == 1 -> version = 2 }
  :: d_step {
       round < LEASE ->
       round = LEASE;
       roundVersion = version;
       granted = 0
     }
  :: d_step {
       lease > 0 && version == 1 ->
       assert(!complete); /* G1 */
       oldWork = WORK
     }
  :: d_step { oldWork > 0 -> oldWork = 0 }
  :: d_step { leftWork > 0 -> leftWork = 0 }
  :: d_step {
       !complete && !reportedClean && version == 2 && oldWork == 0 ->
       reportedClean = 1
     }
  :: d_step {
       !crashed ->
       crashed = 1;
       leftWork = oldWork;
       oldWork = 0;
       version = 1;
       lease = 0;
       round = 0;
       roundVersion = 0;
       granted = 0
     }
  WITNESS(0)
  WITNESS(1)
  WITNESS(2)
  :: d_step {
       !complete && COUNT(STATEMENTS) >= REPORTS && CLEAR ->
       assert(oldWork == 0 && leftWork == 0); /* G2 */
       complete = 1;
       reported = 0;
       confirmed = 0;
       named = 0;
       reportedClean = 0
     }
  od
}
