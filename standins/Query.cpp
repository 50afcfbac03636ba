#include "standins/Query.h"

#include "http/HttpTarget.h"

namespace lagoonspoke {

std::string targetPath(std::string_view target)
{
    return decodePercent(target.substr(0, target.find('?')));
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    auto position = target.find('?');
    while (position != std::string_view::npos) {
        auto end = target.find('&', position + 1);
        auto parameter = target.substr(position + 1, end == std::string_view::npos ? end : end - position - 1);
        if (parameter.size() > name.size() && parameter.starts_with(name) && parameter[name.size()] == '=') {
            return decodePercent(parameter.substr(name.size() + 1));
        }
        position = end;
    }
    return {};
}

} // namespace lagoonspoke
