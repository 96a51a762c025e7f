#ifndef DECIDE_PROMOTE_CHOICE_H
#define DECIDE_PROMOTE_CHOICE_H

#include "promote.h"

/* Inside a change of primary: whether the grants suffice, and who leads. */
bool grants_suffice(const promote_t *);
int32_t ready_to_raise(const promote_t *, int64_t now_us);

#endif
