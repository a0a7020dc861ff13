/*
 * Non-repeatable requests (docs/design.md, 4.7): one ticket, bound to the
 * incarnation that issued it, and a caller that may resend the request through
 * any instance.
 *
 * G1  The request runs at most once.
 * G2  "Not run" is reported only when the request neither ran nor will run.
 *
 * The issuer records the ticket as used before it sends anything, so it may
 * crash between the two. It sends the request to an owner, which writes it to
 * the server. Each message may be lost. Issuer and owner may crash at every
 * step; the issuer then returns as a new incarnation with empty memory. The
 * record of a ticket may expire. Forwards of the same ticket may be in transit
 * concurrently and be answered in any order. The instances that the caller
 * contacts keep no state and are modelled as part of the caller.
 */
// FAULT no_record the issuer does not record the ticket before it sends
// FAULT new_incarnation_runs a new incarnation takes the ticket for an unused one
// FAULT lost_as_not_run a lost owner is reported as not run
// FAULT resend_after_byte the owner sends again after a connection broke
// FAULT expired_as_unused an expired record is taken for an unused ticket
// FAULT retry_unknown the issuer tries another owner after an unknown outcome

#define RESENDS 3
#define TRIES 2

mtype = { unused, used, ran, notRun, unknown, expired };

mtype record = unused;   /* the ticket in the memory of the issuer */
bool issuerIsNew;        /* the issuing incarnation has crashed */
byte forwards;           /* forwards in transit to the issuer */
byte resends;
bool toSend;             /* the issuer has accepted but not yet sent */
byte tries;              /* sends to owners */
byte atOwner;            /* messages in transit to owners */
byte owners;             /* owners that hold the request before the write */
byte written;            /* requests whose bytes may reach the server */
byte runs;               /* how often the server has run it */
byte doneRan;            /* answers "ran" in transit to the issuer */
byte doneNotRun;         /* answers "not run" in transit to the issuer */
bool toldNotRun;

#define WRITE written++; assert(!toldNotRun) /* G2 */

#define TELL_NOT_RUN \
  toldNotRun = 1; \
  assert(runs == 0 && written == 0) /* G2 */

init {
end:
  do
  /* The caller sends or resends. */
  :: d_step { resends < RESENDS -> resends++; forwards++ }
  :: d_step { forwards > 0 -> forwards-- } /* lost */

  /* The issuer receives a forward. */
  :: atomic {
       forwards > 0 ->
       forwards--;
       if
#ifdef FAULT_new_incarnation_runs
       :: record == unused ->
#else
       :: record == unused && !issuerIsNew ->
#endif
#ifndef FAULT_no_record
          record = used;
#endif
          toSend = 1
       :: record == unused && !issuerIsNew ->
          /* Refused at admission, for example without an owner. */
          record = notRun;
          TELL_NOT_RUN
       :: record == notRun -> TELL_NOT_RUN
       :: else -> skip /* "ran", "unknown", or the outcome is awaited */
       fi
     }
  :: atomic {
       toSend ->
       toSend = 0;
       tries++;
       atOwner++
     }

  /* The issuer receives an answer of an owner, or stops waiting. */
  :: d_step {
       doneRan > 0 ->
       doneRan--;
       if :: record == used || record == unknown -> record = ran :: else fi
     }
  :: atomic {
       doneNotRun > 0 ->
       doneNotRun--;
       if
       :: record == used && tries < TRIES -> toSend = 1
       :: record == used -> record = notRun; TELL_NOT_RUN
       :: record != used -> skip
       fi
     }
  :: atomic {
       record == used && !toSend ->
#ifdef FAULT_lost_as_not_run
       record = notRun;
       TELL_NOT_RUN
#else
#ifdef FAULT_retry_unknown
       if
       :: tries < TRIES -> toSend = 1
       :: else -> record = unknown
       fi
#else
       record = unknown
#endif
#endif
     }
  :: d_step {
       record == ran || record == notRun || record == unknown ->
#ifdef FAULT_expired_as_unused
       record = unused
#else
       record = expired
#endif
     }
  /* The issuer crashes. */
  :: d_step {
       !issuerIsNew ->
       issuerIsNew = 1;
       record = unused;
       toSend = 0;
       doneRan = 0;
       doneNotRun = 0
     }

  /* Owners. */
  :: d_step { atOwner > 0 -> atOwner--; owners++ }
  :: d_step { atOwner > 0 -> atOwner-- } /* lost */
  :: d_step { owners > 0 -> owners-- }   /* crash before the write */
  :: d_step { owners > 0 -> owners--; doneNotRun++ } /* refused before it */
  :: d_step { owners > 0 -> owners--; WRITE }

  /* The server runs it, refuses it, or the connection breaks. */
  :: d_step {
       written > 0 ->
       written--;
       runs++;
       assert(runs <= 1);   /* G1 */
       assert(!toldNotRun); /* G2 */
       doneRan++
     }
  :: d_step { written > 0 -> written--; doneNotRun++ }
  :: d_step { written > 0 -> written-- }
#ifdef FAULT_resend_after_byte
  /* The request ran, the connection broke, and the owner sends it again. */
  :: d_step { written > 0 && runs == 0 -> runs++ }
#endif
  :: d_step { doneRan > 0 -> doneRan-- }       /* the answer is lost */
  :: d_step { doneNotRun > 0 -> doneNotRun-- }
  od
}
