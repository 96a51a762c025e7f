#ifndef PROXY_SETTINGS_H
#define PROXY_SETTINGS_H

#include "bergamotplank.h"
#include "decide/config_delay.h"
#include "settings.pb-c.h"

Bp__ProxySettings *proxy_settings_read(
    arena_t *, const char *text, uint64_t size_bytes, input_errors_t *);
config_delay_t proxy_config_delay(const Bp__ProxyTimeouts *);

#endif
