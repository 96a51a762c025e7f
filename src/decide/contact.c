#include "contact.h"

#include <errno.h>
#include <string.h>

/*
 * Return what a connection has shown that has ended before an answer came.
 * opened: it was established; error: a negative error number.
 */
contact_t
contact_ended(bool opened, int32_t error)
{
	if (opened || error == -ECONNRESET)
		return CONTACT_RESET;
	return error == -ECONNREFUSED ? CONTACT_REFUSED : CONTACT_SILENT;
}

/*
 * Return what an answer has shown of the process that was asked at its address.
 * Another process may have taken the address over, and answers for itself only.
 * One under the same name that has started later is the next one: since one
 * process at a time listens at an address, the former one has ended.  What a
 * former version does not say counts as equal.
 */
contact_t
contact_answered(const process_t *asked, const process_t *sender)
{
	if (sender->name == NULL)
		return CONTACT_ANSWERED;
	if (strcmp(asked->name, sender->name) != 0)
		return CONTACT_SILENT;
	return sender->start == 0 || sender->start >= asked->start
	    ? CONTACT_ANSWERED
	    : CONTACT_SILENT;
}

/*
 * Tell whether a connection has shown what the process at its other end knows,
 * holds, or has given up.  Only its own answer does.
 */
bool
contact_shows_state(contact_t contact)
{
	return contact == CONTACT_ANSWERED;
}
