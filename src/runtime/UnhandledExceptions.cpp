#include "runtime/UnhandledExceptions.h"
#include "runtime/LastEvent.h"
#include "runtime/PeerScope.h"
#include <boost/core/demangle.hpp>
#include <cxxabi.h>
#include <exception>
#include <string>
#include <typeinfo>

namespace quetzallead {

static std::terminate_handler Previous = nullptr;

static std::string whatOf(const std::exception_ptr &Exception) {
  try {
    std::rethrow_exception(Exception);
  } catch (const std::exception &E) {
    return E.what();
  } catch (...) {
    return std::string();
  }
}

static void report() {
  const std::exception_ptr Exception = std::current_exception();
  const std::type_info *Type = abi::__cxa_current_exception_type();
  // Without an exception the process ends for another reason.
  if (Exception == nullptr || Type == nullptr)
    return;
  const PeerScope *Scope = PeerScope::current();
  logLastEvent("unhandled_exception",
               {{"type", boost::core::demangle(Type->name())},
                {"what", whatOf(Exception)},
                {"activity", Scope != nullptr ? Scope->activity() : ""},
                {"address", Scope != nullptr ? Scope->address() : ""}});
}

void reportUnhandledExceptions() {
  Previous = std::set_terminate([] {
    try {
      report();
    } catch (...) {
      // Memory may be short; the process ends all the same.
    }
    Previous();
  });
}

} // namespace quetzallead
