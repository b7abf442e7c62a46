#include "quetzallead/Error.h"
#include "quetzallead/NameTable.h"

namespace quetzallead {

static constexpr NamedValue<ErrorCode> ErrorCodeNames[] = {
    {ErrorCode::InvalidArgument, "invalid_argument"},
    {ErrorCode::NotFound, "not_found"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::Unavailable, "unavailable"},
    {ErrorCode::Unknown, "unknown"},
    {ErrorCode::PermissionDenied, "permission_denied"},
    {ErrorCode::ResourceExhausted, "resource_exhausted"},
    {ErrorCode::Internal, "internal"},
};

absl::string_view errorCodeName(ErrorCode Code) {
  return nameOf(ErrorCodeNames, Code);
}

std::string Error::text() const {
  if (Where.empty())
    return Message;
  return Where + ": " + Message;
}

} // namespace quetzallead
