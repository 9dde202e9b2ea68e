/* The protocol without the revision of the job row in the commit's conditions: results
   are added after the cancel was acknowledged. */
#define CHECK_JOB 0
#include "batch.pml"
