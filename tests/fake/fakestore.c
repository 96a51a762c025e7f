#include "fakesite.h"

#include <stdlib.h>
#include <string.h>

/*
 * The object store of fakesite, with revisions, watches and conditional writes.
 */

/*
 * Maximum number of objects in a page of a list.  Low, so that tests get
 * lists of several pages.
 */
#define PAGE_OBJECTS 2

/* Revision of an empty store. */
#define FIRST_REVISION 1

/*
 * Time from the end of the watches in a compaction until the history is
 * discarded.
 */
#define DISCARD_DELAY_MS 50

/* Beginning of the addresses in the objects. */
#define LOOPBACK "127.0.0.1:"

/* Time after which the operator and the databases write again what is gone. */
#define WRITTEN_AGAIN_MS 700

/* Kind of the coordinator record, and the delay of late writes of it. */
#define DAEMON_KIND "bergamotplank-daemons"
#define RECORD_KIND "bergamotplank-duties"
#define LATE_WRITE_MS 3000

typedef struct object {
	char *kind;
	char *name;
	char *spec;
	uint64_t revision;
	bool deleted;
} object_t;

/* What happens to the requests that come by one port. */
typedef enum port_fault {
	PORT_FAULT_NONE,
	PORT_FAULT_SILENT,  /* they are not answered, not even later */
	PORT_FAULT_REFUSED, /* they are answered with 503 */
	PORT_FAULT_CUT, /* their connections are closed, new ones are silent */
	PORT_FAULT_RESET, /* their connections are closed, new ones too */
} port_fault_t;

static const char *const port_faults[] = {
    [PORT_FAULT_NONE] = "up",
    [PORT_FAULT_SILENT] = "silent",
    [PORT_FAULT_REFUSED] = "refused",
    [PORT_FAULT_CUT] = "cut",
    [PORT_FAULT_RESET] = "reset",
};

typedef struct watch {
	object_store_t *store;
	SoupServerMessage *message;
	char *kind;
	uint64_t after_revision;
	uint16_t port; /* by which the request came */
	guint timer;
} watch_t;

typedef enum store_fault {
	STORE_FAULT_NONE,
	STORE_FAULT_BUSY,               /* answer 503 to every request */
	STORE_FAULT_NO_ANSWER,          /* answer no request */
	STORE_FAULT_LOSE_WRITE_ANSWERS, /* apply writes without an answer */
	/* change the first object of a page after sending it, except on the
	 * last page */
	STORE_FAULT_CHANGE_DURING_LIST,
	STORE_FAULT_NAMELESS, /* lists go on after entries without names */
	STORE_FAULT_REPEAT,   /* lists go on with their first page */
	STORE_FAULT_BACK_DURING_LIST, /* go back to the copy after a page */
	STORE_FAULT_DEAF,             /* watches are not answered */
	/* writes of the coordinator record are carried out LATE_WRITE_MS after
	 * they came, if their condition still holds, and not answered */
	STORE_FAULT_LATE_RECORD,
} store_fault_t;

struct object_store {
	GPtrArray *objects; /* of object_t, including the deleted ones */
	GList *watches;
	uint32_t requests;       /* number of requests so far */
	uint32_t watch_requests; /* those that are watches */
	uint64_t era;            /* sent with each response */
	bool era_hidden;         /* it is not sent */
	GPtrArray *copy;         /* objects to which the store goes back */
	uint64_t copy_revision;
	bool lists_old;  /* lists that may be old are of the copy */
	GPtrArray *lost; /* objects as they were when it last went back */
	guint again;     /* timer after which they are written again */
	uint64_t revision;
	uint64_t oldest_revision; /* watches of older ones get 410 */
	store_fault_t fault;
	GHashTable *port_faults; /* of port_fault_t by port */
	/* by port: address that stands for 127.0.0.1 in its requests and
	   responses */
	GHashTable *port_addresses;
	const char *daemons_at; /* address in the records of daemons, or NULL */
};

/*
 * Return the object of a kind and name, deleted or not, or NULL.
 */
static object_t *
find_object(object_store_t *store, const char *kind, const char *name)
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
 * Append an object in its JSON form.
 */
static void
append_object(GString *out, const object_t *object)
{
	const char *c;

	g_string_append(out, "{\"meta\":{\"name\":\"");
	for (c = object->name; *c != '\0'; c++) {
		if (g_ascii_iscntrl(*c) || *c == '"' || *c == '\\')
			g_string_append_printf(out, "\\u%04x", (guint)*c);
		else
			g_string_append_c(out, *c);
	}
	g_string_append_printf(out,
	    "\",\"revision\":%" G_GUINT64_FORMAT
	    ",\"finalizers\":[],\"deleting\":false},\"spec\":%s}",
	    object->revision, object->spec);
}

/*
 * Return the port by which a request came, or 0 if its connection is gone.
 */
static uint16_t
request_port(SoupServerMessage *message)
{
	GSocketAddress *address =
	    soup_server_message_get_local_address(message);

	return address == NULL
	    ? 0
	    : g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
}

/*
 * Return the address that stands for 127.0.0.1 where a request came from, with
 * a colon, or NULL.
 */
static const char *
request_address(const object_store_t *store, SoupServerMessage *message)
{
	return g_hash_table_lookup(
	    store->port_addresses, GUINT_TO_POINTER(request_port(message)));
}

/*
 * Answer with a JSON body, which is freed.
 */
static void
send_json(const object_store_t *store, SoupServerMessage *message,
    uint32_t status, GString *body)
{
	const char *address = request_address(store, message);
	gsize size;

	if (address != NULL)
		g_string_replace(body, LOOPBACK, address, 0);
	size = body->len;
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_TAKE, g_string_free(body, FALSE), size);
}

/*
 * Send the era of the store with a response.
 */
static void
append_era(const object_store_t *store, SoupServerMessage *message)
{
	char *text = g_strdup_printf("%" G_GUINT64_FORMAT, store->era);

	if (!store->era_hidden)
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(message),
		    "Store-Era", text);
	g_free(text);
}

/*
 * Append the objects of a kind that were changed or deleted after a
 * revision.  Returns their number.
 */
static uint32_t
append_events(
    object_store_t *store, GString *out, const char *kind, uint64_t after)
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
		append_object(out, object);
		g_string_append_c(out, '}');
	}
	g_string_append_printf(
	    out, "],\"current-rev\":%" G_GUINT64_FORMAT "}", store->revision);
	return n;
}

/*
 * Return the fault of a port.
 */
static port_fault_t
port_fault(const object_store_t *store, uint16_t port)
{
	return (port_fault_t)GPOINTER_TO_UINT(
	    g_hash_table_lookup(store->port_faults, GUINT_TO_POINTER(port)));
}

/*
 * Close the connection of a request.
 */
static void
request_disconnect(SoupServerMessage *message)
{
	g_socket_shutdown(
	    soup_server_message_get_socket(message), TRUE, TRUE, NULL);
}

/*
 * Free a watch.
 */
static void
watch_free(watch_t *watch)
{
	watch->store->watches = g_list_remove(watch->store->watches, watch);
	if (watch->timer != 0)
		g_source_remove(watch->timer);
	g_object_unref(watch->message);
	g_free(watch->kind);
	g_free(watch);
}

/*
 * Answer a watch with the changes since its revision, and free it.  A busy
 * store refuses it, and so does a port that refuses requests.
 */
static void
watch_complete(watch_t *watch)
{
	bool known = watch->after_revision <= watch->store->revision &&
	    watch->after_revision >= watch->store->oldest_revision;
	bool busy = watch->store->fault == STORE_FAULT_BUSY ||
	    port_fault(watch->store, watch->port) == PORT_FAULT_REFUSED;
	uint32_t status = busy ? 503 : known ? 200 : 410;
	GString *out = g_string_new(NULL);

	if (known && !busy)
		append_events(
		    watch->store, out, watch->kind, watch->after_revision);
	append_era(watch->store, watch->message);
	send_json(watch->store, watch->message, status, out);
	soup_server_message_unpause(watch->message);
	watch_free(watch);
}

/*
 * Set the fault of a port: silent, refused, cut or reset; up ends it.  It acts
 * on the watches that wait, too.  Returns false if there is no such fault.
 */
bool
object_store_port_fault(
    object_store_t *store, uint16_t port, const char *fault_name)
{
	port_fault_t fault = 0;
	GList *l = store->watches;

	while (fault < G_N_ELEMENTS(port_faults) &&
	    strcmp(port_faults[fault], fault_name) != 0)
		fault++;
	if (fault == G_N_ELEMENTS(port_faults))
		return false;
	g_hash_table_insert(store->port_faults, GUINT_TO_POINTER(port),
	    GUINT_TO_POINTER(fault));
	while (l != NULL) {
		watch_t *watch = l->data;

		l = l->next;
		if (watch->port != port || fault == PORT_FAULT_NONE)
			continue;
		if (fault == PORT_FAULT_REFUSED) {
			watch_complete(watch);
			continue;
		}
		if (fault != PORT_FAULT_SILENT)
			request_disconnect(watch->message);
		watch_free(watch);
	}
	return true;
}

/*
 * Let the fault of a port act on a request.  Returns false if there is none.
 */
static bool
port_fault_request(object_store_t *store, SoupServerMessage *message)
{
	switch (port_fault(store, request_port(message))) {
	case PORT_FAULT_NONE:
		return false;
	case PORT_FAULT_REFUSED:
		send_json(store, message, 503, g_string_new(NULL));
		return true;
	case PORT_FAULT_RESET:
		request_disconnect(message);
		break;
	default:
		break;
	}
	soup_server_message_pause(message);
	return true;
}

/*
 * Answer a watch whose maximum wait has passed, without changes.
 */
static gboolean
on_watch_timeout(gpointer context)
{
	watch_t *watch = context;

	watch->timer = 0;
	if (watch->store->fault != STORE_FAULT_DEAF)
		watch_complete(watch);
	return G_SOURCE_REMOVE;
}

/*
 * Discard the history: watches that begin or end from now on get 410 if they
 * are of an older revision.
 */
static gboolean
on_discard(gpointer context)
{
	object_store_t *store = context;

	store->oldest_revision = store->revision;
	store->fault = STORE_FAULT_NONE;
	return G_SOURCE_REMOVE;
}

/*
 * End a compaction: close the connections of the watches, which were not
 * answered meanwhile, and discard the history right after.
 */
static void
cut_watches(object_store_t *store)
{
	while (store->watches != NULL) {
		watch_t *watch = store->watches->data;

		request_disconnect(watch->message);
		watch_free(watch);
	}
	g_timeout_add(DISCARD_DELAY_MS, on_discard, store);
}

/*
 * Answer the watches of a kind whose objects have changed.  A store with a
 * fault does not answer them.
 */
static void
complete_watches(object_store_t *store, const char *kind)
{
	GList *l = store->watches;

	while (l != NULL) {
		watch_t *watch = l->data;

		l = l->next;
		if ((store->fault == STORE_FAULT_NONE ||
			store->fault == STORE_FAULT_LATE_RECORD) &&
		    strcmp(watch->kind, kind) == 0)
			watch_complete(watch);
	}
}

/*
 * Create or replace an object without a revision check.
 */
void
object_store_put(
    object_store_t *store, const char *kind, const char *name, const char *spec)
{
	object_t *object = find_object(store, kind, name);

	if (object == NULL) {
		object = g_new0(object_t, 1);
		object->kind = g_strdup(kind);
		object->name = g_strdup(name);
		g_ptr_array_add(store->objects, object);
	}
	g_free(object->spec);
	object->spec = g_strdup(spec);
	object->deleted = false;
	object->revision = ++store->revision;
	complete_watches(store, kind);
}

/*
 * Delete an object.
 */
void
object_store_remove(object_store_t *store, const char *kind, const char *name)
{
	object_t *object = find_object(store, kind, name);

	if (object == NULL || object->deleted)
		return;
	object->deleted = true;
	object->revision = ++store->revision;
	complete_watches(store, kind);
}

/*
 * Free an object.
 */
static void
object_free(gpointer p)
{
	object_t *object = p;

	g_free(object->kind);
	g_free(object->name);
	g_free(object->spec);
	g_free(object);
}

/*
 * Return a copy of objects.
 */
static GPtrArray *
objects_copy(const GPtrArray *objects)
{
	GPtrArray *copies = g_ptr_array_new_with_free_func(object_free);
	uint32_t i;

	for (i = 0; i < objects->len; i++) {
		const object_t *object = g_ptr_array_index(objects, i);
		object_t *copy = g_memdup2(object, sizeof(*object));

		copy->kind = g_strdup(object->kind);
		copy->name = g_strdup(object->name);
		copy->spec = g_strdup(object->spec);
		g_ptr_array_add(copies, copy);
	}
	return copies;
}

/*
 * Write the objects of the operator and the databases that are gone, unless
 * they have been written since.
 */
static gboolean
write_again(gpointer context)
{
	object_store_t *store = context;
	uint32_t i;

	store->again = 0;
	for (i = 0; i < store->lost->len; i++) {
		const object_t *lost = g_ptr_array_index(store->lost, i);
		const object_t *object =
		    find_object(store, lost->kind, lost->name);

		if ((strcmp(lost->kind, "config") != 0 &&
			strcmp(lost->kind, "servers") != 0) ||
		    (object != NULL && object->revision > store->copy_revision))
			continue;
		if (lost->deleted)
			object_store_remove(store, lost->kind, lost->name);
		else if (object == NULL || object->deleted ||
		    strcmp(object->spec, lost->spec) != 0)
			object_store_put(
			    store, lost->kind, lost->name, lost->spec);
	}
	return G_SOURCE_REMOVE;
}

/*
 * Go back to the copy.  The watches that wait are answered, those of revisions
 * that the copy lacks with 410.
 */
static void
go_back(object_store_t *store)
{
	GPtrArray *lost;

	if (store->again != 0) {
		g_source_remove(store->again);
		write_again(store);
	}
	lost = store->objects;
	store->objects = objects_copy(store->copy);
	store->revision = store->copy_revision;
	store->era++;
	while (store->watches != NULL)
		watch_complete(store->watches->data);
	g_clear_pointer(&store->lost, g_ptr_array_unref);
	store->lost = lost;
	store->again = g_timeout_add(WRITTEN_AGAIN_MS, write_again, store);
}

/*
 * Inject a fault: busy, silent, losing, moving, nameless or repeating.  Any
 * other name, such as up, ends the fault in force and answers the watches.  The
 * name compact instead discards the history, so that watches of older revisions
 * fail.  With deaf, watches are not answered until cut-watches closes their
 * connections and discards the history, as a compaction does.  With old-lists,
 * lists that may be old show the copy until new-lists.  With copy and blank,
 * the copy becomes the present state or an empty store; with restored, the
 * store goes back to it, and with restored-in-list between two pages of the
 * next list; with hidden-era, the era is not sent any more.  With late-record,
 * writes of the coordinator record are carried out late.
 */
void
object_store_inject_fault(object_store_t *store, const char *name)
{
	if (strcmp(name, "compact") == 0) {
		store->oldest_revision = store->revision;
	} else if (strcmp(name, "copy") == 0 || strcmp(name, "blank") == 0) {
		g_ptr_array_unref(store->copy);
		store->copy = strcmp(name, "copy") == 0
		    ? objects_copy(store->objects)
		    : g_ptr_array_new_with_free_func(object_free);
		store->copy_revision = strcmp(name, "copy") == 0
		    ? store->revision
		    : FIRST_REVISION;
		return;
	} else if (strcmp(name, "hidden-era") == 0) {
		store->era_hidden = true;
		return;
	} else if (strcmp(name, "old-lists") == 0 ||
	    strcmp(name, "new-lists") == 0) {
		store->lists_old = strcmp(name, "old-lists") == 0;
		return;
	} else if (strcmp(name, "cut-watches") == 0) {
		cut_watches(store);
		return;
	} else if (strcmp(name, "deaf") == 0) {
		store->fault = STORE_FAULT_DEAF;
	} else if (strcmp(name, "restored") == 0) {
		go_back(store);
	} else if (strcmp(name, "busy") == 0) {
		store->fault = STORE_FAULT_BUSY;
	} else if (strcmp(name, "silent") == 0) {
		store->fault = STORE_FAULT_NO_ANSWER;
	} else if (strcmp(name, "losing") == 0) {
		store->fault = STORE_FAULT_LOSE_WRITE_ANSWERS;
	} else if (strcmp(name, "moving") == 0) {
		store->fault = STORE_FAULT_CHANGE_DURING_LIST;
	} else if (strcmp(name, "restored-in-list") == 0) {
		store->fault = STORE_FAULT_BACK_DURING_LIST;
	} else if (strcmp(name, "late-record") == 0) {
		store->fault = STORE_FAULT_LATE_RECORD;
	} else if (strcmp(name, "nameless") == 0) {
		store->fault = STORE_FAULT_NAMELESS;
	} else if (strcmp(name, "repeating") == 0) {
		store->fault = STORE_FAULT_REPEAT;
	} else {
		store->fault = STORE_FAULT_NONE;
	}
	while (store->fault == STORE_FAULT_NONE && store->watches != NULL)
		watch_complete(store->watches->data);
}

/*
 * Append a page of the objects of a kind, starting after the named object, or
 * with the first object if NULL.
 */
static void
append_page(
    object_store_t *store, GString *out, const char *kind, const char *after)
{
	const object_t *first = NULL;
	uint64_t revision = store->revision;
	uint32_t i, n = 0;
	bool past_start = after == NULL || store->fault == STORE_FAULT_REPEAT;

	if (store->fault == STORE_FAULT_NAMELESS) {
		g_string_append_printf(out,
		    "{\"items\":[{\"meta\":{},\"spec\":{}}],\"has-more\":true,"
		    "\"current-rev\":%" G_GUINT64_FORMAT "}",
		    revision);
		return;
	}
	g_string_append(out, "{\"items\":[");
	for (i = 0; i < store->objects->len && n <= PAGE_OBJECTS; i++) {
		const object_t *object = g_ptr_array_index(store->objects, i);

		if (strcmp(object->kind, kind) != 0)
			continue;
		if (past_start && !object->deleted && n++ < PAGE_OBJECTS) {
			if (first == NULL)
				first = object;
			else
				g_string_append_c(out, ',');
			append_object(out, object);
		}
		past_start |= g_strcmp0(object->name, after) == 0;
	}
	g_string_append_printf(out,
	    "],\"has-more\":%s,\"current-rev\":%" G_GUINT64_FORMAT "}",
	    n > PAGE_OBJECTS ? "true" : "false", revision);
	if (n > PAGE_OBJECTS &&
	    store->fault == STORE_FAULT_CHANGE_DURING_LIST) {
		char *spec = g_strdup(first->spec);

		object_store_put(store, kind, first->name, spec);
		g_free(spec);
	}
	if (n > PAGE_OBJECTS && store->fault == STORE_FAULT_BACK_DURING_LIST) {
		store->fault = STORE_FAULT_NONE;
		go_back(store);
	}
}

/*
 * Append a page of a list.  One that may be old is made of the copy, if it is
 * to be.
 */
static void
append_list(
    object_store_t *store, GString *out, const char *kind, GHashTable *query)
{
	GPtrArray *objects = store->objects;
	uint64_t revision = store->revision;
	const char *after =
	    query == NULL ? NULL : g_hash_table_lookup(query, "after");

	if (store->lists_old && query != NULL &&
	    g_hash_table_contains(query, "serializable")) {
		store->objects = store->copy;
		store->revision = store->copy_revision;
		append_page(store, out, kind, after);
		store->objects = objects;
		store->revision = revision;
	} else {
		append_page(store, out, kind, after);
	}
}

/*
 * List the objects of a kind, or watch them for changes.
 */
static void
list_or_watch_objects(object_store_t *store, SoupServerMessage *message,
    const char *kind, GHashTable *query)
{
	const char *text =
	    query == NULL ? NULL : g_hash_table_lookup(query, "watch");
	GString *out = g_string_new(NULL);
	uint64_t after = text == NULL ? 0 : strtoull(text, NULL, 10);
	watch_t *watch;

	store->watch_requests += text != NULL;
	if (text != NULL &&
	    (after < store->oldest_revision || after > store->revision)) {
		send_json(store, message, 410, out);
		return;
	}
	if (text != NULL &&
	    (store->fault == STORE_FAULT_DEAF ||
		append_events(store, out, kind, after) == 0)) {
		text = g_hash_table_lookup(query, "wait-ms");
		g_string_free(out, TRUE);
		watch = g_new0(watch_t, 1);
		watch->store = store;
		watch->message = g_object_ref(message);
		watch->kind = g_strdup(kind);
		watch->port = request_port(message);
		watch->after_revision = after;
		watch->timer =
		    g_timeout_add((guint)atoi(text), on_watch_timeout, watch);
		store->watches = g_list_prepend(store->watches, watch);
		soup_server_message_pause(message);
		return;
	}
	if (text == NULL)
		append_list(store, out, kind, query);
	send_json(store, message, 200, out);
}

/*
 * Return the text of an object-valued field of a JSON body, to be freed by
 * the caller, or NULL.
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
 * Return the number in a field of a JSON body, or 0.
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
 * Have the records of daemons name another address than 127.0.0.1.
 */
void
object_store_daemons_at(object_store_t *store, const char *address)
{
	store->daemons_at = address;
}

/*
 * Have another address stand for 127.0.0.1 in the requests and responses by a
 * port.
 */
void
object_store_port_address(
    object_store_t *store, uint16_t port, const char *address)
{
	g_hash_table_insert(store->port_addresses, GUINT_TO_POINTER(port),
	    g_strdup_printf("%s:", address));
}

/*
 * Return what is to be stored for the text of an object.  Frees spec.
 */
static char *
stored_spec(const object_store_t *store, const char *kind, char *spec)
{
	GString *text;

	if (spec == NULL || store->daemons_at == NULL ||
	    strcmp(kind, DAEMON_KIND) != 0)
		return spec;
	text = g_string_new(spec);
	g_free(spec);
	g_string_replace(text, "127.0.0.1", store->daemons_at, 0);
	return g_string_free(text, FALSE);
}

/*
 * Create an object, or replace one.  A request without a name in the path
 * creates an object, which must not exist.  A request with one replaces the
 * object, whose revision must match if the request has a revision.
 */
static void
create_or_replace_object(object_store_t *store, SoupServerMessage *message,
    const char *kind, const char *name, const char *body)
{
	char *meta = object_field(body, "meta"), *created_name = NULL,
	     *name_field;
	uint64_t revision = meta == NULL ? 0 : number_field(meta, "revision");
	char *spec = stored_spec(store, kind, object_field(body, "spec"));
	GString *out = g_string_new(NULL);
	object_t *object;

	if (name == NULL && meta != NULL &&
	    (name_field = strstr(meta, "\"name\":\"")) != NULL) {
		created_name = g_strdup(name_field + 8);
		*strchr(created_name, '"') = '\0';
		name = created_name;
	}
	object = name == NULL ? NULL : find_object(store, kind, name);
	if (object != NULL && object->deleted && created_name == NULL)
		object = NULL;
	if (spec == NULL || name == NULL) {
		send_json(store, message, 400, out);
	} else if (created_name == NULL && object == NULL) {
		send_json(store, message, 404, out);
	} else if (object != NULL && !object->deleted &&
	    (created_name != NULL ||
		(revision != 0 && revision != object->revision))) {
		append_object(out, object);
		send_json(store, message, 409, out);
	} else {
		object_store_put(store, kind, name, spec);
		append_object(out, find_object(store, kind, name));
		if (store->fault == STORE_FAULT_LOSE_WRITE_ANSWERS) {
			g_string_free(out, TRUE);
			soup_server_message_pause(message);
		} else {
			send_json(store, message, 200, out);
		}
	}
	g_free(meta);
	g_free(spec);
	g_free(created_name);
}

/* A write that is carried out late. */
typedef struct late_write {
	object_store_t *store;
	SoupServerMessage *message; /* it is not answered */
	char *name;                 /* NULL: it creates an object */
	char *body;
} late_write_t;

/*
 * Carry out a late write.
 */
static gboolean
on_late_write(gpointer context)
{
	late_write_t *late = context;

	create_or_replace_object(
	    late->store, late->message, RECORD_KIND, late->name, late->body);
	g_object_unref(late->message);
	g_free(late->name);
	g_free(late->body);
	g_free(late);
	return G_SOURCE_REMOVE;
}

/*
 * Have a write of the coordinator record carried out late.
 */
static void
write_late(object_store_t *store, SoupServerMessage *message, const char *name,
    const char *body)
{
	late_write_t *late = g_new0(late_write_t, 1);

	late->store = store;
	late->message = g_object_ref(message);
	late->name = g_strdup(name);
	late->body = g_strdup(body);
	soup_server_message_pause(message);
	g_timeout_add(LATE_WRITE_MS, on_late_write, late);
}

/*
 * Get or delete an object.
 */
static void
get_or_delete_object(object_store_t *store, SoupServerMessage *message,
    const char *kind, const char *name, bool remove)
{
	object_t *object = find_object(store, kind, name);
	GString *out = g_string_new(NULL);

	if (object == NULL || object->deleted) {
		send_json(store, message, 404, out);
		return;
	}
	append_object(out, object);
	if (remove)
		object_store_remove(store, kind, name);
	send_json(store, message, 200, out);
}

/*
 * Return the body of a request, to be freed by the caller.
 */
static char *
request_text(const object_store_t *store, SoupServerMessage *message)
{
	GBytes *bytes = soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
	const char *address = request_address(store, message);
	GString *text = g_string_new_len(
	    g_bytes_get_data(bytes, NULL), (gssize)g_bytes_get_size(bytes));

	if (address != NULL)
		g_string_replace(text, address, LOOPBACK, 0);
	g_bytes_unref(bytes);
	return g_string_free(text, FALSE);
}

/*
 * Handle a request to the object store.
 */
static void
on_objects(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	object_store_t *store = context;
	const char *method = soup_server_message_get_method(message);
	char **parts = g_strsplit(path, "/", 4);
	const char *kind = parts[1] == NULL ? NULL : parts[2];
	const char *name = kind == NULL ? NULL : parts[3];
	char *text = request_text(store, message);

	(void)server;
	store->requests++;
	append_era(store, message);
	if (port_fault_request(store, message))
		; /* done */
	else if (store->fault == STORE_FAULT_NO_ANSWER)
		soup_server_message_pause(message);
	else if (store->fault == STORE_FAULT_BUSY || kind == NULL)
		send_json(store, message, 503, g_string_new(NULL));
	else if (store->fault == STORE_FAULT_LATE_RECORD &&
	    strcmp(kind, RECORD_KIND) == 0 &&
	    (strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0))
		write_late(store, message, name, text);
	else if (strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0)
		create_or_replace_object(store, message, kind, name, text);
	else if (name != NULL)
		get_or_delete_object(
		    store, message, kind, name, strcmp(method, "DELETE") == 0);
	else
		list_or_watch_objects(store, message, kind, query);
	g_free(text);
	g_strfreev(parts);
}

/*
 * Return the number of watch requests so far.
 */
uint32_t
object_store_watch_requests(const object_store_t *store)
{
	return store->watch_requests;
}

/*
 * Return the number of requests so far.
 */
uint32_t
object_store_requests(const object_store_t *store)
{
	return store->requests;
}

/*
 * Create an empty object store that handles /objects on a server.
 */
object_store_t *
object_store_new(SoupServer *server)
{
	object_store_t *store = g_new0(object_store_t, 1);

	store->objects = g_ptr_array_new_with_free_func(object_free);
	store->copy = g_ptr_array_new_with_free_func(object_free);
	store->revision = store->copy_revision = FIRST_REVISION;
	store->era = 1;
	store->port_faults = g_hash_table_new(NULL, NULL);
	store->port_addresses = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	soup_server_add_handler(server, "/objects", on_objects, store, NULL);
	return store;
}
