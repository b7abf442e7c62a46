#ifndef QUETZALLEAD_RELAY_REQUESTFINGERPRINT_H
#define QUETZALLEAD_RELAY_REQUESTFINGERPRINT_H

#include <string>

namespace quetzallead {

struct ForwardedRequest;

/// Identifies the content of a request: method, host, target and body, but not
/// its id or its other headers, which differ between the repeats of a caller.
/// Collision-resistant, so that no caller can get another one's request taken
/// for its own. 32 hexadecimal digits.
std::string requestFingerprint(const ForwardedRequest &Call);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REQUESTFINGERPRINT_H
