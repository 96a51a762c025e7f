#include "fakesite.h"

#include <stdlib.h>
#include <string.h>

/* The store of objects: revisions, watches, conditional writes. */

/* Objects of one page of a list: few, so that every list has several. */
#define PAGE_OBJECTS 2

typedef struct object {
	char *kind;
	char *name;
	char *content;
	uint64_t revision;
	bool deleted;
} object_t;

typedef struct watch {
	store_state_t *store;
	SoupServerMessage *message;
	char *kind;
	uint64_t after;
	guint timer;
} watch_t;

typedef enum store_mode {
	STORE_UP,
	STORE_BUSY,   /* 503 */
	STORE_SILENT, /* no answer */
	STORE_LOSING, /* writes are done, and not answered */
	STORE_MOVING, /* after each page but the last its first changes */
} store_mode_t;

struct store_state {
	GPtrArray *objects; /* of object_t, the deleted ones too */
	GList *watches;
	uint64_t revision;
	uint64_t oldest; /* history before it is gone */
	store_mode_t mode;
};

/*
 * The object of a kind and name, or NULL.
 */
static object_t *
find(store_state_t *store, const char *kind, const char *name)
{
	uint32_t i;

	for (i = 0; i < store->objects->len; i++) {
		object_t *object = g_ptr_array_index(store->objects, i);

		if (strcmp(object->kind, kind) == 0 &&
		    strcmp(object->name, name) == 0)
			return object;
	}
	return NULL;
}

/*
 * Append an object as the store tells it.
 */
static void
append(GString *out, const object_t *object)
{
	g_string_append_printf(out,
	    "{\"meta\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
	    ",\"finalizers\":[],\"deleting\":false},\"spec\":%s}",
	    object->name, object->revision, object->content);
}

/*
 * Answer with JSON.
 */
static void
answer(SoupServerMessage *message, uint32_t status, GString *body)
{
	gsize size = body->len;

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_TAKE, g_string_free(body, FALSE), size);
}

/*
 * The changes of a kind after a revision.  Returns how many.
 */
static uint32_t
append_events(
    store_state_t *store, GString *out, const char *kind, uint64_t after)
{
	uint32_t i, n = 0;

	g_string_append(out, "{\"events\":[");
	for (i = 0; i < store->objects->len; i++) {
		const object_t *object = g_ptr_array_index(store->objects, i);

		if (strcmp(object->kind, kind) != 0 ||
		    object->revision <= after)
			continue;
		g_string_append_printf(out,
		    "%s{\"deleted\":%s,\"object\":", n++ > 0 ? "," : "",
		    object->deleted ? "true" : "false");
		append(out, object);
		g_string_append_c(out, '}');
	}
	g_string_append_printf(
	    out, "],\"current-rev\":%" G_GUINT64_FORMAT "}", store->revision);
	return n;
}

/*
 * End a watch with what there is.
 */
static void
watch_end(watch_t *watch)
{
	GString *out = g_string_new(NULL);

	append_events(watch->store, out, watch->kind, watch->after);
	watch->store->watches = g_list_remove(watch->store->watches, watch);
	if (watch->timer != 0)
		g_source_remove(watch->timer);
	answer(watch->message, 200, out);
	soup_server_message_unpause(watch->message);
	g_object_unref(watch->message);
	g_free(watch->kind);
	g_free(watch);
}

/*
 * A watch has waited long enough.
 */
static gboolean
on_wait_over(gpointer context)
{
	watch_t *watch = context;

	watch->timer = 0;
	watch_end(watch);
	return G_SOURCE_REMOVE;
}

/*
 * Tell the watches of a kind that something has changed.
 */
static void
changed(store_state_t *store, const char *kind)
{
	GList *l = store->watches;

	while (l != NULL) {
		watch_t *watch = l->data;

		l = l->next;
		if (store->mode == STORE_UP && strcmp(watch->kind, kind) == 0)
			watch_end(watch);
	}
}

/*
 * Write an object, whatever its revision.
 */
void
store_put(store_state_t *store, const char *kind, const char *name,
    const char *content)
{
	object_t *object = find(store, kind, name);

	if (object == NULL) {
		object = g_new0(object_t, 1);
		object->kind = g_strdup(kind);
		object->name = g_strdup(name);
		g_ptr_array_add(store->objects, object);
	}
	g_free(object->content);
	object->content = g_strdup(content);
	object->deleted = false;
	object->revision = ++store->revision;
	changed(store, kind);
}

/*
 * Remove an object.
 */
void
store_remove(store_state_t *store, const char *kind, const char *name)
{
	object_t *object = find(store, kind, name);

	if (object == NULL || object->deleted)
		return;
	object->deleted = true;
	object->revision = ++store->revision;
	changed(store, kind);
}

/*
 * Put a fault into force: up, busy, silent, losing, moving, compact.
 */
void
store_fault(store_state_t *store, const char *what)
{
	if (strcmp(what, "compact") == 0)
		store->oldest = store->revision;
	else if (strcmp(what, "busy") == 0)
		store->mode = STORE_BUSY;
	else if (strcmp(what, "silent") == 0)
		store->mode = STORE_SILENT;
	else if (strcmp(what, "losing") == 0)
		store->mode = STORE_LOSING;
	else if (strcmp(what, "moving") == 0)
		store->mode = STORE_MOVING;
	else
		store->mode = STORE_UP;
	while (store->mode == STORE_UP && store->watches != NULL)
		watch_end(store->watches->data);
}

/*
 * A page of the objects of a kind, from the one after a name on.
 */
static void
append_page(
    store_state_t *store, GString *out, const char *kind, const char *after)
{
	const object_t *first = NULL;
	uint64_t revision = store->revision;
	uint32_t i, n = 0;
	bool begun = after == NULL;

	g_string_append(out, "{\"items\":[");
	for (i = 0; i < store->objects->len && n <= PAGE_OBJECTS; i++) {
		const object_t *object = g_ptr_array_index(store->objects, i);

		if (strcmp(object->kind, kind) != 0)
			continue;
		if (begun && !object->deleted && n++ < PAGE_OBJECTS) {
			if (first == NULL)
				first = object;
			else
				g_string_append_c(out, ',');
			append(out, object);
		}
		begun |= g_strcmp0(object->name, after) == 0;
	}
	g_string_append_printf(out,
	    "],\"has-more\":%s,\"current-rev\":%" G_GUINT64_FORMAT "}",
	    n > PAGE_OBJECTS ? "true" : "false", revision);
	if (n > PAGE_OBJECTS && store->mode == STORE_MOVING) {
		char *content = g_strdup(first->content);

		store_put(store, kind, first->name, content);
		g_free(content);
	}
}

/*
 * List a kind, or wait for changes.
 */
static void
get_kind(store_state_t *store, SoupServerMessage *message, const char *kind,
    GHashTable *query)
{
	const char *text =
	    query == NULL ? NULL : g_hash_table_lookup(query, "watch");
	GString *out = g_string_new(NULL);
	uint64_t after = text == NULL ? 0 : strtoull(text, NULL, 10);
	watch_t *watch;

	if (text != NULL && after < store->oldest) {
		answer(message, 410, out);
		return;
	}
	if (text != NULL && append_events(store, out, kind, after) == 0) {
		text = g_hash_table_lookup(query, "wait-ms");
		g_string_free(out, TRUE);
		watch = g_new0(watch_t, 1);
		watch->store = store;
		watch->message = g_object_ref(message);
		watch->kind = g_strdup(kind);
		watch->after = after;
		watch->timer =
		    g_timeout_add((guint)atoi(text), on_wait_over, watch);
		store->watches = g_list_prepend(store->watches, watch);
		soup_server_message_pause(message);
		return;
	}
	if (text == NULL)
		append_page(store, out, kind,
		    query == NULL ? NULL : g_hash_table_lookup(query, "after"));
	answer(message, 200, out);
}

/*
 * What a client wrote: the text of a field that holds an object.
 */
static char *
object_field(const char *body, const char *name)
{
	char *key = g_strdup_printf("\"%s\":{", name);
	const char *at = strstr(body, key), *p;
	int32_t depth = 0;
	char *text = NULL;

	if (at != NULL) {
		at += strlen(key) - 1;
		for (p = at; *p != '\0'; p++) {
			depth += (*p == '{') - (*p == '}');
			if (depth == 0)
				break;
		}
		text = g_strndup(at, (gsize)(p + 1 - at));
	}
	g_free(key);
	return text;
}

/*
 * The number of a field, or 0.
 */
static uint64_t
number_field(const char *body, const char *name)
{
	char *key = g_strdup_printf("\"%s\":", name);
	const char *at = strstr(body, key);
	uint64_t value = at == NULL ? 0 : strtoull(at + strlen(key), NULL, 10);

	g_free(key);
	return value;
}

/*
 * Create or replace an object.
 */
static void
write_object(store_state_t *store, SoupServerMessage *message, const char *kind,
    const char *name, const char *body)
{
	char *meta = object_field(body, "meta"), *named = NULL, *quote;
	uint64_t revision = meta == NULL ? 0 : number_field(meta, "revision");
	char *content = object_field(body, "spec");
	GString *out = g_string_new(NULL);
	object_t *object;

	if (name == NULL && meta != NULL &&
	    (quote = strstr(meta, "\"name\":\"")) != NULL) {
		named = g_strdup(quote + 8);
		*strchr(named, '"') = '\0';
		name = named;
	}
	object = name == NULL ? NULL : find(store, kind, name);
	if (object != NULL && object->deleted && named == NULL)
		object = NULL;
	if (content == NULL || name == NULL) {
		answer(message, 400, out);
	} else if (named == NULL && object == NULL) {
		answer(message, 404, out);
	} else if (object != NULL && !object->deleted &&
	    (named != NULL ||
		(revision != 0 && revision != object->revision))) {
		append(out, object);
		answer(message, 409, out);
	} else {
		store_put(store, kind, name, content);
		append(out, find(store, kind, name));
		if (store->mode == STORE_LOSING) {
			g_string_free(out, TRUE);
			soup_server_message_pause(message);
		} else {
			answer(message, 200, out);
		}
	}
	g_free(meta);
	g_free(content);
	g_free(named);
}

/*
 * One object: get, remove.
 */
static void
one_object(store_state_t *store, SoupServerMessage *message, const char *kind,
    const char *name, bool remove)
{
	object_t *object = find(store, kind, name);
	GString *out = g_string_new(NULL);

	if (object == NULL || object->deleted) {
		answer(message, 404, out);
		return;
	}
	append(out, object);
	if (remove)
		store_remove(store, kind, name);
	answer(message, 200, out);
}

/*
 * A call to the store.
 */
static void
on_objects(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	store_state_t *store = context;
	const char *method = soup_server_message_get_method(message);
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	char **parts = g_strsplit(path, "/", 4);
	const char *kind = parts[1] == NULL ? NULL : parts[2];
	const char *name = kind == NULL ? NULL : parts[3];
	GBytes *bytes = soup_message_body_flatten(body);
	char *text =
	    g_strndup(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));

	(void)server;
	if (store->mode == STORE_SILENT)
		soup_server_message_pause(message);
	else if (store->mode == STORE_BUSY || kind == NULL)
		answer(message, 503, g_string_new(NULL));
	else if (strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0)
		write_object(store, message, kind, name, text);
	else if (name != NULL)
		one_object(
		    store, message, kind, name, strcmp(method, "DELETE") == 0);
	else
		get_kind(store, message, kind, query);
	g_free(text);
	g_bytes_unref(bytes);
	g_strfreev(parts);
}

/*
 * Serve an empty store.
 */
store_state_t *
store_new(SoupServer *server)
{
	store_state_t *store = g_new0(store_state_t, 1);

	store->objects = g_ptr_array_new();
	store->revision = 1;
	soup_server_add_handler(server, "/objects", on_objects, store, NULL);
	return store;
}
