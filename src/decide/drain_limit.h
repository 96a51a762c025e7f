#ifndef DECIDE_DRAIN_LIMIT_H
#define DECIDE_DRAIN_LIMIT_H

#include "decide.h"

int64_t drain_limit_us(int64_t stayed_us, uint32_t drain_ms);

#endif
