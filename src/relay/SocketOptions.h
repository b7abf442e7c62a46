#ifndef QUETZALLEAD_RELAY_SOCKETOPTIONS_H
#define QUETZALLEAD_RELAY_SOCKETOPTIONS_H

#include "quetzallead/Time.h"
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace quetzallead {

/// The address of the peer; empty if the connection has ended.
std::string peerAddress(const boost::asio::ip::tcp::socket &Socket);

/// Disables Nagle's algorithm, closes the connection when sent data stays
/// unacknowledged for \p UnackedTimeout, and sends TCP keep-alive probes every
/// \p KeepAliveInterval (none if zero). Options that the system rejects are
/// skipped; the first failure in the process is logged.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket,
                      Duration UnackedTimeout, Duration KeepAliveInterval);

/// Opens \p Socket for a connection to \p Peer with a receive buffer of
/// \p Bytes, which the kernel may round up. The system's default is kept if it
/// rejects the size.
void openWithReceiveBuffer(boost::asio::ip::tcp::socket &Socket,
                           const boost::asio::ip::tcp::endpoint &Peer,
                           int Bytes);

/// Likewise for the connections that \p Listener accepts.
void setReceiveBuffer(boost::asio::ip::tcp::acceptor &Listener, int Bytes);

/// Round-trip time to the peer of \p Socket as the kernel has measured it,
/// beginning with the set-up of the connection; zero if unknown.
Duration roundTripTime(boost::asio::ip::tcp::socket &Socket);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_SOCKETOPTIONS_H
