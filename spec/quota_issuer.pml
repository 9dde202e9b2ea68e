/* Handover of the issue of an organisation's tokens between two daemons.

   A ranks before B; W is a third daemon, which both ask. Time passes in ticks of 0.4 s.
   In each tick any datagram may be lost, in either direction, and A may stand still for
   any number of ticks. A issues while B or W has answered it within VALID ticks. B
   issues while it has not heard A for DEAD ticks, has not answered A for as long, and W
   has said within VALID ticks that it has neither.

   A daemon that was not confirmed for a while, or stood still, begins after VALID ticks:
   so long others may rely on what W said before.

   ASK_WITNESS 0 lets both rely on what they hear themselves. SETTLE 0 lets A begin at
   once after it is confirmed again. */
#ifndef ASK_WITNESS
#define ASK_WITNESS 1
#endif
#ifndef SETTLE
#define SETTLE 1
#endif
#define DEAD 4
#define VALID 3
#define LONG 5

/* Ticks since A was answered, since B has heard or answered A, since W has, and since W
   told B that A is gone; all stop at LONG. */
byte confirmed = 0;
byte heard_by_b = 0;
byte heard_by_w = 0;
byte told_gone = LONG;
byte settling = 0;            /* ticks until A may begin */
bool is_paused = false;

#define A_ISSUES (!is_paused && confirmed < VALID && settling == 0)
#define B_ISSUES (heard_by_b >= DEAD && (told_gone < VALID || !ASK_WITNESS))

inline age(x)
{
    if
    :: x < LONG -> x++
    :: else
    fi
}

/* A heartbeat has no answer, and that to a question may be lost. */
inline answer()
{
    if
    :: skip
    :: true ->
        if
        :: confirmed >= VALID && SETTLE -> settling = VALID
        :: else
        fi;
        confirmed = 0
    fi
}

active proctype Ticks()
{
    do
    :: atomic {
        age(confirmed); age(heard_by_b); age(heard_by_w); age(told_gone);
        if
        :: settling > 0 -> settling--
        :: else
        fi;
        /* A stands still or goes on; after a pause it trusts nothing. */
        if
        :: is_paused -> is_paused = false; confirmed = LONG
        :: !is_paused -> is_paused = true
        :: skip
        fi;
        if
        :: !is_paused ->
            if
            :: skip
            :: heard_by_b = 0; answer()      /* a heartbeat or a question of A */
            fi;
            if
            :: skip
            :: heard_by_w = 0; answer()
            fi
        :: else
        fi;
        if
        :: heard_by_w >= DEAD -> told_gone = 0
        :: skip                              /* W hears A, or cannot be reached */
        fi;
        /* Without witnesses A issues as long as it runs. */
        if
        :: !ASK_WITNESS -> confirmed = 0
        :: else
        fi;
        assert(!(A_ISSUES && B_ISSUES))
    }
    od
}
