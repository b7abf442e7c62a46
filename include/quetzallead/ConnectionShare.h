#ifndef QUETZALLEAD_CONNECTIONSHARE_H
#define QUETZALLEAD_CONNECTIONSHARE_H

namespace quetzallead {

/// Connections to a server with \p ConnectionLimit that each of \p Instances
/// instances may hold, so that the sum stays within the limit while as many
/// newcomers as a tenth of the fleet, at least one, overlap with those they
/// replace. At least 1.
int connectionShare(int ConnectionLimit, int Instances);

} // namespace quetzallead

#endif // QUETZALLEAD_CONNECTIONSHARE_H
