#ifndef QUETZALLEAD_RELAY_SOCKETOPTIONS_H
#define QUETZALLEAD_RELAY_SOCKETOPTIONS_H

#include "quetzallead/Time.h"
#include <boost/asio/ip/tcp.hpp>

namespace quetzallead {

/// Sends small writes at once, ends the connection when sent bytes are not
/// confirmed within \p Unconfirmed, and probes a silent one every \p Probe (not
/// at all if zero). Options that the system refuses are left out, with a log
/// line for the first.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket,
                      Duration Unconfirmed, Duration Probe);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_SOCKETOPTIONS_H
