/* The handover where a daemon that is confirmed again begins at once, while the other
   one still relies on what the witness said before. */
#define SETTLE 0
#include "quota_issuer.pml"
