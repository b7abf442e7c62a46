#ifndef QUETZALLEAD_TOOLS_FAKES_FAKEBACKEND_H
#define QUETZALLEAD_TOOLS_FAKES_FAKEBACKEND_H

#include "fakes/ServiceTimeModel.h"
#include "quetzallead/Error.h"
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

class FakeLoop;
struct Sheet;

/// How a process of fake backend servers is run.
struct FakeBackendOptions {
  /// "ip:port" of the admin listener.
  std::string Admin = "127.0.0.1:0";
  ServiceTimeModel ServiceTime;
  /// Servers to run; all of the sheet if empty.
  std::vector<std::string> Only;
  std::uint64_t Seed = 1;
  std::uint64_t Version = 1;
  std::size_t JournalLimit = 200000;
};

/// The backend servers of a sheet in one process, with one admin listener.
class FakeBackend {
public:
  /// Starts all listeners. Fails with Unavailable if one cannot be bound.
  static Result<std::unique_ptr<FakeBackend>>
  make(FakeLoop &Loop, const Sheet &Servers, FakeBackendOptions Options);
  virtual ~FakeBackend() = default;

  virtual std::string adminAddress() const = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_FAKEBACKEND_H
