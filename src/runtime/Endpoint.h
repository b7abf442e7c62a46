#ifndef QUETZALLEAD_RUNTIME_ENDPOINT_H
#define QUETZALLEAD_RUNTIME_ENDPOINT_H

#include "quetzallead/Error.h"
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace quetzallead {

/// Parses "ip:port" or "[ipv6]:port". Fails with InvalidArgument.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &Text);

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_ENDPOINT_H
