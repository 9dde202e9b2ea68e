/* The handover where no daemon asks others: a link that fails between the two daemons
   lets both issue. */
#define ASK_WITNESS 0
#include "quota_issuer.pml"
