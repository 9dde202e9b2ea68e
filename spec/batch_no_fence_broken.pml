/* The protocol without the revision of the chunk row in the commit's conditions: a
   holder that was replaced while it was paused commits as well. */
#define CHECK_CHUNK 0
#include "batch.pml"
