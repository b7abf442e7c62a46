#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_PLATFORMREPLIES_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_PLATFORMREPLIES_H

#include "transport/platform/CatalogReply.h"
#include "transport/platform/KvReply.h"
#include "transport/platform/SessionReply.h"
#include "transport/platform/WriteReply.h"

namespace quetzallead {

struct HttpOutcome;

// Typed readings of the platform's HTTP answers. They accept any bytes; keys
// that the protocol does not name are ignored, as real platforms send more.

/// Of GET on a key.
KvReply readKvReply(const HttpOutcome &Http);

/// Of GET on a service of the catalog.
CatalogReply readCatalogReply(const HttpOutcome &Http);

/// Of PUT on a key, whose body is "true" or "false".
WriteReply readCasReply(const HttpOutcome &Http);

/// Of a PUT that any status 200 confirms. Status 404 is Refused: the session
/// that is renewed, for one, does not exist any more.
WriteReply readPutReply(const HttpOutcome &Http);

/// Of PUT on session/create.
SessionReply readSessionReply(const HttpOutcome &Http);

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_PLATFORMREPLIES_H
