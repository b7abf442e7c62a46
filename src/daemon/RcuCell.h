#ifndef QUETZALLEAD_DAEMON_RCUCELL_H
#define QUETZALLEAD_DAEMON_RCUCELL_H

#include <atomic>
#include <memory>
#include <utility>

namespace quetzallead {

/// Read-copy-update of one immutable value: readers take the present value
/// without waiting for writers; a writer publishes a new one; the old one goes
/// when its last reader lets go of it.
template <typename T> class RcuCell {
public:
  explicit RcuCell(std::shared_ptr<const T> Initial)
      : Value(std::move(Initial)) {}

  std::shared_ptr<const T> read() const { return std::atomic_load(&Value); }
  void publish(std::shared_ptr<const T> Next) {
    std::atomic_store(&Value, std::move(Next));
  }

private:
  std::shared_ptr<const T> Value;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_RCUCELL_H
