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
 * Return what an answer has shown of the process that was asked, by its name
 * and that of the sender.  Another process may have taken over its address, and
 * answers for itself only.  NULL: the sender names nobody, as former versions
 * did.
 */
contact_t
contact_answered(const char *asked, const char *sender)
{
	return sender == NULL || strcmp(asked, sender) == 0 ? CONTACT_ANSWERED
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
