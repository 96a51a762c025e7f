#ifndef DOCUMENT_H
#define DOCUMENT_H

#include "bergamotplank.h"
#include "document.pb-c.h"
#include "settings.pb-c.h"

/* Parsing and validation of the daemon's settings and the teams' documents. */
Bp__Settings *settings_read(
    arena_t *, const char *text, uint64_t size_bytes, input_errors_t *);
Bp__Document *document_read(
    arena_t *, const char *text, uint64_t size_bytes, input_errors_t *);
void document_check_change(
    const Bp__Document *old, const Bp__Document *replacement, input_errors_t *);

const Bp__Work *document_find_work(const Bp__Document *, const char *name);
const Bp__RankPolicy *document_rank_policy(const Bp__Document *, Bp__Rank);
const Bp__Group *document_find_group(const Bp__Document *, const char *name);
bool document_has_account(const Bp__Document *, const char *name);

#endif
