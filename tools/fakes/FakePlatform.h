#ifndef QUETZALLEAD_TOOLS_FAKES_FAKEPLATFORM_H
#define QUETZALLEAD_TOOLS_FAKES_FAKEPLATFORM_H

#include "quetzallead/Error.h"
#include <memory>
#include <string>

namespace quetzallead {

class FakeLoop;

/// Where a fake platform listens.
struct FakePlatformOptions {
  /// "ip:port" of the platform's calls.
  std::string Listen = "127.0.0.1:0";
  /// "ip:port" of the admin listener.
  std::string Admin = "127.0.0.1:0";
};

/// A key-value store with sessions and a catalog, in Consul's HTTP shape.
class FakePlatform {
public:
  /// Starts both listeners. Fails with Unavailable if one cannot be bound.
  static Result<std::unique_ptr<FakePlatform>>
  make(FakeLoop &Loop, const FakePlatformOptions &Opts);
  virtual ~FakePlatform() = default;

  virtual std::string address() const = 0;
  virtual std::string adminAddress() const = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_FAKEPLATFORM_H
