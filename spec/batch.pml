/* Batch jobs over a transactional table service: claim, execute, commit, takeover,
   cancel and finish by conditional writes.

   Two daemons work on one job of CHUNKS chunks; a caller may cancel it at any place.

   A conditional write names the revisions of the rows that the decision rests on, so it
   only takes effect while the decision still holds; decision and effect are therefore
   one atomic step here. An answer may be lost after the write took effect, or the
   write may still be under way: then it takes effect later, if its conditions hold
   then (process Network).

   A daemon may be paused between any two steps: the model lets any process wait for any
   time. Its lease may lapse meanwhile; the other daemon may take a claimed chunk over at
   any time, which covers every lapse, right or wrong.

   CHECK_CHUNK 0 leaves the revision of the chunk row out of the commit's conditions,
   CHECK_JOB 0 that of the job row. */
#ifndef CHECK_CHUNK
#define CHECK_CHUNK 1
#endif
#ifndef CHECK_JOB
#define CHECK_JOB 1
#endif
#define CHUNKS 2
#define MAX_EPOCH 3

#define ABSENT 0
#define CLAIMED 1
#define DONE 2

#define OPEN 0
#define CANCELLED 1
#define COMPLETED 2

byte job = OPEN;              /* state of the job row; its revision changes with it */
bool acknowledged = false;    /* the caller was told that the job is cancelled */
byte state[CHUNKS];           /* chunk rows */
byte epoch[CHUNKS];           /* claim epoch, which stands for the row's revision */
byte commits[CHUNKS];         /* how often results became final */
chan under_way = [1] of { byte, byte };

inline apply_commit(c, token)
{
    if
    :: (job == OPEN || !CHECK_JOB) &&
       ((state[c] == CLAIMED && epoch[c] == token) || !CHECK_CHUNK) ->
        state[c] = DONE; commits[c]++;
        assert(commits[c] <= 1);
        assert(!acknowledged)
    :: else                                  /* a conflict */
    fi
}

/* Unused variables go back to one value, which keeps the number of states low. */
inline drop()
{
    holds = false; mine = 0; c = 0
}

proctype Daemon()
{
    byte c = 0;
    byte mine = 0;            /* epoch of the claim, the fencing token */
    bool holds = false;
    do
    :: job != OPEN && !holds -> break
    :: !holds && job == OPEN ->
        if
        :: c = 0
        :: c = 1
        fi;
        atomic {
            /* claim(): absent, or claimed by an owner that is gone */
            if
            :: job == OPEN && state[c] != DONE && epoch[c] < MAX_EPOCH ->
                assert(!acknowledged);
                state[c] = CLAIMED; epoch[c]++;
                if
                :: mine = epoch[c]; holds = true
                :: drop()                    /* the answer is lost, the claim dropped */
                fi
            :: else -> drop()
            fi
        }
    :: holds ->
        /* the items have run, for any time */
        if
        :: atomic {
                apply_commit(c, mine);
                if
                :: drop()
                :: skip                      /* the answer is lost: sent again */
                fi
            }
        :: nfull(under_way) -> under_way ! c, mine    /* no answer: sent again */
        :: atomic { drop() }                 /* given up, or killed and started again */
        fi
    :: !holds && state[0] == DONE && state[1] == DONE ->
        /* finish(): done rows are final, so only the job row is named */
        atomic {
            if
            :: job == OPEN ->
                job = COMPLETED;
                assert(state[0] == DONE && state[1] == DONE)
            :: else
            fi
        };
        break
    :: !holds && epoch[0] == MAX_EPOCH && epoch[1] == MAX_EPOCH -> break
    od
}

proctype Network()
{
    byte c;
    byte token;
end:
    do
    :: atomic { under_way ? c, token -> apply_commit(c, token); c = 0; token = 0 }
    :: atomic { under_way ? c, token -> c = 0; token = 0 }    /* never arrives */
    od
}

proctype Caller()
{
    if
    :: atomic {
            /* cancel(): one conditional write of the job row */
            if
            :: job == OPEN -> job = CANCELLED
            :: else
            fi
        };
        if
        :: job == CANCELLED -> acknowledged = true
        :: job == CANCELLED                  /* the answer to the caller is lost */
        :: job == COMPLETED                  /* refused: the job has completed */
        fi
    :: skip                                  /* the job is never cancelled */
    fi;
    assert(!(acknowledged && job == COMPLETED))
}

init
{
    atomic { run Daemon(); run Daemon(); run Network(); run Caller() }
}
