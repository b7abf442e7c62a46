#ifndef QUETZALLEAD_TOOLS_FAKES_SHEETREADER_H
#define QUETZALLEAD_TOOLS_FAKES_SHEETREADER_H

#include "quetzallead/Error.h"
#include "quetzallead/Sheet.h"
#include <string>

namespace quetzallead {

/// Reads what a fake needs of a sheet: services, shards and servers. Fails
/// with InvalidArgument if it is not such a document.
Result<Sheet> readSheet(const std::string &Text);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_SHEETREADER_H
