/* A lease holder may be paused past its term; a conditional write decides.
   Two takers compete for one chunk; each commit names the epoch it claimed. */
byte epoch = 0;          /* claim epoch in the row */
bool done = false;       /* the row is final */
byte commits = 0;

proctype Taker() {
    byte mine;
    do
    :: atomic { !done && epoch < 4 -> epoch++; mine = epoch };
       /* the holder may be paused here for any time */
       atomic {
           if
           :: (!done && epoch == mine) -> done = true; commits++; assert(commits <= 1)
           :: else -> skip
           fi
       }
    :: done || epoch >= 4 -> break
    od
}

init { run Taker(); run Taker() }
