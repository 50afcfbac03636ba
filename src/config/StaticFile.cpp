#include "config/StaticFile.h"

#include <limits>

#include "config/ObjectChanges.h"
#include "settings/DuplicateFields.h"

namespace lagoonspoke {

BackendServer readBackendServer(JsonReader& reader)
{
    BackendServer server;
    server.id = BackendServerId(reader.readString("id"));
    server.dataCentre = DataCentreId(reader.readString("data_centre"));
    server.target = TargetName(reader.readString("target"));
    server.address = reader.readString("address");
    server.slots = static_cast<int>(reader.readInteger("slots", 1, 4096, server.slots));
    server.cheap = reader.readBool("spot", server.cheap);
    server.leaving = reader.readBool("leaving", server.leaving);
    reader.rejectUnknownFields();
    return server;
}

tl::expected<StaticFile, std::vector<Error>> parseStaticFile(std::string_view text)
{
    std::vector<Error> errors;
    StaticFile file;
    if (auto value = parseJson(text)) {
        errors = findDuplicateFields(text);
        JsonReader reader(*value, "", errors);
        file.configuration.number
            = static_cast<std::uint64_t>(reader.readInteger("number", 1, std::numeric_limits<std::int64_t>::max(), 1));
        auto paths = applyObjects(reader.readObjects("objects"), file.configuration, AbsentObjects::Report);
        for (auto& server : reader.readObjects("servers")) {
            file.servers.push_back(readBackendServer(server));
        }
        reader.rejectUnknownFields();
        checkReferences(file.configuration, {}, paths, errors);
    } else {
        errors.push_back(value.error());
    }
    if (!errors.empty()) {
        return tl::make_unexpected(errors);
    }
    return file;
}

} // namespace lagoonspoke
