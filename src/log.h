#ifndef LOG_H
#define LOG_H

#include "settings.pb-c.h"

#include <glib.h>

GLogLevelFlags log_highest_of(Bp__LogLevel);

#endif
