#include "config/Ticket.h"

#include <limits>

#include "config/CanonicalJson.h"
#include "config/ObjectChanges.h"
#include "settings/DuplicateFields.h"

namespace lagoonspoke {

tl::expected<Ticket, std::vector<Error>> Ticket::Make(std::string_view text)
{
    std::vector<Error> errors;
    auto value = parseJson(text);
    if (!value) {
        errors.push_back(value.error());
        return tl::make_unexpected(errors);
    }
    errors = findDuplicateFields(text);
    Ticket ticket;
    JsonReader reader(*value, "", errors);
    ticket.m_number
        = static_cast<std::uint64_t>(reader.readInteger("ticket", 1, std::numeric_limits<std::int64_t>::max()));
    auto objects = reader.readObjects("objects");
    if (objects.empty() && errors.empty()) {
        reader.report("objects", "must list at least one object");
    }
    reader.rejectUnknownFields();
    Configuration scratch;
    for (auto& [key, path] : applyObjects(std::move(objects), scratch, AbsentObjects::Ignore)) {
        ticket.m_objects.push_back(key);
    }
    if (!errors.empty()) {
        return tl::make_unexpected(errors);
    }
    ticket.m_text = serialiseCanonically(*value);
    ticket.m_digest = digestContent(ticket.m_text);
    return ticket;
}

tl::expected<Configuration, std::vector<Error>> Ticket::apply(const Configuration& before) const
{
    std::vector<Error> errors;
    auto value = parseJson(m_text);
    JsonReader reader(*value, "", errors);
    Configuration after = before;
    auto paths = applyObjects(reader.readObjects("objects"), after, AbsentObjects::Report);
    checkReferences(after, before, paths, errors);
    if (!errors.empty()) {
        return tl::make_unexpected(errors);
    }
    after.number = m_number;
    return after;
}

} // namespace lagoonspoke
